#!/usr/bin/env python3
"""Guards against requests that are cut off or refused while all daemons are replaced one after the other."""

from load import NOTHING_LOST, Load, run


def test(fleet):
    load = Load(fleet, {**NOTHING_LOST, "connect_failures": {"exactly": 0}}, kind="mix", seconds=40)
    for number, host in enumerate(list(fleet.daemons), 1):
        fleet.start_daemon(f"host-{number + 3}", f"dc-{number}")
        load.wait_for(fleet.ready, "the new daemon")
        old = fleet.daemons.pop(host)
        old.terminate()
        load.wait_for(lambda: not old.running(), "the end of the old daemon")
        if old.wait() != 0:
            raise RuntimeError(f"{host} did not end with exit code 0")
        load.wait_for(fleet.all_owned, "owners of all upstreams")
    load.finish()


run(test)
