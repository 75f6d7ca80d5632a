"""One machine is partitioned from the store for 6 s; a second after the link has healed, a server leaves that never reports
`draining`. Everything else is sound."""

import http.client
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from harness import BOUNDS, HOST, KEY, TROUBLE, Gateway, Store, run_case, wait_for, wait_until_serving  # noqa: E402
from deployment import ZONES, SoundEngine, configuration  # noqa: E402
from standins import PlainService  # noqa: E402

# The site has heartbeats each 1,200 ms; a core_cut of one machine lasts up to 6.5 s there.
HEARTBEAT_SECONDS = 1.2
CUT_SECONDS = 6.2
# The server leaves this long after the link has healed.
LEAVES_AFTER_SECONDS = 1.1
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
STABILITY_SECONDS = BOUNDS["stability_ms"] / 1000
# The server serves on for drain_ms and a little longer, and then exits.
SERVES_ON_SECONDS = DRAIN_SECONDS + 0.4
# Time from the exit until the round ends.
OBSERVED_SECONDS = 0.8
WORK_SECONDS = 0.25
ROUNDS = 8
REST_SECONDS = 2.5
REQUESTS_PER_SECOND = 40
DEADLINE_SECONDS = 2.5


class Link:
    """The link of one machine to the store. While it is cut, no bytes pass and no connection is made."""

    BACKLOG = 64

    def __init__(self, target, record):
        self.host, self.port = target.split(":")
        self.record = record
        self.open = threading.Event()
        self.open.set()
        self.healed_at = None
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=self.BACKLOG)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.fillers = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            self.open.wait()
            connection, _ = self.listener.accept()
            if not self.open.is_set():
                # One connection may still be taken when the cut begins. Its bytes wait for the end.
                self.open.wait()
            if self.healed_at is not None and connection.getpeername() not in self.filler_names():
                self.record(f"first connection to the store {time.monotonic() - self.healed_at:.3f} s after the link healed")
                self.healed_at = None
            threading.Thread(target=self.connect, args=(connection,), daemon=True).start()

    def filler_names(self):
        return [filler.getsockname() for filler in self.fillers]

    def connect(self, connection):
        try:
            other = socket.create_connection((self.host, int(self.port)))
        except OSError:
            connection.close()
            return
        for end in (connection, other):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(connection, other), daemon=True).start()
        threading.Thread(target=self.pump, args=(other, connection), daemon=True).start()

    def pump(self, source, target):
        try:
            while data := source.recv(65536):
                self.open.wait()
                target.sendall(data)
        except OSError:
            pass
        finally:
            self.open.wait()
            for end in (source, target):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def cut(self):
        """Holds all bytes, and fills the queue of new connections, so that the kernel drops what asks for one."""
        self.open.clear()
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def heal(self):
        self.healed_at = time.monotonic()
        self.listener.listen(self.BACKLOG)
        self.open.set()


class Server(PlainService):
    """A server of our pages: writes its entry at each heartbeat, and may leave without a report of `draining`."""

    def __init__(self, store, zone, record):
        self.sequence = 0
        self.record = record
        self.removed_at = None
        self.has_ended = False
        self.connections = []
        super().__init__(store, "ledger", zone)
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return {**super().entry(), "sequence": self.sequence}

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            with self.lock:
                if self.removed_at is not None:
                    return
                self.sequence += 1
                self.announce("ready")

    def leave(self):
        """Removes the entry and serves on for the time of our pages."""
        with self.lock:
            self.store.remove("servers", self.id)
            self.removed_at = time.monotonic()
        threading.Timer(SERVES_ON_SECONDS, self.end).start()

    def handle(self, handler):
        self.connections.append(handler.connection)
        if handler.headers.get("X-Lacewinglb-Request-Id"):
            time.sleep(WORK_SECONDS)
        if self.has_ended:
            raise ConnectionAbortedError
        super().handle(handler)

    def end(self):
        """Exits; what it still works on gets no answer."""
        self.has_ended = True
        self.server.shutdown()
        self.server.server_close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def requests(self):
        return [(at, name) for at, name in list(self.arrivals) if name.startswith("book-")]


