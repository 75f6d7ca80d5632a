"""A server leaves while one gateway is cut off from the store and its peers; its answers say Server-Leaving."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import HAS_TROUBLE, Deployment, manifest, play, route  # noqa: E402
from traffic import Consumers, Server  # noqa: E402

DRAIN_SECONDS = 2.0
# "a little longer (at times many seconds)"
LINGER_SECONDS = 1.5
CUT_SECONDS = 5.5
PERIOD_SECONDS = 0.05


def case(record):
    deployment = Deployment(record)
    consumers = Consumers(record)
    try:
        deployment.store.put("op", "config", manifest(
            routes=[route("book-seat", "unsafe", "desk-app", timeout_ms=1000, target_latency_ms=500, attempts=1)],
            services=[{"name": "desk-app", "connection_limit": 100}]))
        servers = [Server(deployment.store, record, "desk-app", zone, work_s=0.4)
                   for zone in ("ikeja", "lekki", "yaba")]
        deployment.start()
        deployment.wait_ready()
        cut_off, leaving = deployment.gateways[0], servers[0]
        time.sleep(4)
        begin = time.monotonic()
        left = gone = healed = False
        if HAS_TROUBLE:
            deployment.cut(cut_off.name, True)
            record.add(f"{cut_off.name} is cut off from the store and from the other machines")
        while time.monotonic() < begin + CUT_SECONDS + 3:
            now = time.monotonic() - begin
            if not left and now > 0.3:
                leaving.drain()
                left = True
            if not gone and now > 0.3 + DRAIN_SECONDS + LINGER_SECONDS:
                leaving.exit()
                gone = True
            if HAS_TROUBLE and not healed and now > CUT_SECONDS:
                deployment.cut(cut_off.name, False)
                record.add("the cut has healed")
                healed = True
            consumers.begin(cut_off, "POST", "/book-seat/1", b"{}", deadline_ms=1000)
            time.sleep(PERIOD_SECONDS)
        consumers.finish()
        return judge(consumers, leaving, record)
    finally:
        deployment.end()


def judge(consumers, leaving, record):
    """Returns the requests that were sent over drain_ms after an answer with Server-Leaving, and still reached the
    server that leaves."""
    answered = {request: at for request, (status, at, _) in consumers.answers.items() if status == 200}
    told = [answered[request] for at, request in leaving.arrivals if request in answered
            and any(f"has answered {request} with Server-Leaving" in text for _, text in record.lines)]
    if not told:
        return []
    bound = min(told) + DRAIN_SECONDS
    record.add(f"first answer with Server-Leaving passed on at {min(told):.3f} s; bound from {bound:.3f} s")
    late = [request for _, request in leaving.arrivals if consumers.sent[request][0] > bound]
    lost = [request for request in late if consumers.answers.get(request, (0,))[0] != 200]
    return [f"request {request} sent at {consumers.sent[request][0]:.3f} s reached the server that leaves"
            + (f"; it ran and was answered {consumers.answers.get(request, (0,))[0]}" if request in lost else "")
            for request in late]


if __name__ == "__main__":
    sys.exit(play(case, HERE))
