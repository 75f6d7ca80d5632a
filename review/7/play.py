"""DRAIN: a server says that it drains, and the store forgets its history right after it has accepted that."""

import os
import pathlib
import sys
import tempfile
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "shared-2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["muscat-a", "muscat-b", "muscat-c"]
GATEWAYS = 14
# Time for the fleet to settle, in which all machines come to be in touch.
SETTLING_SECONDS = 15.5
# After the ack: drain_ms, and stability_ms after the disturbance, with a margin.
QUIET_SECONDS = 3.5
REQUESTS_PER_GATEWAY = 4
# The leaving server serves for drain_ms and a little longer; it ends this long after the ack.
END_SECONDS = 3.65


def play(record, folder):
    store = fleet.Store()
    servers = [fleet.PlainServer(store, record, "ledger-app", zone, work_seconds=0.2) for zone in ZONES]
    for server in servers:
        server.announce("ready")
    store.put("op", "config", fleet.manifest(
        3, [fleet.route("repay-post", "unsafe", "ledger-app", 1), fleet.route("balance-check", "safe", "ledger-app", 2)],
        [{"name": "ledger-app", "connection_limit": 100}]))
    gateways = [fleet.Gateway(f"front-{number:02d}", ZONES[number % 3], ZONES, store.address, folder)
                for number in range(GATEWAYS)]
    consumer = fleet.Consumer(record)
    try:
        if not fleet.wait_for(lambda: all(gateway.is_ready() for gateway in gateways), 15):
            return 2, "the gateways did not become ready"
        end = time.monotonic() + SETTLING_SECONDS
        number = 0
        while time.monotonic() < end:
            consumer.request(gateways[number % GATEWAYS], "POST", "/repay-post/1", b"{}")
            number += 1
        if any(gateway.metric("lacewing_peers_in_touch") != GATEWAYS - 1 for gateway in gateways):
            return 2, "the gateways are not all in touch"
        leaving = servers[0]
        record.write(f"{leaving.id} says that it drains; the store {'drops its history' if TROUBLE else 'keeps its history'}")
        leaving.is_leaving = True
        put = store.put_and_forget_history if TROUBLE else store.put
        acknowledged = put("servers", leaving.id, leaving.entry("draining"))
        time.sleep(acknowledged + QUIET_SECONDS - time.monotonic())
        threads = [threading.Thread(target=consumer.request, args=(gateway, "POST", "/repay-post/1", b"{}"))
                   for gateway in gateways for _ in range(REQUESTS_PER_GATEWAY)]
        for thread in threads:
            thread.start()
        time.sleep(max(0, acknowledged + END_SECONDS - time.monotonic()))
        leaving.end()
        store.put("servers", leaving.id, None)
        record.write(f"{leaving.id} has ended")
        for thread in threads:
            thread.join()
        bound = acknowledged + fleet.BOUNDS["drain_ms"] / 1000
        late = [request for at, request in leaving.runs if at > bound and consumer.sent[request] > bound]
        lost = [request for request in late if consumer.answers.get(request) in (None, 502)]
        text = (f"{len(late)} of {len(threads)} requests sent {QUIET_SECONDS} s after the ack reached the server that drains; "
                f"{len(lost)} of them, which may not be repeated, ended without its answer")
        return (1 if late else 0), text
    finally:
        for gateway in gateways:
            gateway.end()


def main():
    record = fleet.Record(CASE / "record.txt")
    if not (fleet.ROOT / "target" / "lacewinglb-gateway").exists():
        print("target/lacewinglb-gateway is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        try:
            status, text = play(record, folder)
        except Exception as error:  # Any fault of the case itself means that it could not run.
            status, text = 2, f"could not run: {type(error).__name__}: {error}"
    verdict = ["the rule held", "DRAIN is broken", "the case could not run"][status]
    record.write(f"{verdict}: {text}")
    record.close()
    print(f"{verdict}: {text}")
    sys.exit(status)


main()
