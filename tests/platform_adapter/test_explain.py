"""The log of a daemon process is enough to explain each failed request."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import attrs
from platform_site import HOST, Platform, configuration, open_platform

from berylspindle_cli.log_lines import Explanation, LogLine, explain_request, read_lines
from berylspindle_decisions.log_rate_limiter import RATES
from berylspindle_model.causes import Cause
from berylspindle_standins.forward_replica import ReplyFault
from berylspindle_wire.http_client import HttpFailure

REQUESTS = 1000
CONCURRENT_REQUESTS = 12
PATHS = ("/lots/", "/booking/", "/none/")


def read_log(folder: Path) -> list[LogLine]:
    return read_lines((folder / "front-1.jsonl").read_text().splitlines())


async def send_request(
    platform: Platform, path: str, request_id: str, method: str, deadline_ms: int
) -> int:
    """Return the status of the response, or 0 if there is none."""
    headers = {"host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
    try:
        response = await platform.client.request(method, path, headers=headers, timeout=10)
    except HttpFailure:
        return 0
    return response.status


def inject_fault(platform: Platform, fault: Fault) -> None:
    """Inject a fault into both replicas of the service with non-idempotent requests."""
    for number in range(2):
        behaviour = platform.replicas[f"i-booking-{number}"].behaviour
        behaviour.reply_fault, behaviour.faulty_replies = fault.reply_fault, FAULTY_REQUESTS * (
            fault.reply_fault is not None
        )
        behaviour.failed_requests = FAULTY_REQUESTS * (fault.name == "fail")
        behaviour.refused_requests = -1 if fault.name == "refuse" else 0
        behaviour.service_time_s = fault.work


@attrs.frozen
class Fault:
    """Fault injected during one phase, and the causes that failed bookings may have in it."""

    name: str
    causes: set[Cause]
    reply_fault: ReplyFault | None = None
    work: float = 0.0


FAULTY_REQUESTS = 15
FAULTS = (
    Fault("lost", {Cause.ANSWER_LOST}, reply_fault=ReplyFault.CONNECTION_RESET),
    Fault("fail", {Cause.REPLICA_FAILED}),
    Fault("foreign", {Cause.BAD_REPLY}, reply_fault=ReplyFault.WRONG_REQUEST_ID),
    Fault("refuse", {Cause.REPLICAS_REFUSED, Cause.RETRY_BUDGET_SPENT}),
    Fault("slow", {Cause.REPLICAS_SILENT, Cause.LITTLE_TIME}, work=0.15),
)
SHORT_DEADLINE_CAUSES = {Cause.REPLICAS_SILENT, Cause.LITTLE_TIME}


async def test_each_failed_request_has_one_cause_in_the_log(tmp_path: Path) -> None:
    """Guard against a failed request whose cause cannot be found in the log.

    Booking replicas lose responses, fail, respond with another request's ID, reject requests or
    are slow, one fault for each phase. Some routes do not exist and some deadlines are short. Each
    failed request has one line with a cause that the injected fault allows, except for lines that
    the rate limit dropped and counted.
    """
    rng = random.Random(7)
    statuses: dict[str, int] = {}
    faults: dict[str, Fault] = {}
    short_deadlines: set[str] = set()
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS)

        async def send_one(number: int, fault: Fault) -> None:
            async with semaphore:
                path = rng.choices(PATHS, (6, 3, 1))[0]
                name, deadline_ms = f"{path[1:5]}-{number}", rng.choice((4000, 4000, 400, 60))
                faults[name] = fault
                if deadline_ms < 1000:
                    short_deadlines.add(name)
                method = "POST" if path.startswith("/booking") else "GET"
                statuses[name] = await send_request(
                    platform, path + str(number), name, method, deadline_ms
                )

        for phase, fault in enumerate(FAULTS):
            inject_fault(platform, fault)
            phase_requests = REQUESTS // len(FAULTS)
            numbers = range(phase * phase_requests, (phase + 1) * phase_requests)
            await asyncio.gather(*(send_one(number, fault) for number in numbers))
            # Let the log rate limiter refill.
            await asyncio.sleep(1.0)
        lines = read_log(tmp_path)
    failed = [name for name, status in statuses.items() if not 200 <= status < 300]
    explanations: dict[str, Explanation] = {name: explain_request(lines, name) for name in failed}
    unexplained = [name for name in failed if len(explanations[name].ends) != 1]
    suppressed = sum(int(line.fields.get("left_out", 0)) for line in lines)
    assert len(unexplained) <= suppressed, (unexplained[:5], suppressed)
    assert len(unexplained) <= len(failed) / 4
    seen: set[Cause] = set()
    for name in failed:
        if not explanations[name].ends:
            continue
        cause = explanations[name].ends[0].cause
        assert cause is not None
        allowed = {Cause.NO_ROUTE} if name.startswith("none") else faults[name].causes
        if name in short_deadlines and not name.startswith("none"):
            allowed = allowed | SHORT_DEADLINE_CAUSES
        assert cause in allowed, (name, faults[name].name, explanations[name])
        seen.add(cause)
    assert seen >= {
        Cause.NO_ROUTE,
        Cause.ANSWER_LOST,
        Cause.REPLICA_FAILED,
        Cause.BAD_REPLY,
    }
    assert seen & {Cause.REPLICAS_REFUSED, Cause.RETRY_BUDGET_SPENT}


async def test_missing_route_and_missing_replicas_have_different_causes(
    tmp_path: Path,
) -> None:
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        for number in range(2):
            platform.kv.remove(f"servers/i-booking-{number}")
        await asyncio.sleep(2.5)
        assert await send_request(platform, "/booking/1", "no-replica", "POST", 4000) == 503
        platform.kv.put("op/config", configuration(2, routes=configuration(2)["routes"][:1]))
        await asyncio.sleep(2.0)
        assert await send_request(platform, "/booking/1", "no-route", "POST", 4000) == 404
        await asyncio.sleep(0.3)
        lines = read_log(tmp_path)
    no_replica = explain_request(lines, "no-replica")
    assert no_replica.ends[0].cause is Cause.NO_USABLE_REPLICA
    assert no_replica.ends[0].inputs["table"] == "1"
    assert any(line.message == "replica gone" for line in lines)
    no_route = explain_request(lines, "no-route")
    assert no_route.ends[0].cause is Cause.NO_ROUTE
    assert no_route.ends[0].inputs["table"] == "2"
    assert no_route.ends[0].inputs["asked"] == f"{HOST}/booking/1"
    assert any(line.message == "routing table in force" for line in no_route.context)


async def test_log_lines_of_rejected_requests_are_rate_limited(tmp_path: Path) -> None:
    """Guard against logging that takes CPU time from requests.

    Without a limit, a VM that rejects a thousand requests a second logs each of them.
    """
    async with open_platform(tmp_path) as platform:
        await platform.until_ready()
        for replica in platform.replicas.values():
            replica.behaviour.refused_requests = -1
        started_at = time.monotonic()
        semaphore = asyncio.Semaphore(20)

        async def send_one(number: int) -> None:
            async with semaphore:
                await send_request(platform, f"/booking/{number}", f"flood-{number}", "POST", 60)

        await asyncio.gather(*map(send_one, range(1200)))
        await asyncio.sleep(0.5)
        seconds = time.monotonic() - started_at
        lines = [line for line in read_log(tmp_path) if line.channel == "request"]
    bound = sum(rate.burst + seconds * rate.per_second for rate in RATES.values())
    assert len(lines) <= bound
    assert len(lines) < 1200
    assert sum(int(line.fields.get("left_out", 0)) for line in lines) > 0
