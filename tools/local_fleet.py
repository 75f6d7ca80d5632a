"""Starts and stops a local fleet on loopback: stand-in platform, engines and plain service, and daemons.

Used by tools/quickstart and by the process tests. Everything listens on ports that the system chooses, and
everything that was started is stopped by its process id.
"""

import json
import os
import re
import select
import signal
import subprocess
import time
import urllib.error
import urllib.request


class Process:
    """A child program that announces the address it listens on."""

    def __init__(self, name, command, log):
        self.name = name
        self._log = open(log, "ab")
        self._child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self._log)
        line = self._ready_line()
        fields = dict(pair.split("=", 1) for pair in line.split()[1:])
        self.address = fields["address"]
        self.peer_address = fields.get("peer_address")

    def _ready_line(self):
        stream = self._child.stdout
        ready, _, _ = select.select([stream], [], [], 30)
        line = stream.readline().decode() if ready else ""
        if not line.startswith("ready "):
            self.kill()
            raise RuntimeError(f"{self.name} did not start; see its log {self._log.name}")
        return line

    @property
    def pid(self):
        return self._child.pid

    def running(self):
        return self._child.poll() is None

    def signal(self, number):
        self._child.send_signal(number)

    def terminate(self):
        if self.running():
            self.signal(signal.SIGTERM)

    def kill(self):
        if self.running():
            self._child.kill()
        self.wait()

    def wait(self, timeout=60):
        """Returns the exit code; kills the program if it does not end in time."""
        try:
            code = self._child.wait(timeout)
        except subprocess.TimeoutExpired:
            self._child.kill()
            code = self._child.wait()
        self._log.close()
        self._child.stdout.close()
        return code


def call(address, path, body=None, headers=None, timeout=30, method=None):
    """Makes one HTTP call. Returns (status, headers, body text)."""
    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


class LocalFleet:
    """A platform, engines, plain services and daemons in 3 data centres."""

    PEER_SECRET = "local-peer-secret"
    OPERATOR_SECRET = "local-operator-secret"
    KEY_SECRET = "example-secret"

    def __init__(self, binaries, directory):
        self.binaries = binaries
        self.directory = directory
        os.makedirs(directory, exist_ok=True)
        self.platform = None
        self.engines = []
        self.services = []
        self.daemons = {}

    def _spawn(self, name, program, *flags):
        command = [os.path.join(self.binaries, program), *flags]
        return Process(name, command, os.path.join(self.directory, f"{name}.log"))

    def start_platform(self, *flags):
        self.platform = self._spawn("platform", "fake-platform", *flags)

    def start_engine(self, *flags):
        name = f"engine-{len(self.engines) + 1}"
        weights = f"--weights={self.platform.address}"
        self.engines.append(self._spawn(name, "fake-engine", weights, "--base_model=marl-8b", *flags))
        return self.engines[-1]

    def start_service(self, *flags):
        name = f"service-{len(self.services) + 1}"
        self.services.append(self._spawn(name, "fake-service", *flags))
        return self.services[-1]

    def _write(self, name, text):
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start_daemon(self, host, data_centre, hosts_lifetime="1s", platform=None):
        secrets = {
            "peerSecretFile": self._write("peer-secret", self.PEER_SECRET),
            "operatorSecretFile": self._write("operator-secret", self.OPERATOR_SECRET),
            "keySecretFile": self._write("key-secret", self.KEY_SECRET),
        }
        settings = {
            "host": host,
            "region": "region-1",
            "dataCentre": data_centre,
            "callerAddress": "127.0.0.1:0",
            "peerAddress": "127.0.0.1:0",
            "platformAddress": platform or self.platform.address,
            "hostsLifetime": hosts_lifetime,
            **secrets,
        }
        text = "".join(f"{key}: {value}\n" for key, value in settings.items())
        path = self._write(f"{host}.yaml", text)
        self.daemons[host] = self._spawn(host, "lacewinglbd", f"--settings={path}")
        return self.daemons[host]

    def operator(self, path, body=None, host=None, timeout=30):
        daemon = self.daemons[host] if host else next(iter(self.daemons.values()))
        headers = {"Authorization": f"Bearer {self.OPERATOR_SECRET}"}
        status, _, text = call(daemon.address, f"/operator/v1/{path}", body, headers, timeout)
        return status, json.loads(text)

    def wait_until(self, condition, what, timeout=60):
        """Waits for a condition; the timeout only ends a run that hangs."""
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"timed out waiting for {what}")
            time.sleep(0.05)

    def ready(self):
        return all(call(d.address, "/readyz")[0] == 200 for d in self.daemons.values())

    def owners(self):
        """Returns the owner of each upstream as the first daemon sees it."""
        _, status = self.operator("status")
        return {u["upstream"]: u["owner"] for u in status["upstreams"]}

    def metric(self, process, name, labels=""):
        """Returns the sum of a metric's series whose label text contains the given text."""
        _, _, text = call(process.address, "/metrics")
        total = 0.0
        for line in text.splitlines():
            match = re.match(r"([a-z0-9_]+)(?:\{(.*)\})? (\S+)$", line)
            if match and match.group(1) == name and labels in (match.group(2) or ""):
                total += float(match.group(3))
        return total

    def stop(self):
        """Stops everything. Returns the exit codes of the daemons by host."""
        for daemon in self.daemons.values():
            daemon.terminate()
        codes = {host: daemon.wait() for host, daemon in self.daemons.items()}
        for process in [*self.engines, *self.services, self.platform]:
            if process is None:
                continue
            process.terminate()
            process.wait()
        return codes
