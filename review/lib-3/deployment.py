"""A small deployment: a configuration like those of our sites, sound engines, and consumers at a steady rate."""

import http.client
import random
import re
import threading
import time

from harness import HOST, KEY
from standins import Engine

ADAPTERS = 12
LEDGER_TIMEOUT_SECONDS = 1.0
# The consumers of the ledger wait longer than the route's timeout.
LEDGER_DEADLINE_SECONDS = 2.5
STREAM_DEADLINE_SECONDS = 4.0
ZONES = ("ikeja", "lekki", "yaba")


def configuration():
    def route(name, kind, service, timeout, target):
        return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout,
                "target_latency_ms": target, "priority": 1, "service": service, "attempts": 2 if kind == "safe" else 1,
                "anonymous": False, "sticky": kind == "streaming", "resumable": False, "target_gap_ms": 400}
    return {"version": 3,
            "routes": [route("brief", "streaming", "engines", 4000, 800),
                       route("check", "safe", "ledger", int(LEDGER_TIMEOUT_SECONDS * 1000), 150),
                       route("book", "unsafe", "ledger", int(LEDGER_TIMEOUT_SECONDS * 1000), 150)],
            "services": [{"name": "engines", "health_path": "/health", "connection_limit": 360, "protocol": "h1",
                          "tls": False, "engine": {
                              "slots": 64, "kv_cache_tokens": 149132, "adapter_slots": 6, "weights_size_mb": 35200,
                              "models": [{"name": "m", "weights_size_mb": 34300, "load_time_s": 1.5, "adapters": 3000,
                                          "adapter_size_mb": 40}]}},
                         {"name": "ledger", "health_path": "/health", "connection_limit": 100, "protocol": "h1",
                          "tls": False}],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "t-1", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 1,
                         "rate_per_s": 1000000, "burst": 1000000}]}


class SoundEngine(Engine):
    """An engine as our pages have it: it has the adapters a1 to a3000 and knows no others."""

    ADAPTER_SLOTS = 6

    def order(self, order):
        if not re.fullmatch(r"a[1-9]\d{0,3}", order.get("adapter", "")):
            return 400
        return super().order(order)


class Consumers:
    """Consumers that send requests at a steady rate, each on a connection of its own."""

    def __init__(self, gateways, record):
        self.gateways, self.record = gateways, record
        self.lock = threading.Lock()
        # Of each request: when it was sent, and how long its answer took; None without an answer.
        self.lookups = []
        self.streams = []

    def send(self, kind, number, gateway):
        request = f"{kind}-{number}"
        headers = {"Host": HOST, "X-Lacewinglb-Request-Id": request, "Authorization": f"Bearer {KEY}"}
        is_stream = kind == "stream"
        limit = STREAM_DEADLINE_SECONDS if is_stream else LEDGER_DEADLINE_SECONDS
        headers["X-Lacewinglb-Deadline-Milliseconds"] = str(int(limit * 1000))
        if is_stream:
            headers["X-Lacewinglb-Model"] = f"m/a{random.randint(1, ADAPTERS)}"
            headers["X-Lacewinglb-Token-Counts"] = "400,24"
        sent = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", gateway.front, timeout=limit)
        try:
            connection.request("POST" if is_stream else "GET", "/brief/1" if is_stream else "/check/1",
                               "{}" if is_stream else None, headers)
            answer = connection.getresponse()
            status = answer.status
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        finally:
            connection.close()
        took = time.monotonic() - sent
        with self.lock:
            (self.streams if is_stream else self.lookups).append((sent, took if isinstance(status, int) else None))
        self.record(f"{request} through {gateway.name}, sent {sent - self.record.started:.3f}: {status} after {took:.3f}")

    def run(self, kind, per_second, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            threading.Thread(target=self.send, args=(kind, number, random.choice(self.gateways)), daemon=True).start()
            time.sleep(random.uniform(0.5, 1.5) / per_second)

    def start(self, kind, per_second, end):
        thread = threading.Thread(target=self.run, args=(kind, per_second, end), daemon=True)
        thread.start()
        return thread
