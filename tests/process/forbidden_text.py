#!/usr/bin/env python3
"""Guards against a caller's key that reaches an upstream, wherever the caller puts it."""

import json

from example_fleet import KEYS
from load import run

KEY = KEYS["city-desk"]
COMPLETION = {"model": "city-tours-harbour", "prompt": "x", "max_tokens": 4}


def seen(fleet):
    return sum(fleet.metric(process, "forbidden_text_seen") for process in [*fleet.engines, *fleet.services])


def post(fleet, path, body, **headers):
    status, _, _ = fleet.post(path, body, **headers)
    print(path, body, headers, status)
    return status


def test(fleet):
    # The key in fields and headers that are not passed on does no harm.
    assert post(fleet, "/v1/completions", COMPLETION) == 200
    assert post(fleet, "/v1/completions", {**COMPLETION, "user": KEY, "api_key": KEY}) == 200
    assert post(fleet, "/v1/completions", COMPLETION, X_Api_Key=KEY, Cookie=KEY) == 200
    assert post(fleet, f"/v1/completions?key={KEY}", COMPLETION) == 200
    assert post(fleet, "/seats/1", {"seat": 1}, X_Api_Key=KEY) == 200
    # Where it would be passed on, the request is refused.
    assert post(fleet, "/v1/completions", {**COMPLETION, "prompt": KEY}) == 400
    escaped = "".join(f"\\u{ord(letter):04x}" for letter in KEY)
    raw = json.dumps(COMPLETION).replace('"x"', f'"{escaped}"').encode()
    assert post(fleet, "/v1/completions", raw) == 400
    assert post(fleet, "/seats/1", {"seat": KEY}) == 400
    assert post(fleet, f"/seats/1?key={KEY}", {"seat": 1}) == 400
    encoded = "".join(f"%{ord(letter):02x}" for letter in KEY)
    assert post(fleet, f"/seats/1?key={encoded}", {"seat": 1}) == 400
    assert post(fleet, f"/seats/{encoded}", {"seat": 1}) == 400
    assert post(fleet, "/seats/1", {"seat": 1}, Idempotency_Key=KEY) == 400
    assert post(fleet, "/seats/1", {"seat": 1}, Content_Type=f"text/{KEY}") == 400
    assert post(fleet, "/seats/1", {"seat": 1}, Accept=f"text/{KEY}") in (200, 400)
    assert seen(fleet) == 0, "a key reached an upstream"
    # The upstreams do notice it.
    fleet.http(fleet.services[0].address, "/seats/1", {"seat": KEY})
    fleet.http(fleet.engines[0].address, "/v1/completions", {**COMPLETION, "prompt": KEY})
    assert seen(fleet) == 2


run(test)
