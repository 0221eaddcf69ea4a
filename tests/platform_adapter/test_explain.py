"""Each failed request of a real process is explained by its log alone."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import attrs
from test_whole_path import HOST, Platform, configuration, open_platform

from berylspindle_cli.log_lines import Explanation, LogLine, explain_request, read_lines
from berylspindle_decisions.log_rate_limiter import RATES
from berylspindle_model.causes import Cause
from berylspindle_standins.forward_replica import Spoil
from berylspindle_wire.http_client import HttpFailure

REQUESTS = 1000
AT_A_TIME = 12
PATHS = ("/lots/", "/booking/", "/none/")


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


def spoil_bookings(platform: Platform, trouble: Trouble) -> None:
    """Let both replicas of the service whose requests may not be repeated misbehave alike."""
    for number in range(2):
        behaviour = platform.replicas[f"i-booking-{number}"].behaviour
        behaviour.spoil, behaviour.spoiled = trouble.spoil, SPOILED * (trouble.spoil is not None)
        behaviour.fail = SPOILED * (trouble.name == "fail")
        behaviour.refuse = -1 if trouble.name == "refuse" else 0
        behaviour.work = trouble.work


@attrs.frozen
class Trouble:
    """A trouble of one phase, and the causes that its failed bookings may have."""

    name: str
    causes: set[Cause]
    spoil: Spoil | None = None
    work: float = 0.0


SPOILED = 15
TROUBLES = (
    Trouble("lost", {Cause.ANSWER_LOST}, spoil=Spoil.LOST),
    Trouble("fail", {Cause.REPLICA_FAILED}),
    Trouble("foreign", {Cause.BAD_REPLY}, spoil=Spoil.FOREIGN),
    Trouble("refuse", {Cause.REPLICAS_REFUSED, Cause.RETRY_BUDGET_SPENT}),
    Trouble("slow", {Cause.REPLICAS_SILENT, Cause.LITTLE_TIME}, work=0.15),
)
LITTLE = {Cause.REPLICAS_SILENT, Cause.LITTLE_TIME}


async def test_each_of_a_thousand_requests_of_mixed_fates_has_one_cause(tmp_path: Path) -> None:
    """A caller names the request that failed, and nobody can say why.

    Replicas of bookings lose answers, fail, send other requests' answers, refuse and are slow, one
    trouble after the other; some routes do not exist; some callers leave little time. Every request
    that was not answered with success has one line with one cause, the one that its trouble allows,
    unless the allowance of lines was spent, and then the lines say how many are missing.
    """
    rng = random.Random(7)
    statuses: dict[str, int] = {}
    troubles: dict[str, Trouble] = {}
    hurried: set[str] = set()
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        free = asyncio.Semaphore(AT_A_TIME)

        async def one(number: int, trouble: Trouble) -> None:
            async with free:
                path = rng.choices(PATHS, (6, 3, 1))[0]
                name, left_ms = f"{path[1:5]}-{number}", rng.choice((4000, 4000, 400, 60))
                troubles[name] = trouble
                if left_ms < 1000:
                    hurried.add(name)
                method = "POST" if path.startswith("/booking") else "GET"
                statuses[name] = await ask(platform, path + str(number), name, method, left_ms)

        for phase, trouble in enumerate(TROUBLES):
            spoil_bookings(platform, trouble)
            each = REQUESTS // len(TROUBLES)
            numbers = range(phase * each, (phase + 1) * each)
            await asyncio.gather(*(one(number, trouble) for number in numbers))
            # The allowance of lines grows again.
            await asyncio.sleep(1.0)
        lines = logged(tmp_path)
    failed = [name for name, status in statuses.items() if not 200 <= status < 300]
    found: dict[str, Explanation] = {name: explain_request(lines, name) for name in failed}
    without = [name for name in failed if len(found[name].ends) != 1]
    left_out = sum(int(line.fields.get("left_out", 0)) for line in lines)
    assert len(without) <= left_out, (without[:5], left_out)
    assert len(without) <= len(failed) / 4
    seen: set[Cause] = set()
    for name in failed:
        if not found[name].ends:
            continue
        cause = found[name].ends[0].cause
        assert cause is not None
        allowed = {Cause.NO_ROUTE} if name.startswith("none") else troubles[name].causes
        if name in hurried and not name.startswith("none"):
            allowed = allowed | LITTLE
        assert cause in allowed, (name, troubles[name].name, found[name])
        seen.add(cause)
    assert seen >= {
        Cause.NO_ROUTE,
        Cause.ANSWER_LOST,
        Cause.REPLICA_FAILED,
        Cause.BAD_REPLY,
    }
    assert seen & {Cause.REPLICAS_REFUSED, Cause.RETRY_BUDGET_SPENT}


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
