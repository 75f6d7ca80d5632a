#!/usr/bin/env python3
"""Guards against streams that hang on a connection to their engine that goes silent for good."""

from load import NOTHING_LOST, Load, engine_requests, run


def test(fleet):
    load = Load(fleet, NOTHING_LOST)
    engine = fleet.engines[0]
    load.wait_for(lambda: engine_requests(fleet, engine) >= 2, "requests on the engine")
    fleet.control(engine, {"silent_open_connections": True})
    load.finish()


run(test)
