"""Large values that mirrors pass on in compressed form."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from unittest import mock

import pytest
from test_mirror import entry, open_mirror
from test_unconfirmed_mirror import open_follower

from berylspindle_forwarding.large_values import COMPRESS_ABOVE_BYTES, LargeValue
from berylspindle_forwarding.mirror import MAX_RESPONSE_BYTES, WATCH_PATH
from berylspindle_forwarding.upstream_selector import MirrorAddress
from berylspindle_store.store import StoreUnavailable
from berylspindle_wire.http import HttpRequest


def configuration() -> bytes:
    rng = random.Random(1)
    services = [f"{rng.choice(['lots', 'sales'])}-{n}" for n in range(90)]
    rules = {"health_path": "/health", "max_connections": 25, "warmup_s": 30.0, "warmup_rate": 4.5}
    route = {"host": "search.example.net", "kind": "idempotent", "timeout_ms": 5000, "attempts": 2}
    organisation = {"priority": 1, "rate": 13.0, "burst": 13.0}
    document = {
        "services": [{"name": name, **rules} for name in services],
        "routes": [
            {"name": f"r{n}", "prefix": f"/{n}/", "gather": rng.sample(services, 20), **route}
            for n in range(40)
        ],
        "organisations": [
            {"name": f"o{n}", "keys": [rng.randbytes(16).hex() for _ in "ab"], **organisation}
            for n in range(82)
        ],
    }
    return json.dumps(document).encode()


async def test_followers_receive_a_configuration_that_is_compressed_once() -> None:
    """Guard against a new configuration that fills the link of a VM that 26 others follow."""
    changed = entry("table", 2, configuration())
    limit = entry("limit", 3, b"v" * COMPRESS_ABOVE_BYTES)
    query = {"after": "1", "wait": "0"}
    request = HttpRequest(method="GET", path=WATCH_PATH, query=query, headers={}, body=b"")
    async with open_mirror() as (mirror, store), open_mirror() as (next_mirror, next_store):
        mirror.replace_entries([], 1)
        next_mirror.replace_entries([], 1)
        with mock.patch.object(zlib, "compress", wraps=zlib.compress) as compress:
            mirror.apply_changes([changed], 2)
            response = await mirror.handle(request)
            assert 3 * len(response.body) < len(changed.value or b"")
            for _ in range(26):
                result = await store.watch("", after=1, wait=1)
                assert result.entries == (changed,)
            next_mirror.apply_changes(result.entries, 2)
            assert (await next_store.watch("", after=1, wait=1)).entries == (changed,)
            assert (await next_store.list("")).entries == (changed,)
            assert compress.call_count == 1
        mirror.apply_changes([limit], 3)
        assert (limit.value or b"") in (await mirror.handle(request)).body


GOOD = zlib.compress(b"v" * 9000)
TOO_LONG = zlib.compress(bytes(MAX_RESPONSE_BYTES + 1))
HALF = zlib.compress(bytes(MAX_RESPONSE_BYTES // 2 + 1))


def corrupt_value(compressed: bytes) -> LargeValue:
    value = LargeValue(b"v" * 9000)
    value._compressed = compressed
    return value


@pytest.mark.parametrize(
    "sent", [[b""], [b"no zlib"], [GOOD[:-1]], [GOOD + b"x"], [TOO_LONG], [HALF, HALF]]
)
async def test_invalid_compressed_value_is_a_malformed_response(sent: list[bytes]) -> None:
    """Guard against a corrupt value that takes effect, or exhausts the memory of a follower."""
    async with open_mirror() as (mirror, store):
        mirror.replace_entries([], 1)
        values = map(corrupt_value, sent)
        mirror.apply_changes([entry(f"table-{n}", 2, v) for n, v in enumerate(values)], 2)
        for call in (store.list(""), store.watch("", after=1, wait=1)):
            with pytest.raises(StoreUnavailable, match="compressed value"):
                await call


async def test_follower_of_a_mirror_with_a_corrupt_value_uses_another_upstream() -> None:
    """Guard against a follower that stays with a mirror whose responses it can't read."""
    async with open_mirror() as (corrupt, near), open_mirror() as (sound, far):
        corrupt.replace_entries([entry("table", 6, corrupt_value(b"no zlib"))], 6)
        sound.replace_entries([entry("table", 6, b"v" * 9000)], 6)
        near_port, far_port = (int(store.address.rpartition(":")[2]) for store in (near, far))
        mirrors = MirrorAddress("127.0.0.1", near_port, True), MirrorAddress("127.0.0.1", far_port)
        with mock.patch.object(corrupt, "_report_span", wraps=corrupt._report_span) as reported:
            async with open_follower(*mirrors) as recorder:
                await asyncio.sleep(2.0)
        assert reported.called
        assert recorder.state["table"] == "v" * 9000
