"""A model server for the scripts of this review, as PROTOCOL.md describes it."""

import json
import threading
import time

from traffic import SEAL, Server


class Engine(Server):
    """Holds one model, loads adapters on order, and crashes if it is ordered to load more than it holds.

    Settings are those of the pages' example of a manifest, but for the size of an adapter, which is the script's.
    """

    MODEL = "daka510000"
    MODEL_MB = 34300.0
    WEIGHTS_MB = 35200.0
    SLOTS = 6
    LOAD_SECONDS = 0.25
    CACHED_LOAD_SECONDS = 0.025
    EVENTS = 30
    EVENT_SECONDS = 0.03

    def __init__(self, store, record, service, zone, adapter_mb):
        self.adapter_mb = adapter_mb
        # By name: when the adapter is or was in place.
        self.adapters = {}
        self.users = {}
        self.held_before = set()
        self.orders = 0
        self.fence = 0
        self.breaks = []
        super().__init__(store, record, service, zone, slots=64)

    def present(self):
        now = time.monotonic()
        return sorted(name for name, ready in self.adapters.items() if ready <= now)

    def pending(self):
        now = time.monotonic()
        return sorted(name for name, ready in self.adapters.items() if ready > now)

    def announce(self):
        with self.lock:
            entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 64,
                     "state": self.state, "cold_remaining_ms": 0, "sequence": self.orders, "born": self.born,
                     "stage": "both", "models": [{"name": self.MODEL, "version": 1,
                                                  "adapters": [f"{name}@1" for name in self.present()]}]}
        self.store.put("servers", self.id, entry)

    def serve(self, handler):
        if handler.headers.get("X-Lacewinglb-Expect-Instance", self.id) != self.id:
            handler.body()
            handler.answer(421)
        elif handler.path == "/-/order":
            with self.lock:
                order = json.loads(handler.body())
                status = self.order(order)
                self.record.add(f"server {self.id}: {order['operation']} {order.get('adapter')} by {order['holder']}, "
                                f"fence number {order['fencing_token']}: {status}")
            if not self.is_gone:
                handler.answer(status)
        elif handler.path == "/-/report":
            with self.lock:
                handler.answer(200, {
                    "stage": "both", "busy": False, "sequence": self.orders, "waiting": 0, "running": 0, "kv_used": 0,
                    "kv_total": 149132, "handles": 0,
                    "models": [{"name": self.MODEL, "version": 1, "adapters": [f"{n}@1" for n in self.present()]}],
                    "pending": [f"{self.MODEL}/{name}@1" for name in self.pending()]})
        else:
            super().serve(handler)

    def order(self, order):
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        name, now = order.get("adapter"), time.monotonic()
        if order["operation"] == "load" and (name is None or self.adapters.get(name, now + 1) <= now):
            return 200
        if order["operation"] == "load" and name in self.adapters:
            return 202
        if order.get("precondition", self.orders) != self.orders:
            return 409
        if order["operation"] == "unload":
            if name not in self.adapters:
                return 200
            if self.users.get(name, 0) > 0 or self.adapters[name] > now:
                return 409
            self.orders += 1
            del self.adapters[name]
            return 200
        if len(self.pending()) >= 4:
            return 409
        self.orders += 1
        self.adapters[name] = now + (self.CACHED_LOAD_SECONDS if name in self.held_before else self.LOAD_SECONDS)
        self.held_before.add(name)
        held = self.MODEL_MB + len(self.adapters) * self.adapter_mb
        if len(self.adapters) > self.SLOTS or held > self.WEIGHTS_MB:
            self.breaks.append(f"server {self.id} was ordered to load {len(self.adapters)} adapters: {held:.0f} MB of "
                               f"{self.WEIGHTS_MB:.0f} MB, {len(self.adapters)} of {self.SLOTS} places; it crashes")
            threading.Thread(target=self.exit, daemon=True).start()
        return 202

    def run(self, handler, request, body, identity):
        name = handler.headers["X-Lacewinglb-Model"].split("/")[1]
        with self.lock:
            ready = self.adapters.get(name)
            is_present = ready is not None and ready <= time.monotonic()
            if is_present:
                self.users[name] = self.users.get(name, 0) + 1
        if not is_present:
            status = 421 if ready is None else 503
            handler.answer(status, b"", identity + [("X-Lacewinglb-Not-Executed", "1")])
            return
        try:
            self.stream(handler, request, identity)
        finally:
            with self.lock:
                self.users[name] -= 1

    def stream(self, handler, request, identity):
        handler.send_response(200)
        for key, value in [*identity, ("X-Lacewinglb-Response-Seal", SEAL), ("Content-Type", "text/event-stream"),
                           ("X-Lacewinglb-Weight-Versions", "1"), ("Transfer-Encoding", "chunked")]:
            handler.send_header(key, value)
        handler.end_headers()
        for number in range(1, self.EVENTS + 1):
            if self.is_gone:
                return
            event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.EVENT_SECONDS)
        handler.wfile.write(b"0\r\n\r\n")
        self.record.add(f"server {self.id} has sent all events of {request}")


def engine_service(name, adapter_mb):
    """Returns a service of engines, as the example of a manifest shows it."""
    return {"name": name, "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kv_cache_tokens": 149132, "kv_token_bytes": 327680, "adapter_slots": Engine.SLOTS,
                       "weights_size_mb": Engine.WEIGHTS_MB, "loads_per_s": 2.1,
                       "models": [{"name": Engine.MODEL, "weights_size_mb": Engine.MODEL_MB, "load_time_s": 1.5,
                                   "adapters": 3000, "adapter_size_mb": adapter_mb, "warm_up_s": 0.42,
                                   "disk_load_s": 0.6}]}}
