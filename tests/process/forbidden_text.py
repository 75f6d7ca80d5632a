#!/usr/bin/env python3
"""Guards against a caller's key that reaches an upstream, wherever the caller puts it."""

import json

from load import KEYS, run

KEY = KEYS["city-desk"]
COMPLETION = {"model": "city-tours-harbour", "prompt": "x", "max_tokens": 4}


def seen(fleet):
    return sum(fleet.metric(process, "forbidden_text_seen") for process in [*fleet.engines, *fleet.services])


class Calls:
    """Sends requests and collects those that got another status than expected."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.surprises = []

    def expect(self, status, path, body, **headers):
        got = self._fleet.post(path, body, **headers)[0]
        if got != status:
            self.surprises.append(f"{path} {body} {headers}: {got} instead of {status}")


def test(fleet):
    calls = Calls(fleet)
    # The key in fields and headers that are not passed on does no harm.
    calls.expect(200, "/v1/completions", {**COMPLETION, "user": KEY, "api_key": KEY})
    calls.expect(200, "/v1/completions", COMPLETION, X_Api_Key=KEY, Cookie=KEY, Accept=f"text/{KEY}")
    calls.expect(200, f"/v1/completions?key={KEY}", COMPLETION)
    calls.expect(200, "/seats/1", {"seat": 1}, X_Api_Key=KEY)
    # Where it would be passed on, the request is refused.
    calls.expect(400, "/v1/completions", {**COMPLETION, "prompt": KEY})
    escaped = "".join(f"\\u{ord(letter):04x}" for letter in KEY)
    calls.expect(400, "/v1/completions", json.dumps(COMPLETION).replace('"x"', f'"{escaped}"').encode())
    calls.expect(400, "/seats/1", {"seat": KEY})
    calls.expect(400, f"/seats/1?key={KEY}", {"seat": 1})
    encoded = "".join(f"%{ord(letter):02x}" for letter in KEY)
    calls.expect(400, f"/seats/1?key={encoded}", {"seat": 1})
    calls.expect(400, f"/seats/{encoded}", {"seat": 1})
    calls.expect(400, "/seats/1", {"seat": 1}, Idempotency_Key=KEY)
    calls.expect(400, "/seats/1", {"seat": 1}, Content_Type=f"text/{KEY}")
    # The upstreams do notice a key.
    before = seen(fleet)
    fleet.http(fleet.services[0].address, "/seats/1", {"seat": KEY})
    fleet.http(fleet.engines[0].address, "/v1/completions", {**COMPLETION, "prompt": KEY})
    if seen(fleet) != before + 2:
        calls.surprises.append("the upstreams don't notice a key")
    if before:
        calls.surprises.append(f"keys reached upstreams {before} times")
    if calls.surprises:
        raise RuntimeError("\n".join(calls.surprises))


run(test)
