"""The command `quotas` against stand-ins of VMs' peers' edges, and the merge of their answers."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import pytest

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.main import run
from berylspindle_client.quota_report import QuotaMerger
from berylspindle_model import codec
from berylspindle_model.quota_status import STATUS_PATH, QuotaStatus
from berylspindle_wire.http import HttpRequest, HttpResponse
from berylspindle_wire.http_server import serve


def organisation(name: str, **fields: Any) -> dict[str, Any]:
    zeros = dict.fromkeys(
        ("asked", "admitted", "lent", "spent", "state_age_ms", "level", "standby_rate"), 0
    )
    limits = {"rate": 30, "burst": 30, "priority": None, "owner": "a1", "lender": "a1"}
    return {"name": name, "refused": {}, "standby_tokens": 0} | zeros | limits | fields


def status(vm: str, data_centre: str, version: int, *organisations: dict[str, Any]) -> bytes:
    return codec.to_json(
        {
            "vm": vm,
            "data_centre": data_centre,
            "table_version": version,
            "organisations": organisations,
        }
    )


A1 = status(
    "a1",
    "a",
    7,
    organisation("acme", asked=9, admitted=7, refused={"quota_exceeded": 2}, level=4),
    organisation("open", rate=0, burst=0, owner=None, lender=None),
)
A2 = status(
    "a2",
    "a",
    6,
    organisation("acme", rate=50, asked=5, admitted=4, refused={"quota_unknown": 1}, lender="a2"),
    organisation("gone", state_age_ms=200),
)
B1 = status(
    "b1",
    "b",
    7,
    organisation("acme", asked=1, admitted=1, owner="b1", lender="b1", state_age_ms=4200, level=9),
    organisation("open", rate=0, burst=0, owner=None, lender=None),
)


class Edges:
    """Stand-ins of peers' edges, each with one fixed answer."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack

    async def open(self, body: bytes, code: int = 200) -> str:
        async def handle(request: HttpRequest) -> HttpResponse:
            assert (request.method, request.path) == ("GET", STATUS_PATH)
            return HttpResponse(status=code, body=body)

        server = await serve(handle, host="127.0.0.1", port=0)
        await self._stack.enter_async_context(server)
        return f"127.0.0.1:{server.port}"


@pytest.fixture
async def edges(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Edges]:
    monkeypatch.setenv("COLUMNS", "240")
    async with AsyncExitStack() as stack:
        yield Edges(stack)


@pytest.fixture
async def closed() -> str:
    async with await serve(lambda request: None, host="127.0.0.1", port=0) as server:  # type: ignore
        return f"127.0.0.1:{server.port}"


async def quotas(*arguments: str) -> int:
    def run_tool() -> int:
        with pytest.raises(SystemExit) as ended:
            run(["quotas", *arguments])
        return ended.value.code  # type: ignore[return-value]

    return await asyncio.to_thread(run_tool)


async def test_answers_are_merged_and_disagreement_is_marked(
    edges: Edges, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a table that hides two owners, old limits or a VM that is counted twice.

    Lenders of different data centres differ without a mark; those of one data centre do not.
    """
    addresses = [await edges.open(body) for body in (A1, A2, B1, A1)]
    assert await quotas(*addresses) == ExitCode.OK
    out = capsys.readouterr().out
    row = next(line for line in out.splitlines() if "acme" in line)
    for shown in ("30/s + 30", "15", "12", "quota_exceeded 2, quota_unknown 1", "4.2 s"):
        assert shown in row
    assert "! a1 (2), b1 (1)" in row
    assert "a: ! a1 (1), a2 (1); b: b1" in row
    assert "gone (removed)" in out
    assert "! " not in next(line for line in out.splitlines() if "open" in line)
    assert "a2 has table 6 of 7" in out
    assert "a1 answered at more than one address, counted once" in out
    assert await quotas(*addresses, "--output", "json") == ExitCode.OK
    document = json.loads(capsys.readouterr().out)
    acme, gone, unlimited = document["organisations"]
    assert (acme["asked"], acme["admitted"], acme["rate"], acme["level"]) == (15, 12, 30, 9)
    assert acme["refused"] == {"quota_exceeded": 2, "quota_unknown": 1}
    assert acme["owners"] == {"a1": 2, "b1": 1}
    assert acme["state_age_ms"] == 4200
    assert (gone["removed"], unlimited["removed"]) == (True, False)


async def test_failing_vms_are_named_and_the_rest_is_shown(
    edges: Edges, closed: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a script that takes a part of the VMs for all of them.

    A VM without the route, a negative counter, an organisation listed twice and text that is no
    JSON are malformed; a closed port is unreachable. Each is named, and the exit code is not 0.
    """
    good = await edges.open(A1)
    negative = status("x", "a", 7, organisation("acme", asked=-1))
    twice = status("x", "a", 7, organisation("acme"), organisation("acme"))
    bodies = ((b"", 404), (negative, 200), (twice, 200), (b"<html>", 200), (b'{"x":', 200))
    malformed = [await edges.open(body, code) for body, code in bodies]
    assert await quotas(good, closed, *malformed) == ExitCode.INCOMPLETE
    out = capsys.readouterr().out
    assert "acme" in out
    assert f"no answer from {closed}" in out
    for address in malformed:
        assert f"malformed answer from {address}" in out
    assert await quotas(good, closed, *malformed, "--output", "json") == ExitCode.INCOMPLETE
    document = json.loads(capsys.readouterr().out)
    assert list(document["unreachable"]) == [closed]
    assert sorted(document["malformed"]) == sorted(malformed)
    assert await quotas(closed) == ExitCode.UNREACHABLE
    assert await quotas(malformed[0]) == ExitCode.INCOMPLETE
    assert (await quotas(), await quotas("x")) == (ExitCode.USAGE, ExitCode.USAGE)


async def test_one_organisation_is_shown_as_each_vm_sees_it(
    edges: Edges, capsys: pytest.CaptureFixture[str]
) -> None:
    addresses = [await edges.open(body) for body in (B1, A2, A1)]
    assert await quotas(*addresses, "--organisation", "acme", "--output", "json") == ExitCode.OK
    document = json.loads(capsys.readouterr().out)
    assert [found["name"] for found in document["organisations"]] == ["acme"]
    assert [
        (view["vm"]["vm"], view["status"]["owner"], view["status"]["rate"])
        for view in document["views"]
    ] == [("a1", "a1", 30), ("a2", "a1", 50), ("b1", "b1", 30)]
    assert await quotas(*addresses, "--organisation", "acme") == ExitCode.OK
    assert "as each VM sees it" in capsys.readouterr().out
    assert await quotas(*addresses, "--organisation", "acm") == ExitCode.INCOMPLETE
    assert "no VM that answered has an organisation acm" in capsys.readouterr().out


def test_the_report_does_not_depend_on_the_order_of_answers() -> None:
    """Guard against limits of an older table that win because their VM answered last."""
    answers = [codec.from_json(body, QuotaStatus) for body in (A1, A2, B1)]
    reports = set()
    for order in itertools.permutations(answers):
        merger = QuotaMerger()
        for answer in order:
            merger.add(answer)
        reports.add(codec.to_json(merger.report({}, {})))
    assert len(reports) == 1
