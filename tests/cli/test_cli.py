"""The operators' tool against fake daemons: requests, output and exit codes."""

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
from berylspindle_model.configuration import Configuration, DataCentre
from berylspindle_model.configuration_codec import canonical
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
    """Fake operators' backend of a daemon; a shared `confirmed` list stands for the store."""

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

    async def timeline(self, event_filter: EventFilter) -> EventPage:
        found = tuple(event for event in self.events if event_filter.matches(event))
        return EventPage(vm=self.vm, events=found)

    async def metrics(self) -> bytes:
        return b""


@attrs.frozen
class Run:
    """Exit code and output of one run of the tool."""

    code: int
    out: str
    err: str


class Tool:
    """Run the tool in a thread and capture its exit code and output."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys

    async def __call__(self, *arguments: str) -> Run:
        code = await asyncio.to_thread(_code_of, arguments)
        captured = self._capsys.readouterr()
        return Run(code, captured.out, captured.err)


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


async def unused_address() -> str:
    """Return an address without a listener."""
    server: HttpServer = await serve(_fail, host="127.0.0.1", port=0)
    async with server:
        return f"127.0.0.1:{server.port}"


async def _fail(request: HttpRequest) -> HttpResponse:
    raise AssertionError("no request is expected")


async def test_an_intent_is_planned_and_confirmed(tool: Tool, tmp_path: Path) -> None:
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
    """Guard against an operator who removes the last replica of a shard unknowingly.

    The plan must report it with its own exit code; the confirm must be refused without the flag,
    and an environment variable must not replace the flag.
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


async def test_a_lost_confirmation_is_resolved_by_another_daemon(
    tool: Tool, tmp_path: Path
) -> None:
    """Guard against a confirm that is reported as failed although it is in force.

    The first daemon applies the plan and loses the store's reply; the tool must try the next
    daemon, which finds the record, and report one application.
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


async def test_an_unknown_confirmation_is_reported(tool: Tool, tmp_path: Path) -> None:
    """Guard against reporting "not run" to a script although the write took effect.

    The first daemon may have applied the plan; the second one can't reach the store and reports
    "not run" for its own attempt. The tool must still report that the plan may have run.
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


async def test_status_names_lagging_and_unheard_vms(tool: Tool) -> None:
    """Guard against an operator who overlooks a VM that still serves by the old revision.

    One VM lags, one is suspected, one address does not answer. Each must be named, with its age,
    and the exit code must not be 0.
    """
    others = (
        VmReport(vm="vm2", data_centre="dc1", state=VmState.LIVE, revision=3, since_ms=2500),
        VmReport(vm="vm3", data_centre="dc2", state=VmState.SUSPECT, revision=4, since_ms=900),
        VmReport(vm="vm4", data_centre="dc2", state=VmState.DEAD),
    )
    unused = await unused_address()
    async with daemon(FakeDaemon("vm1", revision=4, vms=others)) as address:
        shown = await tool("status", "--admins", f"{address},{unused}")
        as_json = await tool("status", "--admins", f"{address},{unused}", "--output", "json")
    assert (shown.code, as_json.code) == (ExitCode.INCOMPLETE, ExitCode.INCOMPLETE)
    assert f"no answer: {unused}" in shown.out
    assert "2.5 s" in shown.out
    document = json.loads(as_json.out)
    assert document["lagging"] == ["vm2"]
    assert document["unheard"] == ["vm3"]
    assert document["unreachable"] == [unused]
    async with daemon(FakeDaemon("vm1", vms=others[2:])) as address:
        complete = await tool("status", "--admins", address)
    assert complete.code == ExitCode.OK
    assert "revision 3 is in force on all 2 VMs" in complete.out


