"""The operators' tool against fake daemons over sockets: what it asks, prints and returns."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import pytest

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.main import run
from berylspindle_cli.settings import ENV_PREFIX
from berylspindle_daemon.admin import AdminBackend, AdminEdge
from berylspindle_model import caller_protocol, codec
from berylspindle_model.checked import canonical
from berylspindle_model.configuration import Configuration, DataCentre
from berylspindle_model.errors import ErrorKind, Refusal, refuse
from berylspindle_model.events import Event, EventFilter, EventKind, EventPage
from berylspindle_model.intents import (
    Confirmation,
    ConfirmRequest,
    Intent,
    IntentKind,
    Plan,
    PlanStep,
    ServiceLoad,
)
from berylspindle_model.messages import Coverage, Hit, SearchAnswer
from berylspindle_model.operator_protocol import StatusReport, VmReport, VmState
from berylspindle_model.snapshot import Snapshot
from berylspindle_model.stamps import Stamp
from berylspindle_telemetry.secret import Secret
from berylspindle_wire.http import HttpRequest, HttpResponse, json_response
from berylspindle_wire.http_errors import refusal_response
from berylspindle_wire.http_server import HttpServer, serve

TOKEN = "s3cr3t-s3cr3t-s3cr3t"
CONFIGURATION = Configuration(
    revision=3, deployment="d", data_centres=(DataCentre(name="dc1", region="r"),)
)


@attrs.define
class FakeDaemon(AdminBackend):
    """One daemon's operators' side; `confirmed` is shared by all as the store would be."""

    vm: str
    confirmed: list[str] = attrs.field(factory=list)
    intents: list[Intent] = attrs.field(factory=list)
    vms: tuple[VmReport, ...] = ()
    events: tuple[Event, ...] = ()
    revision: int = 3
    breaks: tuple[str, ...] = ()
    confirm_refusal: Refusal | None = None

    def not_ready(self) -> Refusal | None:
        return None

    async def plan(self, intent: Intent) -> Plan:
        self.intents.append(intent)
        load = ServiceLoad(service="desk", slots=9, busy=1.5, shards=3, covered=3, fewest=1)
        return Plan(
            id="0123456789abcdef",
            base=3,
            intent=intent,
            before=(load,),
            steps=(PlanStep(text="no new work for dc1", services=(load,)),),
            breaks=self.breaks,
            needs_override=bool(self.breaks),
        )

    async def confirm(self, request: ConfirmRequest, operator: str) -> Confirmation:
        if request.plan.breaks and not request.override:
            raise refuse(ErrorKind.UNSAFE_PLAN)
        repeated = request.plan.id in self.confirmed
        if not repeated:
            self.confirmed.append(request.plan.id)
        if self.confirm_refusal is not None:
            refusal, self.confirm_refusal = self.confirm_refusal, None
            raise refuse(refusal.kind, refusal.detail)
        return Confirmation(id=request.plan.id, revision=4, repeated=repeated)

    async def status(self) -> StatusReport:
        return StatusReport(
            vm=self.vm, data_centre="dc1", revision=self.revision, ready=True, vms=self.vms
        )

    async def configuration(self) -> bytes:
        return canonical(CONFIGURATION)

    async def timeline(self, wanted: EventFilter) -> EventPage:
        found = tuple(event for event in self.events if wanted.matches(event))
        return EventPage(vm=self.vm, events=found)

    async def metrics(self) -> bytes:
        return b""


@attrs.frozen
class Ran:
    """What one run of the tool gave."""

    code: int
    out: str
    err: str


class Tool:
    """Run the tool in a thread, as a process of its own would, and take what it printed."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys

    async def __call__(self, *arguments: str) -> Ran:
        code = await asyncio.to_thread(_code_of, arguments)
        captured = self._capsys.readouterr()
        return Ran(code, captured.out, captured.err)


def _code_of(arguments: Sequence[str]) -> int:
    with pytest.raises(SystemExit) as ended:
        run(arguments)
    assert isinstance(ended.value.code, int)
    return ended.value.code


