#!/usr/bin/env python3
"""Guards against streams that lose or double tokens when their engine is killed."""

import signal

from load import NOTHING_LOST, Load, engine_requests, run


def test(fleet):
    load = Load(fleet, NOTHING_LOST)
    victim = fleet.engines[0]
    load.wait_for(lambda: engine_requests(fleet, victim) >= 2, "requests on the engine")
    victim.signal(signal.SIGKILL)
    victim.wait()
    load.finish()


run(test)