class Consumers:
    """Consumers that send requests to one machine at a steady rate, each on a connection of its own."""

    def __init__(self, gateway, record):
        self.gateway, self.record = gateway, record
        self.sent = {}
        self.outcomes = {}
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        number = 0
        while not self.is_stopped:
            number += 1
            threading.Thread(target=self.send, args=(f"book-{number}",), daemon=True).start()
            time.sleep(1 / REQUESTS_PER_SECOND)

    def send(self, request):
        self.sent[request] = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", self.gateway.front, timeout=DEADLINE_SECONDS)
        try:
            connection.request("POST", "/book/1", "{}", {
                "Host": HOST, "X-Lacewinglb-Request-Id": request, "Authorization": f"Bearer {KEY}",
                "X-Lacewinglb-Deadline-Milliseconds": str(int(DEADLINE_SECONDS * 1000))})
            answer = connection.getresponse()
            answer.read()
            outcome = answer.status
        except (OSError, http.client.HTTPException) as error:
            outcome = type(error).__name__
        finally:
            connection.close()
        self.outcomes[request] = outcome

    def stop(self):
        self.is_stopped = True
        self.thread.join()


def play_round(number, link, leaving, consumers, record):
    """Cuts the link, heals it and lets a server leave; returns the requests that break the rule."""
    if TROUBLE:
        link.cut()
        record(f"round {number}: the link of {consumers.gateway.name} to the store is cut")
    time.sleep(CUT_SECONDS)
    if TROUBLE:
        link.heal()
        record(f"round {number}: the link has healed")
    healed_at = time.monotonic()
    time.sleep(LEAVES_AFTER_SECONDS)
    leaving.leave()
    record(f"round {number}: the store has acknowledged the removal of server {leaving.id}")
    time.sleep(SERVES_ON_SECONDS + OBSERVED_SECONDS)
    # The machine is in touch `stability_ms` after its link has healed. Only what a consumer has sent from then on counts.
    judged_from = max(leaving.removed_at + DRAIN_SECONDS, healed_at + STABILITY_SECONDS)
    late = [(at, name) for at, name in leaving.requests() if min(at, consumers.sent[name]) > judged_from]
    since_removal = [at - leaving.removed_at for at, _ in leaving.requests() if at > leaving.removed_at]
    record(f"round {number}: {len(since_removal)} requests at {leaving.id} after its removal, the last "
           f"{max(since_removal, default=0):.3f} s after it; too late: {len(late)}")
    for at, name in late:
        record(f"round {number}: {name} sent {consumers.sent[name] - healed_at:.3f} s after the link healed, at {leaving.id} "
               f"{at - leaving.removed_at:.3f} s after its removal, answered {consumers.outcomes.get(name)}")
    return late


def case(folder, record):
    store = Store()
    SoundEngine(store, "engines", "ikeja", "m")
    zone = ZONES[0]
    for each in ZONES:
        Server(store, each, record)
    store.put("op", "config", configuration())
    link = Link(store.address, record)
    gateways = []
    try:
        gateways.append(Gateway(f"front-{zone}-1", zone, link, folder, record))
        gateways += [Gateway(f"front-{each}-1", each, store, folder, record) for each in ZONES[1:]]
        wait_until_serving(gateways, 1)
        consumers = Consumers(gateways[0], record)
        late = []
        for number in range(1, ROUNDS + 1):
            leaving = Server(store, zone, record)
            time.sleep(REST_SECONDS)
            if not leaving.requests():
                record(f"round {number}: no request at the server before the cut")
            late += play_round(number, link, leaving, consumers, record)
        consumers.stop()
        time.sleep(DEADLINE_SECONDS)
        outcomes = {}
        for outcome in consumers.outcomes.values():
            outcomes[str(outcome)] = outcomes.get(str(outcome), 0) + 1
        record(f"requests: {len(consumers.sent)}, outcomes: {outcomes}")
        lost = [name for _, name in late if consumers.outcomes.get(name) != 200]
        record(f"requests that came too late: {len(late)}, of which {len(lost)} got no answer of the server")
        for line in gateways[0].log_text().splitlines():
            if "upstream_gone" in line or "store" in line:
                record(f"log of {gateways[0].name}: {line}")
        if late:
            return [f"DRAIN: {len(late)} requests reached a server later than drain_ms after the store had acknowledged that it "
                    "is gone"]
        return []
    finally:
        for gateway in gateways:
            gateway.end()


run_case(pathlib.Path(__file__).parent, case)