async def test_the_time_line_is_merged_and_names_unreachable_daemons(tool: Tool) -> None:
    def event(vm: str, millis: int, kind: EventKind, **about: str) -> Event:
        return Event(vm=vm, sequence=1, stamp=Stamp(millis), kind=kind, **about)

    first = FakeDaemon("vm1", events=(event("vm1", 2000, EventKind.EJECTED, server="<s1>"),))
    second = FakeDaemon("vm2", events=(event("vm2", 1000, EventKind.READY),))
    unused = await unused_address()
    async with daemon(first) as one, daemon(second) as two:
        admins = f"{one},{two},{unused}"
        table = await tool("timeline", "--admins", admins)
        lines = await tool("timeline", "--admins", admins, "--output", "json")
        page = await tool("timeline", "--admins", admins, "--output", "html")
        some = await tool("timeline", "--admins", one, "--server", "s2", "--output", "json")
    assert {table.code, lines.code, page.code} == {ExitCode.INCOMPLETE}
    assert f"no answer from {unused}" in table.out
    *events, missing = map(json.loads, lines.out.splitlines())
    assert [(found["vm"], found["kind"]) for found in events] == [
        ("vm2", "ready"),
        ("vm1", "ejected"),
    ]
    assert missing == {"unreachable": [unused], "dropped": {}}
    assert "&lt;s1&gt;" in page.out
    assert f"{unused}<br>not reached" in page.out
    assert "http" not in page.out.replace(unused, "")
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


async def test_all_faults_of_a_configuration_are_listed(tool: Tool, tmp_path: Path) -> None:
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


async def test_an_execute_prints_its_generated_key(tool: Tool) -> None:
    """Guard against an execute with an unknown outcome that can't be queried for lack of its key.

    Without --key the tool generates one; it must print the key whatever the daemon answers.
    """
    seen: list[HttpRequest] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        seen.append(request)
        return refusal_response(Refusal(ErrorKind.OUTCOME_UNKNOWN))

    async with await serve(handle, host="127.0.0.1", port=0) as server:
        callers = f"127.0.0.1:{server.port}"
        finished = await tool("execute", "desk", "3", '{"hold": 1}', "--callers", callers)
    assert finished.code == ExitCode.UNKNOWN
    key = seen[0].headers[caller_protocol.IDEMPOTENCY_KEY_HEADER]
    assert f"idempotency key {key}" in finished.err
    assert "outcome_unknown (may have run)" in finished.err


@pytest.mark.parametrize(
    ("arguments", "line"),
    [
        (["bogus"], 'Unknown command "bogus".'),
        (["status", "--admins", "x"], "--admins: 'x' is not host:port"),
        (["status", "--admins", ""], "--admins: no daemon address given"),
        (
            ["timeline", "--since", "soon"],
            "--since: 'soon' is neither a time nor an age such as 10m",
        ),
        (["execute", "a", "b", "[1]"], "the payload is not a JSON object"),
        (["confirm", "nowhere.json"], "cannot read the plan file: No such file or directory"),
        (["status", "--token", TOKEN], "Unknown option: --token."),
        (["plan", "stand-up", "."], "cannot read the definition: Is a directory"),
    ],
)
async def test_a_usage_error_is_one_line_without_secrets(
    tool: Tool, arguments: list[str], line: str
) -> None:
    finished = await tool(*arguments)
    assert finished.code == ExitCode.USAGE
    assert finished.err.startswith(f"berylspindle: {line}")
    assert finished.err.count("\n") == 1
    assert TOKEN not in finished.err


async def test_a_misspelt_variable_is_an_error(tool: Tool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(ENV_PREFIX + "ADMNS", "127.0.0.1:1")
    finished = await tool("status")
    assert finished.code == ExitCode.USAGE
    assert "unknown setting in the environment: BERYLSPINDLE_CLI_ADMNS" in finished.err


async def test_an_unreachable_daemon_has_another_exit_code_than_a_refusal(tool: Tool) -> None:
    unused = await unused_address()
    assert (await tool("status", "--admins", unused)).code == ExitCode.UNREACHABLE
    assert (await tool("plan", "return", "dc1", "--admins", unused)).code == ExitCode.UNREACHABLE
    assert (await tool("search", "a", "b", "--callers", unused)).code == ExitCode.UNREACHABLE
