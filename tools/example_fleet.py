"""A local fleet with the configuration of examples/base.yaml: 3 daemons, 3 engines and 1 plain service."""

import json
import os
import subprocess

from local_fleet import LocalFleet, call

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEYS = {
    "city-desk": "example-key-1",
    "city-kiosk": "example-key-2",
    "night-desk": "example-key-3",
    "brief-writer": "example-key-4",
}
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")


def binaries():
    return os.path.join(ROOT, os.environ.get("LACEWING_BUILD", "build"), "bin")


class ExampleFleet(LocalFleet):
    """Starts the example fleet; use it in a with statement, which stops everything at its end."""

    def __init__(self, directory, engine_flags=(), hosts_lifetime="1s"):
        super().__init__(binaries(), directory)
        self.engine_flags = engine_flags
        self.hosts_lifetime = hosts_lifetime
        self.codes = None

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception):
        self.codes = self.stop()

    def start(self):
        forbidden = "--forbidden_text=" + ",".join(KEYS.values())
        self.start_platform("--loads_per_second=20", "--load_burst=8")
        for fencing in ("true", "true", "false"):
            self.start_engine(forbidden, "--slots=12", f"--check_fencing={fencing}", *self.engine_flags)
        self.start_service(forbidden)
        for number, data_centre in enumerate(DATA_CENTRES, 1):
            self.start_daemon(f"host-{number}", data_centre, hosts_lifetime=self.hosts_lifetime)

    def overlays(self):
        """Returns the overlay files with the upstreams' addresses."""
        text = "upstreams:\n"
        names = [(f"engine-{i}", engine) for i, engine in enumerate(self.engines[:3], 1)]
        for name, process in [*names, ("booking-1", self.services[0])]:
            text += f"  {name}:\n    address: {process.address}\n"
        return [
            os.path.join(ROOT, "testdata", "quickstart.overlay.yaml"),
            self._write("addresses.overlay.yaml", text),
        ]

    def configuration_flags(self):
        base = os.path.join(ROOT, "examples", "base.yaml")
        return [f"--base={base}", f"--overlay={','.join(self.overlays())}"]

    def ctl(self, *words, check=True, text=None, host="host-1"):
        """Runs lacewinglbctl against a daemon. Returns the finished process."""
        program = os.path.join(self.binaries, "lacewinglbctl")
        flags = [
            f"--server={self.daemons[host].address}",
            f"--secret-file={self._write('operator-secret', self.OPERATOR_SECRET)}",
            f"--key-secret-file={self._write('key-secret', self.KEY_SECRET)}",
        ]
        done = subprocess.run([program, *words, *flags], input=text, capture_output=True, text=True, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"lacewinglbctl {' '.join(words)}: status {done.returncode}\n{done.stdout}{done.stderr}")
        return done

    def submit(self):
        """Waits until the configuration is in force and the fleet serves all workspaces through all hosts."""
        self.wait_until(
            lambda: self.ctl("submit", *self.configuration_flags(), check=False).returncode == 0, "a submission"
        )
        self.wait_until(self.ready, "all daemons to be ready")
        self.wait_until(self.engines_spread, "engines to be spread over the hosts")
        self.wait_until(self.all_listed, "all hosts in the answers of /v1/hosts")
        # The shares of rate and burst start empty when a daemon takes them over (design page, 4.3).
        for host in self.daemons:
            for key in ("city-desk", "night-desk", "brief-writer"):
                self.wait_until(lambda: self.served(key, host), f"tokens of {key} at {host}")

    def served(self, key, host):
        """Returns whether a host serves a small request of a workspace."""
        adapter = {"city-desk": "city-tours-harbour", "night-desk": "night-walks-lantern"}
        body = {"model": adapter.get(key, "guide-briefs-weather"), "prompt": "x", "max_tokens": 4}
        return self.post("/v1/completions", body, key, host)[0] == 200

    def all_listed(self):
        for daemon in self.daemons.values():
            hosts = json.loads(call(daemon.address, "/v1/hosts")[2])["hosts"]
            if len(hosts) != len(self.daemons):
                return False
        return True

    def engines_spread(self):
        """Returns whether every engine has an owner of its own; the first host starts with all of them."""
        owners = [owner for upstream, owner in self.owners().items() if upstream.startswith("engine-")]
        return self.all_owned() and len(set(owners)) == len(owners)

    def all_owned(self):
        owners = self.owners()
        return len(owners) == 4 and all(owners.values())

    def replay_command(self, trace, outcomes, *flags):
        keys = os.path.join(ROOT, "testdata", "example.keys.yaml")
        return [
            os.path.join(self.binaries, "lacewinglb-replay"),
            f"--daemon={','.join(d.address for d in self.daemons.values())}",
            *self.configuration_flags(),
            f"--keys={keys}",
            f"--trace={trace}",
            f"--outcomes={outcomes}",
            f"--engines={','.join(e.address for e in self.engines)}",
            f"--services={','.join(s.address for s in self.services)}",
            *flags,
        ]

    def post(self, path, body, key="city-desk", host="host-1", **headers):
        """Sends a caller's request. Returns (status, headers, body text)."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            fields["Authorization"] = f"Bearer {KEYS.get(key, key)}"
        return call(self.daemons[host].address, path, body, fields, method="POST")

    @staticmethod
    def http(address, path, body=None):
        return call(address, path, body)

    def control(self, process, faults):
        """Sets faults of a stand-in."""
        status, _, text = call(process.address, "/control", faults)
        if status != 200:
            raise RuntimeError(f"{process.name} refused the faults: {text}")

    def table_up(self):
        """Returns whether all daemons reach the table."""
        _, status = self.operator("status")
        return all(host["tableUp"] for host in status["hosts"] if host.get("link", host["state"]) != "stopped")
