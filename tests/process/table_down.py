#!/usr/bin/env python3
"""Guards against an outage of the table that stops more than the calls that may not be repeated."""

from load import Load, run


def test(fleet):
    load = Load(fleet, {"unknown": {"exactly": 0}, "refused.claim_unavailable": {"min": 1}}, kind="mix", seconds=20)
    entry = fleet.daemons["host-1"]
    answered = 'outcome="answered"'
    load.wait_for(lambda: fleet.metric(entry, "lacewing_requests_total", answered) >= 3, "some answers")
    fleet.control(fleet.platform, {"table": {"down": True}})
    load.wait_for(lambda: not fleet.table_up(), "the outage to be noticed")
    reached = fleet.metric(entry, "lacewing_requests_total", answered) + 10
    load.wait_for(lambda: fleet.metric(entry, "lacewing_requests_total", answered) >= reached, "answers in the outage")
    fleet.control(fleet.platform, {"table": {"down": False}})
    load.wait_for(fleet.table_up, "the end of the outage")
    measures = load.finish()
    if measures["refused"] != measures["refused.claim_unavailable"]:
        raise RuntimeError("the outage refused more than the calls that may not be repeated")


run(test)
