"""Faults are set and counts are read over HTTP while the stand-in runs."""

from __future__ import annotations

from typing import Any

from berylspindle_model import codec
from berylspindle_model.backend_protocol import SEARCH_PATH, SearchCall
from berylspindle_standins.backend_standin import start_backends
from berylspindle_standins.deployments import small
from berylspindle_wire.client import HttpClient


async def test_faults_and_counts_over_http() -> None:
    async with await start_backends(small()) as standin:
        first = standin.configuration.servers[0]
        call = SearchCall(attempt="a1", service="lots", shard="0", query="q", limit=3)
        search = codec.to_json(call)
        async with (
            HttpClient("127.0.0.1", standin.admin_port) as admin,
            HttpClient(first.host, first.port) as client,
        ):
            change = {"service": "lots", "shard": "0", "set": {"failed_replies": -1}}
            changed = await admin.put("/faults", body=codec.to_json(change))
            assert codec.from_json(changed.body, dict[str, list[str]]) == {
                "servers": ["lots-0-0", "lots-0-1"]
            }
            assert (await client.post(SEARCH_PATH, body=search)).status == 500
            rejected = await admin.put("/faults", body=b'{"set": {"no_such": 1}}')
            assert rejected.status == 400
            cleared = await admin.put("/faults", body=b'{"clear": true}')
            assert cleared.status == 200
            assert (await client.post(SEARCH_PATH, body=search)).status == 200
            document = codec.from_json((await admin.get("/counts")).body, dict[str, Any])
        server_counts = document["servers"][0]
        assert (server_counts["server"], server_counts["counts"]["searches_started"]) == (
            "lots-0-0",
            2,
        )
        assert server_counts["counts"]["last_arrival_wall"] > 0
