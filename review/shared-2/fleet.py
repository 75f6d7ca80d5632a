"""Stand-ins of the platform on loopback for the scripts of review/6 and later: the store, plain servers, the platform that
starts the gateways with the commands of the deploy file, and consumers. They follow PROTOCOL.md and DEPLOY.md."""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import socketserver
import subprocess
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Figures of a small deployment: the sheet of falaj-mf.
BOUNDS = {"drain_ms": 2000, "stability_ms": 3000, "grace_period_s": 8, "lease_duration_ms": 3000, "require_fencing": True,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 17000, "budget_ratio": 0.2, "budget_slack": 54,
          "budget_window_s": 10, "configuration_deadline_ms": 2000}
KEY = "key-1"
# Ports that were given out already; a gateway takes some of its own only after a while.
GIVEN_PORTS = set()
HOST = "a.example"


def free_ports(count):
    """Returns ports that are free at the moment, below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(15000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run, with the time since the start, to record.txt."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(handler):
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server, f"127.0.0.1:{server.server_address[1]}"


class Store:
    """The platform's store: rows with one version counter, transactions, reads and feeds."""

    def __init__(self, version=0):
        self.lock = threading.Condition()
        self.version = version
        self.rows = {}
        # Feeds from before this version get 410, since that part of the history is gone.
        self.floor = 0
        # Bounds a page of a read; the pages say 500 rows at most.
        self.page = 500
        # Whether all calls are answered 503, those of servers too.
        self.is_down = False
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                self.answer(503) if store.is_down else store.read(self)

            def do_POST(self):
                if store.is_down:
                    self.body()
                    self.answer(503)
                else:
                    store.commit(self)

        self.server, self.address = serve(StoreHandler)

    def put(self, table, key, value):
        """Writes a row; None removes it. Returns the time of the ack."""
        with self.lock:
            self.version += 1
            self.rows[table, key] = (self.version, None if value is None else json.dumps(value).encode())
            self.lock.notify_all()
            return time.monotonic()

    def put_and_forget_history(self, table, key, value):
        """Writes a row and, right after it, drops the history. Returns the time of the ack."""
        with self.lock:
            self.version += 1
            self.rows[table, key] = (self.version, None if value is None else json.dumps(value).encode())
            acknowledged = time.monotonic()
            self.floor = self.version
            self.lock.notify_all()
            return acknowledged

    @staticmethod
    def encode(table, key, version, value):
        row = {"table": table, "part": "", "key": key, "version_number": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def select(self, table, after, with_deleted):
        found = [(version, key, value) for (name, key), (version, value) in self.rows.items()
                 if name == table and version > after and (with_deleted or value is not None)]
        return [self.encode(table, key, version, value) for version, key, value in sorted(found, key=lambda row: row[0])]

    def answer(self, handler, status, rows=None, **more):
        body = {"version_number": self.version, "current_time_ms": int(time.monotonic() * 1000), **more}
        if rows is not None:
            body["rows"] = rows
        return status, body

    def read(self, handler):
        url = urllib.parse.urlparse(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.lock:
            if url.path == "/-/rows-get":
                rows = sorted(self.select(query["table"], 0, False), key=lambda row: row["key"].encode())
                rows = [row for row in rows if row["key"] >= query.get("from", "")
                        and ("to" not in query or row["key"] < query["to"])]
                limit = min(self.page, int(query.get("limit", self.page)))
                status, body = self.answer(handler, 200, rows[:limit], has_more=len(rows) > limit)
            else:
                after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
                while after >= self.floor and not self.is_down and time.monotonic() < end and not self.select(query["table"], after, True):
                    self.lock.wait(max(0.001, end - time.monotonic()))
                if self.is_down:
                    status, body = 503, b""
                elif after < self.floor:
                    status, body = self.answer(handler, 410)
                else:
                    status, body = self.answer(handler, 200, self.select(query["table"], after, True))
        handler.answer(status, body)

    def commit(self, handler):
        call = json.loads(handler.body())
        with self.lock:
            status, body = self.transaction(handler, call)
        time.sleep(0.004)
        handler.answer(status, body)

    def transaction(self, handler, call):
        if len(call["precondition"]) + len(call["writes"]) + len(call["deletes"]) > 100:
            return self.answer(handler, 400)
        if any(item["table"] in ("op", "servers") for item in call["writes"] + call["deletes"]):
            return self.answer(handler, 403)
        for item in call["precondition"]:
            version, value = self.rows.get((item["table"], item["key"]), (0, None))
            if (0 if value is None else version) != item["version_number"]:
                keys = [(each["table"], each["key"]) for each in call["precondition"]]
                rows = [self.encode(*key, *self.rows[key]) for key in keys if self.rows.get(key, (0, None))[1] is not None]
                return self.answer(handler, 412, rows)
        self.version += 1
        for item in call["writes"]:
            self.rows[item["table"], item["key"]] = (self.version, base64.b64decode(item["value"]))
        for item in call["deletes"]:
            self.rows[item["table"], item["key"]] = (self.version, None)
        self.lock.notify_all()
        return self.answer(handler, 200)


class Proxy:
    """A way to one server, which can be silent: open connections carry nothing then, and new ones hang."""

    def __init__(self, target):
        self.target = target
        self.is_silent = False
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller):
        host, port = self.target.split(":")
        try:
            server = socket.create_connection((host, int(port)), 2)
        except OSError:
            caller.close()
            return
        for each in (caller, server):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(caller, server), daemon=True).start()
        threading.Thread(target=self.pump, args=(server, caller), daemon=True).start()

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                while self.is_silent:
                    time.sleep(0.01)
                sink.sendall(data)
        except OSError:
            pass
        while self.is_silent:
            time.sleep(0.01)
        for each in (source, sink):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class PlainServer:
    """A server of a plain service."""

    def __init__(self, store, record, service, zone, work_seconds=0.03):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.work_seconds = work_seconds
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.is_leaving = False
        self.is_ended = False
        self.lock = threading.Lock()
        self.connections = set()
        # Times and ids of requests that it began to work on.
        self.runs = []
        server = self

        class ServerHandler(Handler):
            def setup(self):
                super().setup()
                with server.lock:
                    server.connections.add(self.connection)

            def finish(self):
                with server.lock:
                    server.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                server.handle(self)

            def do_POST(self):
                server.handle(self)

        self.server, self.address = serve(ServerHandler)
        # The address in the store, which is that of a proxy if there is one.
        self.public_address = self.address

    def entry(self, state):
        return {"service": self.service, "address": self.public_address, "zone": self.zone, "version": "v1", "slots": 6,
                "state": state, "cold_remaining_ms": 0, "sequence": 0, "born": self.born}

    def announce(self, state):
        return self.store.put("servers", self.id, self.entry(state))

    def handle(self, handler):
        body = handler.body()
        request = handler.headers.get("X-Lacewinglb-Request-Id", "")
        identity = [("X-Lacewinglb-Request-Id", request)]
        if self.is_leaving:
            identity += [("Server-Leaving", "1"), ("Connection", "close")]
        if handler.headers.get("X-Lacewinglb-Expect-Instance", self.id) != self.id:
            handler.answer(421, b"", [*identity, ("X-Lacewinglb-Not-Executed", "1")])
            return
        self.runs.append((time.monotonic(), request))
        self.record.write(f"run {request} at {self.id} leaving={self.is_leaving}")
        self.work(handler, request)
        if self.is_ended:
            handler.close_connection = True
            return
        handler.answer(200, {"by": self.id, "length": len(body)}, [*identity, ("X-Lacewinglb-Response-Seal", f"seal-{request}")])

    def work(self, handler, request):
        time.sleep(self.work_seconds)

    def end(self):
        """Ends as a process does: it listens no longer and its connections break off."""
        self.is_ended = True
        self.server.shutdown()
        self.server.server_close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Engine(PlainServer):
    """A server of a model service: loads adapters on order and checks fence numbers."""

    ADAPTER_SLOTS = 6
    LOAD_SECONDS = 0.25
    EVENTS = 5

    def __init__(self, store, record, service, zone, model):
        self.model = model
        self.sequence = 0
        self.fence = 0
        # Times at which adapters are loaded, by name.
        self.adapters = {}
        # Time, holder, fence number, operation, adapter and status of each order.
        self.orders = []
        super().__init__(store, record, service, zone)
        self.proxy = Proxy(self.address)
        self.public_address = self.proxy.address
        threading.Thread(target=self.ping, daemon=True).start()

    def ping(self):
        """Writes the entry again when the models in it have changed."""
        written = None
        while not self.is_ended:
            time.sleep(1.2)
            with self.lock:
                models = self.models()
            if models != written and ("servers", self.id) in self.store.rows:
                self.announce("ready")
                written = models

    def entry(self, state):
        return {**super().entry(state), "slots": 64, "sequence": self.sequence, "models": self.models()}

    def models(self):
        now = time.monotonic()
        return [{"name": self.model, "version": 1,
                 "adapters": [f"{name}@1" for name, ready in self.adapters.items() if ready <= now]}]

    def handle(self, handler):
        if handler.headers.get("X-Lacewinglb-Expect-Instance", self.id) != self.id:
            super().handle(handler)
        elif handler.path == "/-/order":
            with self.lock:
                status = self.order(json.loads(handler.body()))
            handler.answer(status)
        elif handler.path == "/-/report":
            with self.lock:
                now = time.monotonic()
                pending = [f"{self.model}/{name}@1" for name, ready in self.adapters.items() if ready > now]
                report = {"stage": "both", "models": self.models(), "busy": False, "sequence": self.sequence, "waiting": 0,
                          "running": 0, "kv_used": 0, "kv_total": 151286, "handles": 0, "pending": pending}
            handler.answer(200, report)
        else:
            self.stream(handler)

    def order(self, order):
        status = self.carry_out(order)
        self.orders.append((time.monotonic(), order["holder"], order["fencing_token"], order["operation"],
                            order.get("adapter"), status))
        self.record.write(f"order at {self.id}: {order['operation']} {order.get('adapter')} by {order['holder']} "
                          f"fence {order['fencing_token']} (highest {self.fence}) -> {status}")
        return status

    def carry_out(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        name, now = order.get("adapter"), time.monotonic()
        if not name or order["model"] != self.model:
            return 400
        ready = self.adapters.get(name)
        if order["operation"] == "load" and ready is not None:
            return 200 if ready <= now else 202
        if order["operation"] == "unload" and ready is None:
            return 200
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if order["operation"] == "unload":
            del self.adapters[name]
            return 200
        self.adapters[name] = now + self.LOAD_SECONDS
        return 202

    def stream(self, handler):
        handler.body()
        request = handler.headers.get("X-Lacewinglb-Request-Id", "")
        identity = [("X-Lacewinglb-Request-Id", request), ("X-Lacewinglb-Server-Load", "1,0,64")]
        name = handler.headers.get("X-Lacewinglb-Model", "").partition("/")[2]
        ready = self.adapters.get(name) if name else 0
        if ready is None or ready > time.monotonic():
            handler.answer(421 if ready is None else 503, b"", [*identity, ("X-Lacewinglb-Not-Executed", "1")])
            return
        self.runs.append((time.monotonic(), request))
        self.record.write(f"run {request} of {name} at {self.id}")
        handler.send_response(200)
        for field in [*identity, ("X-Lacewinglb-Response-Seal", f"seal-{request}"), ("Content-Type", "text/event-stream"),
                      ("Transfer-Encoding", "chunked")]:
            handler.send_header(*field)
        handler.end_headers()
        for number in range(1, self.EVENTS + 1):
            event = f"id: {number}\ndata: {name}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.02)
        handler.wfile.write(b"0\r\n\r\n")


def engine_service(name, model):
    return {"name": name, "connection_limit": 360, "engine": {
        "slots": 64, "kv_cache_tokens": 151286, "adapter_slots": Engine.ADAPTER_SLOTS, "weights_size_mb": 66500.0,
        "loads_per_s": 3.4, "models": [{"name": model, "weights_size_mb": 65100.0, "load_time_s": 2.9, "adapters": 3000,
                                        "adapter_size_mb": 12.0}]}}


def manifest(version, routes, services, tokens_per_second=100000):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "t-1", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 1,
                         "rate_per_s": tokens_per_second, "burst": tokens_per_second}]}


