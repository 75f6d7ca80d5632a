"""Load for the process tests: a replay in the background, with stated outcomes."""

import json
import os
import shutil
import subprocess
import sys
import tempfile

TOOLS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools")
sys.path.insert(0, TOOLS)
from example_fleet import KEYS, ExampleFleet  # noqa: E402, F401


# What has to hold in every test, whatever fails.
ALWAYS = {
    "wrong_answers": {"exactly": 0},
    "doubled_runs": {"exactly": 0},
    "refused_but_run": {"exactly": 0},
    "answered_not_run": {"exactly": 0},
    "differing_repeats": {"exactly": 0},
    "tokens_over_limit": {"exactly": 0},
    "evicted_while_running": {"exactly": 0},
    "forbidden_text_seen": {"exactly": 0},
}
NOTHING_LOST = {"answered_share": {"exactly": 1}, "refused": {"exactly": 0}, "unknown": {"exactly": 0}}


class Load:
    """A replay that runs in the background."""

    def __init__(self, fleet, outcomes, kind="steady", seed=1, seconds=15, rate=8, data_centre=None):
        self._fleet = fleet
        program = os.path.join(fleet.binaries, "lacewinglb-replay")
        flags = [f"--kind={kind}", f"--seed={seed}", f"--seconds={seconds}", f"--requests_per_second={rate}"]
        lines = subprocess.run(
            [program, "generate", *fleet.configuration_flags(), *flags], capture_output=True, text=True, check=True
        ).stdout.splitlines()
        if data_centre:
            lines[1:] = [json.dumps({**json.loads(line), "data_centre": data_centre}) for line in lines[1:]]
        trace = os.path.join(fleet.directory, "trace")
        with open(trace, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        stated = os.path.join(fleet.directory, "outcomes.yaml")
        with open(stated, "w", encoding="utf-8") as file:
            json.dump({**ALWAYS, **outcomes}, file)
        self._report = open(os.path.join(fleet.directory, "report.json"), "w+", encoding="utf-8")
        details = "--details=" + os.path.join(fleet.directory, "details.jsonl")
        command = fleet.replay_command(trace, stated, "--output=json", details)
        self._child = subprocess.Popen(command, stdout=self._report)

    def running(self):
        return self._child.poll() is None

    def wait_for(self, condition, what):
        """Waits for a condition that must come about while the load still runs."""

        def holds():
            if not self.running():
                raise RuntimeError(f"the load ended before {what}")
            return condition()

        self._fleet.wait_until(holds, what)

    def finish(self):
        """Waits for the end and returns the report's measures; fails if a stated outcome does not hold."""
        code = self._child.wait()
        self._report.seek(0)
        report = json.loads(self._report.read() or "{}")
        self._report.close()
        print(json.dumps(report, indent=1))
        if code != 0:
            raise RuntimeError(f"the replay ended with status {code}: {report.get('broken')}")
        return report["measures"]


def engine_requests(fleet, engine):
    """Returns how many requests run on an engine."""
    _, _, text = fleet.http(engine.address, "/admin/status")
    return sum(adapter["running"] for adapter in json.loads(text)["adapters"])


def busiest_owner(fleet, *excluded):
    """Returns the host that runs most requests on its upstreams, and how many."""
    loads = {
        host: fleet.metric(daemon, "lacewing_owner_requests")
        for host, daemon in fleet.daemons.items()
        if host not in excluded
    }
    host = max(loads, key=loads.get)
    return host, loads[host]


def run(test):
    """Runs a test on a fresh fleet. All daemons but those that the test returns must stop with exit code 0."""
    directory = tempfile.mkdtemp(prefix="lacewing-process-")
    print("logs:", directory, flush=True)
    fleet = ExampleFleet(directory)
    with fleet:
        fleet.submit()
        gone = test(fleet) or ()
    failed = {host: code for host, code in fleet.codes.items() if code != 0 and host not in gone}
    if failed:
        raise RuntimeError(f"daemons ended with {failed}")
    shutil.rmtree(directory)
