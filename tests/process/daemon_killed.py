#!/usr/bin/env python3
"""Guards against streams that lose or double tokens when the owner of their engine is killed."""

import signal

from load import NOTHING_LOST, Load, busiest_owner, run


def test(fleet):
    load = Load(fleet, NOTHING_LOST, data_centre="dc-1")
    load.wait_for(lambda: busiest_owner(fleet, "host-1")[1] >= 2, "requests at another owner")
    victim, _ = busiest_owner(fleet, "host-1")
    fleet.daemons[victim].signal(signal.SIGKILL)
    fleet.daemons[victim].wait()
    fleet.wait_until(lambda: victim not in fleet.owners().values(), "successors of the killed owner")
    load.finish()
    return {victim}


run(test)