def route(name, kind, service, attempts, timeout_ms=1200, target_ms=150, **more):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 2, "service": service, "attempts": attempts, "anonymous": False, **more}


def render(template, values):
    """Fills in the placeholders of the settings template that it uses: values and values as JSON."""

    def value(match):
        name, _, as_json = match.group(1).partition("|")
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        if as_json:
            return json.dumps(found)
        if isinstance(found, bool):
            return str(found).lower()
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Gateway:
    """One machine with the role of the deploy file."""

    def __init__(self, name, zone, zones, store_address, folder, first_start=True):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.role = deploy["roles"]["gateway"]
        self.name, self.zone = name, zone
        ports = free_ports(5)
        self.ports = dict(zip(("front", "ready", "directory", "peer", "metrics"), ports))
        self.folder = pathlib.Path(folder)
        self.values = {
            "node_name": name, "zone": zone, "region": "muscat", "zones": {each: "muscat" for each in zones},
            "listen_addresses": {each: f"127.0.0.1:{self.ports[each]}" for each in ("front", "ready", "directory")},
            "ip_address": "127.0.0.1", "internal_ports": [self.ports["peer"], self.ports["metrics"]],
            "platform": {"address": store_address}, "bounds": BOUNDS, "limits": {"memory_mb": 260}, "first_start": first_start}
        self.settings = self.folder / f"{name}.yaml"
        self.write_settings()
        self.log = open(self.folder / f"{name}.log", "ab")
        self.process = None
        self.start()

    def write_settings(self):
        text = render((ROOT / self.role["template"]).read_text(encoding="utf-8"), self.values)
        temporary = self.settings.with_suffix(".tmp")
        temporary.write_text(text, encoding="utf-8")
        temporary.rename(self.settings)

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                       "LACEWINGLB_BOOT": str(self.settings)}
        self.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)

    def get(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=3)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        finally:
            connection.close()

    def is_ready(self):
        try:
            return self.get("ready", "/-/readiness")[0] == 200
        except OSError:
            return False

    def metric(self, name):
        try:
            for line in self.get("metrics", "/metrics")[1].splitlines():
                if line.startswith(name + " "):
                    return float(line.split()[1])
        except OSError:
            pass
        return 0.0

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


class Consumer:
    """Sends requests, each with an id of its own, on new connections."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.count = 0
        # Per id: when it was sent, and the status, or None for a connection that closed without an answer.
        self.sent = {}
        self.answers = {}

    def next_id(self):
        with self.lock:
            self.count += 1
            return f"{self.count:04x}{random.getrandbits(48):012x}"

    def request(self, gateway, method, path, body=b"", deadline_ms=2500, headers=None):
        request = self.next_id()
        connection = http.client.HTTPConnection("127.0.0.1", gateway.ports["front"], timeout=deadline_ms / 1000 + 1)
        status = None
        self.sent[request] = time.monotonic()
        self.record.write(f"send {request} {method} {path} to {gateway.name}")
        try:
            connection.request(method, path, body, {
                "Host": HOST, "X-Lacewinglb-Request-Id": request, "X-Lacewinglb-Deadline-Milliseconds": str(deadline_ms),
                "Authorization": f"Bearer {KEY}", **(headers or {})})
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException) as error:
            self.record.write(f"end {request} {type(error).__name__}")
        finally:
            connection.close()
        self.answers[request] = status
        self.record.write(f"answer {request} {status}")
        return request, status


def wait_for(condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True
