"""One answer of one model server is comments without end and without an event; everything else is sound."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from harness import TROUBLE, Gateway, Store, run_case, wait_until_serving  # noqa: E402
from deployment import (LEDGER_TIMEOUT_SECONDS, STREAM_DEADLINE_SECONDS, ZONES, Consumers, SoundEngine,  # noqa: E402
                        configuration)
from standins import PlainService  # noqa: E402

JUDGED_DELAY_SECONDS = 0.5
CALM_SECONDS = 5.0
AFTER_SECONDS = 20.0
STREAMS_PER_SECOND = 30
LOOKUPS_PER_SECOND = 15
# One answer of one server has no end.
TROUBLED_ANSWERS = 1
# Comments without an event, each in a chunk of its own, as a server writes them to keep a stream open.
CHUNKS = b"3\r\n:\n\n\r\n" * 1000


class TroubledEngine(SoundEngine):
    """Sound, but while it is in trouble a stream of it is comments without end, until the caller closes."""

    is_troubled = False
    troubled_answers = 0

    def stream(self, handler):
        is_held = handler.headers["X-Lacewinglb-Model"].split("/")[1] in self.adapters
        if not self.is_troubled or not is_held or self.troubled_answers >= TROUBLED_ANSWERS:
            super().stream(handler)
            return
        self.troubled_answers += 1
        self.record_run(handler)
        handler.send_response(200)
        for name, value in self.response_headers(handler, ("Content-Type", "text/event-stream"),
                                                 ("Transfer-Encoding", "chunked")):
            handler.send_header(name, value)
        handler.end_headers()
        handler.close_connection = True
        try:
            while True:
                handler.wfile.write(CHUNKS)
        except OSError:
            pass


def watch_readiness(gateway, record, end, answers):
    """Asks once a second, as the platform does."""
    while time.monotonic() < end:
        asked = time.monotonic()
        is_ready = gateway.is_ready(1.0)
        answers.append(is_ready)
        record(f"readiness of {gateway.name}: {'200' if is_ready else 'none within 1 s'}")
        time.sleep(max(0.0, asked + 1.0 - time.monotonic()))


def judge(lookups):
    """CONFIG: of the requests that are unanswered at the timeout, more than half have no answer half a second later."""
    unanswered = [took for _, took in lookups if took is None or took > LEDGER_TIMEOUT_SECONDS]
    late = [took for took in unanswered if took is None or took > LEDGER_TIMEOUT_SECONDS + JUDGED_DELAY_SECONDS]
    return unanswered, late


def case(folder, record):
    store = Store()
    engines = [kind(store, "engines", zone, "m")
               for kind, zone in zip((TroubledEngine, SoundEngine, SoundEngine), ZONES)]
    ledgers = [PlainService(store, "ledger", zone) for zone in ZONES]
    store.put("op", "config", configuration())
    gateways = []
    try:
        for zone in ZONES:
            gateways.append(Gateway(f"front-{zone}-1", zone, store, folder, record))
        wait_until_serving(gateways, len(engines))
        consumers = Consumers(gateways, record)
        end = time.monotonic() + CALM_SECONDS + AFTER_SECONDS
        readiness = {gateway.name: [] for gateway in gateways}
        workers = [consumers.start("stream", STREAMS_PER_SECOND, end), consumers.start("lookup", LOOKUPS_PER_SECOND, end)]
        for gateway in gateways:
            workers.append(threading.Thread(
                target=watch_readiness, args=(gateway, record, end, readiness[gateway.name]), daemon=True))
            workers[-1].start()
        time.sleep(CALM_SECONDS)
        if TROUBLE:
            engines[0].is_troubled = True
            record(f"{engines[0].id} answers the next stream with comments without end")
        for worker in workers:
            worker.join()
        time.sleep(STREAM_DEADLINE_SECONDS + 1)
        unanswered, late = judge(consumers.lookups)
        record(f"requests for the ledger: {len(consumers.lookups)}; unanswered at the route's timeout: "
               f"{len(unanswered)}; of these without an answer half a second later: {len(late)}")
        record(f"requests that ledger servers ran: {sum(len(ledger.runs) for ledger in ledgers)}; streams without end "
               f"that the troubled server sent: {engines[0].troubled_answers}")
        for name, answers in readiness.items():
            record(f"readiness of {name}: {answers.count(True)} of {len(answers)} questions answered with 200")
        if late and len(late) * 2 > len(unanswered):
            return [f"CONFIG: {len(late)} of {len(unanswered)} requests that were unanswered at the route's timeout "
                    "have no answer half a second later"]
        return []
    finally:
        for gateway in gateways:
            gateway.end()


run_case(pathlib.Path(__file__).parent, case)
