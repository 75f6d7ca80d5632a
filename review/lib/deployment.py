"""A small deployment on loopback for the scripts of this review: the store, gateways, and links that can be cut.

Gateways are started with the command and the environment variable of the deploy file, with settings like those of the
site glowwalk-ho. Each gateway reads the store through an address of its own, and each pair of gateways is joined by a
proxy of its own, so that a single machine can be cut off from the store, from its peers or from a server.
"""

import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
sys.path.insert(0, str(ROOT / "platform" / "tests"))
sys.dont_write_bytecode = True

from standins import Handler, Store, free_ports, serve  # noqa: E402

PROGRAM = ROOT / "target" / "lacewinglb-gateway"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-1"
ZONES = ("ikeja", "lekki", "yaba")
# The settings that platform/settings.yaml gives with the bounds of the site glowwalk-ho.
SETTINGS = """host: {name}
dataCentre: {zone}
callerAddress: 127.0.0.1:{ports[0]}
readinessAddress: 127.0.0.1:{ports[1]}
directoryAddress: 127.0.0.1:{ports[2]}
peerAddress: 127.0.0.1:{ports[3]}
metricsAddress: 127.0.0.1:{ports[4]}
storeAddress: {store}
leaseMilliseconds: 3000
enginesCheckFencing: true
stopSeconds: 8
usageWindowSeconds: 8
usageToleranceShare: 0.1
usageToleranceAmount: 17000
retryRatio: 0.2
retrySlack: 54
retryWindowSeconds: 10
firstStart: true
"""


class Link:
    """TCP proxy to one address. While it is silent it holds all bytes and new connections back."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.is_silent = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.join, args=(caller,), daemon=True).start()

    def wait(self):
        while self.is_silent:
            time.sleep(0.01)

    def join(self, caller):
        self.wait()
        try:
            callee = socket.create_connection(self.target, 2)
        except OSError:
            caller.close()
            return
        for one in (caller, callee):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(caller, callee), daemon=True).start()
        self.pump(callee, caller)

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                self.wait()
                sink.sendall(data)
            self.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for one in (source, sink):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Platform(Store):
    """The project's store stand-in, without the header that the pages don't name, and with one address a machine."""

    def __init__(self):
        super().__init__()
        self.stated_era = lambda path, era: None
        self.links = {}

    def view(self, deployment, viewer):
        """Returns the address at which a machine reads the store: it finds its peers behind links of their own."""
        store = self

        class View(Handler):
            def do_GET(self):
                store.get(ViewAnswer(self, deployment, viewer))

            def do_POST(self):
                store.commit(ViewAnswer(self, deployment, viewer))

        _, address = serve(View)
        return address


class ViewAnswer:
    """Rewrites the addresses of peers in what the store answers to one machine."""

    def __init__(self, handler, deployment, viewer):
        self.handler, self.deployment, self.viewer = handler, deployment, viewer
        self.path = handler.path

    def body(self):
        return self.handler.body()

    def answer(self, status, body=b"", headers=()):
        if isinstance(body, dict) and "rows" in body:
            body = {**body, "rows": [self.deployment.seen_by(self.viewer, row) for row in body["rows"]]}
        self.handler.answer(status, body, headers)


class Gateway:
    """One process of the system."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.ports = free_ports(5)
        self.store_link = Link(deployment.store.view(deployment, name))
        self.settings = deployment.folder / f"{name}.yaml"
        self.settings.write_text(SETTINGS.format(name=name, zone=zone, ports=self.ports,
                                                 store=self.store_link.address))
        self.log_path = deployment.folder / f"{name}.log"
        self.process = None
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LACEWINGLB_BOOT"] = str(self.settings)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env=environment, stdout=log, stderr=log)

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
            return self.get(1, "/-/readiness")[0] == 200
        except OSError:
            return False

    def metric(self, name):
        try:
            text = self.get(4, "/metrics")[1]
        except (OSError, http.client.HTTPException):
            return 0
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith((name + " ", name + "{")))

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Deployment:
    """Gateways in three zones with the store; servers are added by the script."""

    def __init__(self, record, count=3):
        self.record = record
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.scratch.name)
        self.store = Platform()
        self.gateways = []
        self.peer_links = {}
        self.lock = threading.Lock()
        self.names = [f"front-{ZONES[number % 3]}-{1 + number // 3}" for number in range(count)]

    def start(self):
        for number, name in enumerate(self.names):
            self.gateways.append(Gateway(self, name, ZONES[number % 3]))

    def peer_link(self, viewer, peer, address):
        with self.lock:
            key = (viewer, peer, address)
            if key not in self.peer_links:
                self.peer_links[key] = Link(address)
            return self.peer_links[key]

    def seen_by(self, viewer, row):
        key = row.get("key", "")
        if not key.startswith("host:") or "value" not in row or key == f"host:{viewer}":
            return row
        record = json.loads(base64.b64decode(row["value"]))
        record["peer"] = self.peer_link(viewer, key[5:], record["peer"]).address
        return {**row, "value": base64.b64encode(json.dumps(record).encode()).decode()}

    def cut(self, name, is_cut, from_store=True, from_peers=True):
        """Cuts one machine off from the store and all other machines of the system, or heals that."""
        for gateway in self.gateways:
            if gateway.name == name and from_store:
                gateway.store_link.is_silent = is_cut
        if not from_peers:
            return
        with self.lock:
            for (viewer, peer, _), link in self.peer_links.items():
                if name in (viewer, peer):
                    link.is_silent = is_cut

    def wait_for(self, condition, what, seconds=20):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"no {what} within {seconds} s")
            time.sleep(0.05)

    def wait_ready(self, engines=0):
        self.wait_for(lambda: all(gateway.is_ready() for gateway in self.gateways), "ready gateways")
        if engines:
            self.wait_for(lambda: sum(g.metric("lacewing_owned_engines") for g in self.gateways) == engines,
                          "owners of all engines")
        others = len(self.gateways) - 1
        self.wait_for(lambda: all(g.metric("lacewing_peers_in_touch") == others for g in self.gateways),
                      "gateways in touch with each other")

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        self.scratch.cleanup()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.path = path
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        with self.lock:
            self.lines.append((self.now(), text))

    def save(self):
        with self.lock:
            lines = [f"{at:9.3f} s  {text}" for at, text in sorted(self.lines)]
        self.path.write_text("\n".join(lines) + "\n")


