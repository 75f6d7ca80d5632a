"""Consumers and servers for the scripts of this review, as the pages describe them."""

import http.client
import json
import random
import threading
import time

from deployment import KEY
from standins import Handler, serve

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Consumers:
    """Sends requests, each with an id of its own on a connection of its own, and keeps what they are answered."""

    def __init__(self, record, host="ficu95.example"):
        self.record, self.host = record, host
        self.lock = threading.Lock()
        self.count = 0
        # By request id: when it was sent, to which gateway, its path, and the status, 0 if there was no whole answer.
        self.sent = {}
        self.answers = {}
        self.threads = []

    def send(self, gateway, method, path, body=b"", more=(), deadline_ms=4000, key=KEY):
        with self.lock:
            self.count += 1
            request = f"{random.getrandbits(32):08x}{self.count:08x}"
            self.sent[request] = (self.record.now(), gateway.name, path)
        headers = {"Host": self.host, "X-Lacewinglb-Request-Id": request, "Authorization": f"Bearer {key}",
                   "X-Lacewinglb-Deadline-Milliseconds": str(deadline_ms), **dict(more)}
        self.record.add(f"request {request} {method} {path} sent to {gateway.name}")
        status, text, seal = 0, b"", None
        connection = http.client.HTTPConnection("127.0.0.1", gateway.ports[0], timeout=deadline_ms / 1000 + 1)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            status, seal = answer.status, answer.getheader("X-Lacewinglb-Response-Seal")
            text = answer.read()
            self.record.add(f"request {request} answered {status}, seal {seal}, {len(text)} bytes, whole")
        except (OSError, http.client.HTTPException) as error:
            self.record.add(f"request {request} got no whole answer (status {status}): {type(error).__name__}")
            status = 0
        finally:
            connection.close()
        with self.lock:
            self.answers[request] = (status, self.record.now(), text)
        return request, status, text

    def begin(self, *arguments, **named):
        thread = threading.Thread(target=self.send, args=arguments, kwargs=named, daemon=True)
        self.threads.append(thread)
        thread.start()

    def finish(self):
        for thread in self.threads:
            thread.join(20)


class Server:
    """A server of a plain service: registers itself, pings, works for a time on each request, and may leave."""

    PING_SECONDS = 1.2

    def __init__(self, store, record, service, zone, work_s=0.05, slots=6):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.work_s, self.slots = work_s, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.state = "ready"
        self.says_leaving = False
        self.is_gone = False
        self.sequence = 0
        # Arrivals of requests: time, request id, and whether it ran.
        self.arrivals = []
        self.connections = set()
        server = self

        class ServerHandler(Handler):
            def setup(self):
                super().setup()
                server.connections.add(self.connection)

            def do_GET(self):
                server.serve(self)

            def do_POST(self):
                server.serve(self)

        self.server, self.address = serve(ServerHandler)
        self.announce()
        threading.Thread(target=self.ping, daemon=True).start()

    def announce(self):
        with self.lock:
            self.sequence += 1
            entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                     "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                     "born": self.born}
        self.store.put("servers", self.id, entry)

    def ping(self):
        while not self.is_gone:
            time.sleep(self.PING_SECONDS)
            if not self.is_gone:
                self.announce()

    def serve(self, handler):
        body = handler.body()
        request = handler.headers.get("X-Lacewinglb-Request-Id")
        identity = [("X-Lacewinglb-Request-Id", request)] if request else []
        if self.says_leaving:
            identity.append(("Server-Leaving", "1"))
        if handler.headers.get("X-Lacewinglb-Expect-Instance", self.id) != self.id:
            handler.answer(421, b"", identity)
            return
        if not request:
            handler.answer(400, b"", identity + [("X-Lacewinglb-Not-Executed", "1")])
            return
        with self.lock:
            self.arrivals.append((self.record.now(), request))
        self.record.add(f"request {request} reaches server {self.id}, which runs it")
        self.run(handler, request, body, identity)

    def run(self, handler, request, body, identity):
        time.sleep(self.work_s)
        if self.is_gone:
            return
        handler.answer(200, {"request": request, "by": self.id},
                       identity + [("X-Lacewinglb-Response-Seal", SEAL), ("X-Lacewinglb-Instance-Id", self.id)])
        self.record.add(f"server {self.id} has answered {request}"
                        + (" with Server-Leaving" if self.says_leaving else ""))

    def drain(self):
        """Reports that it leaves, in the store and in all its answers."""
        self.says_leaving = True
        self.state = "draining"
        self.announce()
        self.record.add(f"server {self.id} reports draining; the store has accepted that")

    def exit(self):
        """Ends: removes its entry, and all its connections break."""
        self.is_gone = True
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(2)
            except OSError:
                pass
        self.store.remove("servers", self.id)
        self.record.add(f"server {self.id} has exited")


class KeptCaller:
    """A consumer that sends one request after the other on a connection that it keeps, as the pages let it."""

    def __init__(self, consumers, gateway, path, deadline_ms, pause_s=0.01):
        self.consumers, self.gateway, self.path = consumers, gateway, path
        self.deadline_ms, self.pause_s = deadline_ms, pause_s
        self.is_over = False
        # Requests whose kept connection was closed without an answer; the first one of a connection is left out.
        self.cut = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection, is_kept = None, False
        while not self.is_over:
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.gateway.ports[0],
                                                        timeout=self.deadline_ms / 1000 + 1)
                is_kept = False
            if not self.exchange(connection, is_kept):
                connection.close()
                connection = None
                time.sleep(0.1)
                continue
            is_kept = True
            time.sleep(self.pause_s)
        if connection:
            connection.close()

    def exchange(self, connection, is_kept):
        consumers, record = self.consumers, self.consumers.record
        with consumers.lock:
            consumers.count += 1
            request = f"{random.getrandbits(32):08x}{consumers.count:08x}"
            consumers.sent[request] = (record.now(), self.gateway.name, self.path)
        try:
            connection.request("POST", self.path, b"{}", {
                "Host": consumers.host, "X-Lacewinglb-Request-Id": request, "Authorization": f"Bearer {KEY}",
                "X-Lacewinglb-Deadline-Milliseconds": str(self.deadline_ms)})
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            if is_kept:
                self.cut.append(request)
                record.add(f"request {request} on a kept connection to {self.gateway.name}: the connection was closed "
                           f"without an answer ({type(error).__name__})")
            with consumers.lock:
                consumers.answers[request] = (0, record.now(), b"")
            return False
        with consumers.lock:
            consumers.answers[request] = (answer.status, record.now(), b"")
        record.add(f"request {request} on a kept connection to {self.gateway.name} answered {answer.status}")
        return answer.getheader("Connection", "").lower() != "close"

    def end(self):
        self.is_over = True
        self.thread.join(10)
