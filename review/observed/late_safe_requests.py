"""A gateway is stopped while consumers are still sending the bodies of safe requests, which arrive late in its grace period."""

import pathlib
import random
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import HAS_TROUBLE, KEY, Deployment, manifest, play, route  # noqa: E402
from traffic import Server  # noqa: E402

GRACE_SECONDS = 8
CALLERS = 24
BODY_BYTES = 300_000
PIECES = 60
# Uploads begin this long before the signal and end at even times between these, in seconds after it.
HEAD_START_SECONDS = 0.5
FIRST_END_SECONDS, LAST_END_SECONDS = 4.0, 7.4
WORK_SECONDS = 0.6
DEADLINE_MS = 4000
EXCUSED_SECONDS = 3


class Upload:
    """A consumer that sends the body of one request over some seconds, never pausing for longer than 0.2 s."""

    def __init__(self, record, gateway, seconds):
        self.record, self.gateway, self.seconds = record, gateway, seconds
        self.request = f"{random.getrandbits(64):016x}"
        self.sent_at = self.ended_at = None
        self.answer = b""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = socket.create_connection(("127.0.0.1", self.gateway.ports[0]), 3)
        connection.settimeout(DEADLINE_MS / 1000 + 1)
        self.record.add(f"request {self.request}: the upload to {self.gateway.name} begins, {self.seconds:.2f} s long")
        try:
            connection.sendall((f"POST /route-check/1 HTTP/1.1\r\nHost: ficu95.example\r\nAuthorization: Bearer {KEY}\r\n"
                                f"X-Lacewinglb-Request-Id: {self.request}\r\nContent-Length: {BODY_BYTES}\r\n"
                                f"X-Lacewinglb-Deadline-Milliseconds: {DEADLINE_MS}\r\n\r\n").encode())
            for _ in range(PIECES):
                time.sleep(self.seconds / PIECES)
                connection.sendall(b"x" * (BODY_BYTES // PIECES))
            self.sent_at = self.record.now()
            self.record.add(f"request {self.request}: its last byte is sent")
            while not self.is_answered():
                data = connection.recv(65536)
                if not data:
                    break
                self.answer += data
        except OSError as error:
            self.record.add(f"request {self.request}: {type(error).__name__}")
        self.ended_at = self.record.now()
        status = self.answer.split(b"\r\n")[0].decode() if self.is_answered() else "no whole answer"
        self.record.add(f"request {self.request} ends: {status}")
        connection.close()

    def is_answered(self):
        head, mark, body = self.answer.partition(b"\r\n\r\n")
        if not mark:
            return False
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                return len(body) >= int(value)
        return False


def case(record):
    deployment = Deployment(record)
    try:
        deployment.store.put("op", "config", manifest(
            routes=[route("route-check", "safe", "desk-app", timeout_ms=DEADLINE_MS, target_latency_ms=1500)],
            services=[{"name": "desk-app", "connection_limit": 100}]))
        servers = [Server(deployment.store, record, "desk-app", zone, work_s=WORK_SECONDS, slots=64)
                   for zone in ("ikeja", "lekki", "yaba")]
        deployment.start()
        deployment.wait_ready()
        time.sleep(4)
        gateway = deployment.gateways[0]
        step = (LAST_END_SECONDS - FIRST_END_SECONDS) / (CALLERS - 1)
        uploads = [Upload(record, gateway, HEAD_START_SECONDS + FIRST_END_SECONDS + number * step)
                   for number in range(CALLERS)]
        time.sleep(HEAD_START_SECONDS)
        stopped = record.now()
        if HAS_TROUBLE:
            gateway.process.send_signal(signal.SIGTERM)
            record.add(f"SIGTERM to {gateway.name}")
        for upload in uploads:
            upload.thread.join(20)
        return judge(servers, uploads, stopped, record)
    finally:
        deployment.end()


def judge(servers, uploads, stopped, record):
    """Returns the requests that were read whole and passed on to a server, and whose connection ended without a complete
    answer although neither the time limit nor the route's timeout had been reached."""
    arrived = {request: at for server in servers for at, request in server.arrivals}
    breaks = []
    for upload in uploads:
        if upload.is_answered() or upload.request not in arrived or upload.sent_at is None:
            continue
        used = upload.ended_at - upload.sent_at
        if upload.sent_at - stopped <= EXCUSED_SECONDS or used * 1000 >= DEADLINE_MS:
            continue
        if upload.ended_at - stopped > GRACE_SECONDS + 1:
            continue
        breaks.append(f"request {upload.request}, whose last byte was sent {upload.sent_at - stopped:.2f} s after SIGTERM, "
                      f"was passed on to a server, and {used:.2f} s later its connection ended without an answer")
    return breaks


if __name__ == "__main__":
    sys.exit(play(case, HERE))