def play(case, folder):
    """Plays a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. case(record) returns the
    breaks."""
    if not PROGRAM.exists():
        print(f"no program at target/{PROGRAM.name}: run the build line of deploy/system.toml first")
        return 2
    # Ends what the case has started if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    try:
        breaks = case(record)
    except Exception as error:
        # Whatever goes wrong in the script is no break of a rule.
        if not isinstance(error, CannotRun):
            traceback.print_exc()
        record.add(f"could not run: {error!r}")
        record.save()
        print(f"could not run: {error!r}")
        return 2
    for line in breaks:
        record.add(f"BREAK {line}")
    record.add("the rule was broken" if breaks else "the rule held")
    record.save()
    print("\n".join(breaks[:12]))
    print(f"the rule was broken: {len(breaks)} times" if breaks else "the rule held")
    return 1 if breaks else 0


def manifest(version=1, keys=(KEY,), routes=(), services=(), more=None):
    """Returns a manifest of the form that the pages show."""
    result = {"version": version, "routes": list(routes), "services": list(services),
              "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                         "idle_timeout_ms": 15000},
              "tenants": [{"name": "hule930", "api_keys": list(keys), "unit": "tokens", "plain_tokens": 200,
                           "rate_per_s": 1000000, "burst": 1000000}]}
    result.update(more or {})
    return result


def route(name, kind, service, **more):
    return {"name": name, "host": "ficu95.example", "prefix": f"/{name}/", "kind": kind, "timeout_ms": 4000,
            "target_latency_ms": 800, "priority": 1, "service": service, "attempts": 2, "anonymous": False,
            "resumable": False, "target_gap_ms": 400, "sticky": False, **more}