@pytest.fixture
def tool(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> Tool:
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv(ENV_PREFIX + "TOKEN", TOKEN)
    monkeypatch.setenv("COLUMNS", "200")
    return Tool(capsys)


@asynccontextmanager
async def daemon(backend: FakeDaemon) -> AsyncIterator[str]:
    edge = AdminEdge(backend, token=Secret(TOKEN))
    async with await serve(edge.handle, host="127.0.0.1", port=0) as server:
        yield f"127.0.0.1:{server.port}"


async def away() -> str:
    """Return an address on which nobody listens."""
    server: HttpServer = await serve(_never, host="127.0.0.1", port=0)
    async with server:
        return f"127.0.0.1:{server.port}"


async def _never(request: HttpRequest) -> HttpResponse:
    raise AssertionError("no request is expected")


async def test_an_intent_goes_from_plan_to_confirmation(tool: Tool, tmp_path: Path) -> None:
    backend = FakeDaemon("vm1")
    async with daemon(backend) as address:
        planned = await tool("plan", "take-out", "dc1", "--admins", address)
        file = tmp_path / "plan-0123456789ab.json"
        confirmed = await tool("confirm", str(file), "--admins", address)
        again = await tool("confirm", str(file), "--admins", address, "--output", "json")
    assert planned.code == ExitCode.OK
    assert "no new work for dc1" in planned.out
    assert "nothing is changed yet" in planned.out
    assert backend.intents == [Intent(kind=IntentKind.TAKE_OUT, subject="dc1")]
    assert (confirmed.code, again.code) == (ExitCode.OK, ExitCode.OK)
    assert "is accepted, as revision 4" in confirmed.out
    assert json.loads(again.out) == {"id": "0123456789abcdef", "revision": 4, "repeated": True}
    assert backend.confirmed == ["0123456789abcdef"]


async def test_a_plan_that_breaks_a_promise_needs_an_override(
    tool: Tool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator takes the last replica of a shard away without having been told.

    The plan must say so first and end with its own exit code; the confirm must refuse without the
    flag, and a forgotten variable of the environment must not stand in for it.
    """
    backend = FakeDaemon("vm1", breaks=("shard 3 of desk would have no replica",))
    file = str(tmp_path / "p.json")
    async with daemon(backend) as address:
        planned = await tool("plan", "retire", "s1", "--file", file, "--admins", address)
        refused = await tool("confirm", file, "--admins", address)
        confirmed = await tool("confirm", file, "--override", "--admins", address)
        monkeypatch.setenv(ENV_PREFIX + "OVERRIDE", "1")
        by_variable = await tool("confirm", file, "--admins", address)
    assert planned.code == ExitCode.UNSAFE
    assert "BREAKS: shard 3 of desk would have no replica" in planned.out
    assert refused.code == ExitCode.UNSAFE
    assert confirmed.code == ExitCode.OK
    assert by_variable.code == ExitCode.USAGE


async def test_a_lost_confirmation_is_settled_at_another_daemon(tool: Tool, tmp_path: Path) -> None:
    """An operator is told that a confirm failed though it is in force, and confirms again.

    The first daemon applies the plan and can't tell what came of it; the tool must ask the next
    one, which finds the record, and report one application.
    """
    store: list[str] = []
    lost = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the store stopped answering")
    first = FakeDaemon("vm1", store, confirm_refusal=lost)
    second = FakeDaemon("vm2", store)
    file = tmp_path / "p.json"
    file.write_bytes(codec.to_json(await FakeDaemon("vm").plan(Intent(kind="return", subject="x"))))
    async with daemon(first) as one, daemon(second) as two:
        confirmed = await tool("confirm", str(file), "--admins", f"{one},{two}")
    assert confirmed.code == ExitCode.OK
    assert "was accepted before, as revision 4" in confirmed.out
    assert store == ["0123456789abcdef"]


async def test_a_confirmation_that_stays_unknown_says_so(tool: Tool, tmp_path: Path) -> None:
    """A script takes "store away, not run" for an answer though the write has taken effect.

    The first daemon may have applied the plan; the second can't reach the store and says "not
    run" of its own attempt. The tool must still report that it may have run.
    """
    first = FakeDaemon("vm1", confirm_refusal=Refusal(ErrorKind.OUTCOME_UNKNOWN))
    second = FakeDaemon("vm2", confirm_refusal=Refusal(ErrorKind.STORE_AWAY))
    file = tmp_path / "p.json"
    file.write_bytes(codec.to_json(await FakeDaemon("vm").plan(Intent(kind="return", subject="x"))))
    async with daemon(first) as one, daemon(second) as two:
        confirmed = await tool("confirm", str(file), "--admins", f"{one},{two}")
    assert confirmed.code == ExitCode.UNKNOWN
    assert "may have run" in confirmed.err


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (ErrorKind.STALE_PLAN, ExitCode.CONFLICT),
        (ErrorKind.STORE_AWAY, ExitCode.REFUSED),
        (ErrorKind.INVALID_CONFIGURATION, ExitCode.REFUSED),
    ],
)
async def test_a_refused_confirm_has_its_exit_code(
    tool: Tool, tmp_path: Path, kind: ErrorKind, code: ExitCode
) -> None:
    file = tmp_path / "p.json"
    file.write_bytes(codec.to_json(await FakeDaemon("vm").plan(Intent(kind="return", subject="x"))))
    async with daemon(FakeDaemon("vm1", confirm_refusal=Refusal(kind))) as address:
        refused = await tool("confirm", str(file), "--admins", address, "--output", "json")
    assert refused.code == code
    assert json.loads(refused.out)["error"]["kind"] == kind.value


async def test_status_names_who_lags_and_who_is_not_heard(tool: Tool) -> None:
    """An operator believes a data centre is out while a VM still serves by the old revision.

    One VM lags, one is suspected, one address does not answer. Each must be named, with since
    when, and the exit code must not be that of success.
    """
    others = (
        VmReport(vm="vm2", data_centre="dc1", state=VmState.LIVE, revision=3, since_ms=2500),
        VmReport(vm="vm3", data_centre="dc2", state=VmState.SUSPECT, revision=4, since_ms=900),
        VmReport(vm="vm4", data_centre="dc2", state=VmState.DEAD),
    )
    gone = await away()
    async with daemon(FakeDaemon("vm1", revision=4, vms=others)) as address:
        shown = await tool("status", "--admins", f"{address},{gone}")
        said = await tool("status", "--admins", f"{address},{gone}", "--output", "json")
    assert (shown.code, said.code) == (ExitCode.INCOMPLETE, ExitCode.INCOMPLETE)
    assert f"no answer: {gone}" in shown.out
    assert "2.5 s" in shown.out
    document = json.loads(said.out)
    assert document["lagging"] == ["vm2"]
    assert document["unheard"] == ["vm3"]
    assert document["unreachable"] == [gone]
    async with daemon(FakeDaemon("vm1", vms=others[2:])) as address:
        whole = await tool("status", "--admins", address)
    assert whole.code == ExitCode.OK
    assert "revision 3 is in force on all 2 VMs" in whole.out


async def test_the_time_line_is_merged_and_names_who_did_not_answer(tool: Tool) -> None:
    def event(vm: str, millis: int, kind: EventKind, **about: str) -> Event:
        return Event(vm=vm, sequence=1, stamp=Stamp(millis), kind=kind, **about)

    first = FakeDaemon("vm1", events=(event("vm1", 2000, EventKind.EJECTED, server="<s1>"),))
    second = FakeDaemon("vm2", events=(event("vm2", 1000, EventKind.READY),))
    gone = await away()
    async with daemon(first) as one, daemon(second) as two:
        admins = f"{one},{two},{gone}"
        table = await tool("timeline", "--admins", admins)
        lines = await tool("timeline", "--admins", admins, "--output", "json")
        page = await tool("timeline", "--admins", admins, "--output", "html")
        some = await tool("timeline", "--admins", one, "--server", "s2", "--output", "json")
    assert {table.code, lines.code, page.code} == {ExitCode.INCOMPLETE}
    assert f"no answer from {gone}" in table.out
    *events, missing = map(json.loads, lines.out.splitlines())
    assert [(found["vm"], found["kind"]) for found in events] == [
        ("vm2", "ready"),
        ("vm1", "ejected"),
    ]
    assert missing == {"unreachable": [gone], "dropped": {}}
    assert "&lt;s1&gt;" in page.out
    assert f"{gone}<br>not reached" in page.out
    assert "http" not in page.out.replace(gone, "")
    assert len(some.out.splitlines()) == 1


async def test_a_configuration_is_exported_compared_and_planned(tool: Tool, tmp_path: Path) -> None:
    backend = FakeDaemon("vm1")
    file, other = tmp_path / "c.json", tmp_path / "d.json"
    other.write_bytes(canonical(attrs.evolve(CONFIGURATION, deployment="e")))
    async with daemon(backend) as address:
        admins = ("--admins", address)
        exported = await tool("configuration", "export", "--file", str(file), *admins)
        same = await tool("configuration", "diff", str(file), *admins)
        different = await tool("configuration", "diff", str(file), str(other))
        checked = await tool("configuration", "check", str(file))
        imported = await tool("configuration", "import", str(other), *admins)
    assert exported.code == ExitCode.OK
    assert file.read_bytes() == canonical(CONFIGURATION)
    assert (same.code, same.out) == (ExitCode.OK, "")
    assert different.code == ExitCode.DIFFERENT
    assert '-  "deployment": "d",\n+  "deployment": "e",' in different.out
    assert checked.code == ExitCode.OK
    assert imported.code == ExitCode.OK
    assert backend.intents[0].kind is IntentKind.REPLACE


async def test_a_faulty_configuration_shows_every_fault(tool: Tool, tmp_path: Path) -> None:
    file = tmp_path / "c.json"
    file.write_text('{"revision": 0, "deployment": ""}')
    checked = await tool("configuration", "check", str(file), "--output", "json")
    assert checked.code == ExitCode.USAGE
    paths = [fault["path"] for fault in json.loads(checked.out)["faults"]]
    assert paths == ["$.revision", "$.deployment"]


@pytest.mark.parametrize(
    ("missing", "code"),
    [((), ExitCode.OK), (("2",), ExitCode.INCOMPLETE)],
    ids=["whole", "partial"],
)
async def test_a_search_shows_its_snapshot_and_coverage(
    tool: Tool, missing: tuple[str, ...], code: ExitCode
) -> None:
    answer = SearchAnswer(
        request_id="r1",
        snapshot=Snapshot(2, 7),
        coverage=Coverage(asked=3, answered=3 - len(missing), missing=missing),
        hits=(Hit(id="h1", score=0.5, fields={"lot": "[bold]9"}),),
    )

    async def handle(request: HttpRequest) -> HttpResponse:
        return json_response(200, codec.to_json(answer))

    async with await serve(handle, host="127.0.0.1", port=0) as server:
        callers = f"127.0.0.1:{server.port}"
        found = await tool("search", "desk", "junmai", "--callers", callers)
    assert found.code == code
    assert f"snapshot 2.7, {3 - len(missing)} of 3 shards" in found.out
    assert '{"lot": "[bold]9"}' in found.out
    assert ("missing shards: 2" in found.out) == bool(missing)


async def test_an_execute_prints_its_key_before_its_fate(tool: Tool) -> None:
    """A hold's answer is lost, and nobody knows the key to ask for its outcome.

    Without --key the tool makes one; it must have told it whatever the daemon then says.
    """
    seen: list[HttpRequest] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        seen.append(request)
        return refusal_response(Refusal(ErrorKind.OUTCOME_UNKNOWN))

    async with await serve(handle, host="127.0.0.1", port=0) as server:
        callers = f"127.0.0.1:{server.port}"
        ran = await tool("execute", "desk", "3", '{"hold": 1}', "--callers", callers)
    assert ran.code == ExitCode.UNKNOWN
    key = seen[0].headers[caller_protocol.IDEMPOTENCY_KEY_HEADER]
    assert f"idempotency key {key}" in ran.err
    assert "outcome_unknown (may have run)" in ran.err


@pytest.mark.parametrize(
    ("arguments", "line"),
    [
        (["bogus"], 'Unknown command "bogus".'),
        (["status", "--admins", "x"], "--admins: 'x' is not host:port"),
        (["status", "--admins", ""], "--admins: no daemon to ask"),
        (["timeline", "--since", "soon"], "--since: 'soon' is neither a time nor how long ago"),
        (["execute", "a", "b", "[1]"], "the payload is not a JSON object"),
        (["confirm", "nowhere.json"], "cannot read the plan file: No such file or directory"),
        (["status", "--token", TOKEN], "Unknown option: --token."),
        (["plan", "stand-up", "."], "cannot read the definition: Is a directory"),
    ],
)
async def test_a_usage_error_is_one_line_that_shows_no_secret(
    tool: Tool, arguments: list[str], line: str
) -> None:
    ran = await tool(*arguments)
    assert ran.code == ExitCode.USAGE
    assert ran.err.startswith(f"berylspindle: {line}")
    assert ran.err.count("\n") == 1
    assert TOKEN not in ran.err


async def test_a_misspelt_variable_is_an_error(tool: Tool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(ENV_PREFIX + "ADMNS", "127.0.0.1:1")
    ran = await tool("status")
    assert ran.code == ExitCode.USAGE
    assert "unknown setting in the environment: BERYLSPINDLE_CLI_ADMNS" in ran.err


async def test_no_daemon_reached_is_told_apart_from_a_refusal(tool: Tool) -> None:
    gone = await away()
    assert (await tool("status", "--admins", gone)).code == ExitCode.UNREACHABLE
    assert (await tool("plan", "return", "dc1", "--admins", gone)).code == ExitCode.UNREACHABLE
    assert (await tool("search", "a", "b", "--callers", gone)).code == ExitCode.UNREACHABLE
