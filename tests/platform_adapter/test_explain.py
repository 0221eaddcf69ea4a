"""Each failed request of a real process is explained by its log alone."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from test_whole_path import HOST, Platform, configuration, open_platform

from berylspindle_cli.log_lines import Explanation, LogLine, explain_request, read_lines
from berylspindle_decisions.line_budget import RATES
from berylspindle_model.causes import Cause
from berylspindle_standins.forward_replica import Spoil
from berylspindle_wire.http_client import HttpFailure

REQUESTS = 1000
AT_A_TIME = 12


def logged(folder: Path) -> list[LogLine]:
    return read_lines((folder / "front-1.jsonl").read_text().splitlines())


async def ask(platform: Platform, path: str, request: str, method: str, left_ms: int) -> int:
    """Return the status that a caller got, or 0 for none."""
    headers = {"host": HOST, "Request-Id": request, "Deadline-Ms": str(left_ms)}
    try:
        told = await platform.client.request(method, path, headers=headers, timeout=10)
    except HttpFailure:
        return 0
    return told.status


async def test_each_of_a_thousand_requests_of_mixed_fates_has_one_cause(tmp_path: Path) -> None:
    """A caller names the request that failed, and nobody can say why.

    Replicas lose answers, fail, refuse, send other requests' answers and are slow; some routes do
    not exist; some callers leave little time. Every request that was not answered with success has
    one line with one cause, unless the line's allowance was spent, and then the counter says so.
    """
    dice = random.Random(7)
    paths = ("/lots/{}", "/booking/{}", "/none/{}")
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        statuses: dict[str, int] = {}
        free = asyncio.Semaphore(AT_A_TIME)

        async def one(number: int) -> None:
            async with free:
                path = dice.choices(paths, (6, 5, 1))[0].format(number)
                method = "POST" if path.startswith("/booking") else "GET"
                left_ms = dice.choice((4000, 4000, 4000, 300, 14))
                name = f"try-{number}"
                statuses[name] = await ask(platform, path, name, method, left_ms)

        async def troubles() -> None:
            while True:
                replica = dice.choice(list(platform.replicas.values()))
                behaviour = replica.behaviour
                trouble = dice.randrange(6)
                if trouble == 0:
                    behaviour.spoil, behaviour.spoiled = Spoil.LOST, 6
                elif trouble == 1:
                    behaviour.fail = 6
                elif trouble == 2:
                    behaviour.refuse = 6
                elif trouble == 3:
                    behaviour.spoil, behaviour.spoiled = Spoil.FOREIGN, 6
                elif trouble == 4:
                    behaviour.work = 0.3
                else:
                    behaviour.work = 0.0
                await asyncio.sleep(0.05)

        changing = asyncio.create_task(troubles())
        await asyncio.gather(*map(one, range(REQUESTS)))
        changing.cancel()
        await asyncio.sleep(0.5)
        lines = logged(tmp_path)
    failed = [name for name, status in statuses.items() if not 200 <= status < 300]
    assert len(failed) > 80
    found: dict[str, Explanation] = {name: explain_request(lines, name) for name in failed}
    without = [name for name in failed if len(found[name].ends) != 1]
    left_out = sum(int(line.fields.get("left_out", 0)) for line in lines)
    assert len(without) <= left_out, (without[:5], left_out)
    causes = Counter(found[name].ends[0].cause for name in failed if found[name].ends)
    assert None not in causes
    assert len(causes) >= 5, causes
    told = {name: found[name].ends[0].cause for name in failed if found[name].ends}
    missing = {name for name, status in statuses.items() if status == 404}
    assert {told[name] for name in missing if name in told} == {Cause.NO_ROUTE}
    for name, cause in told.items():
        if cause is Cause.NO_ROUTE:
            assert name in missing


async def test_a_route_that_is_gone_and_replicas_that_are_gone_are_told_apart(
    tmp_path: Path,
) -> None:
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        for number in range(2):
            platform.kv.remove(f"servers/i-booking-{number}")
        await asyncio.sleep(2.5)
        assert await ask(platform, "/booking/1", "no-replica", "POST", 4000) == 503
        platform.kv.put("op/config", configuration(2, routes=configuration(2)["routes"][:1]))
        await asyncio.sleep(2.0)
        assert await ask(platform, "/booking/1", "no-route", "POST", 4000) == 404
        await asyncio.sleep(0.3)
        lines = logged(tmp_path)
    gone = explain_request(lines, "no-replica")
    assert gone.ends[0].cause is Cause.NO_USABLE_REPLICA
    assert gone.ends[0].inputs["table"] == "1"
    assert any(line.message == "replica gone" for line in lines)
    absent = explain_request(lines, "no-route")
    assert absent.ends[0].cause is Cause.NO_ROUTE
    assert absent.ends[0].inputs["table"] == "2"
    assert absent.ends[0].inputs["asked"] == f"{HOST}/booking/1"
    assert any(line.message == "routing table in force" for line in absent.context)


async def test_five_times_too_much_is_logged_within_the_bound(tmp_path: Path) -> None:
    """The log of a VM that refuses a thousand requests a second takes the processor from them."""
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        for replica in platform.replicas.values():
            replica.behaviour.refuse = -1
        began = time.monotonic()
        free = asyncio.Semaphore(20)

        async def one(number: int) -> None:
            async with free:
                await ask(platform, f"/booking/{number}", f"flood-{number}", "POST", 60)

        await asyncio.gather(*map(one, range(1200)))
        await asyncio.sleep(0.5)
        seconds = time.monotonic() - began
        lines = [line for line in logged(tmp_path) if line.channel == "request"]
    bound = sum(rate.burst + seconds * rate.per_second for rate in RATES.values())
    assert len(lines) <= bound
    assert len(lines) < 1200
    assert sum(int(line.fields.get("left_out", 0)) for line in lines) > 0
