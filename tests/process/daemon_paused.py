#!/usr/bin/env python3
"""Guards against a daemon that goes on with its orders after a pause in which others took its upstreams over."""

import signal

from load import NOTHING_LOST, Load, busiest_owner, run


def test(fleet):
    load = Load(fleet, NOTHING_LOST, data_centre="dc-1", seconds=25)
    load.wait_for(lambda: busiest_owner(fleet, "host-1")[1] >= 2, "requests at another owner")
    paused, _ = busiest_owner(fleet, "host-1")
    fleet.daemons[paused].signal(signal.SIGSTOP)
    try:
        fleet.wait_until(lambda: paused not in fleet.owners().values(), "successors of the paused owner")
    finally:
        fleet.daemons[paused].signal(signal.SIGCONT)
    fleet.wait_until(fleet.ready, "the daemon to be ready again")
    load.finish()


run(test)
