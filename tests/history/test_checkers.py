"""Checkers accept a valid history and find exactly the one violation of an invalid one."""

from __future__ import annotations

import enum
from collections.abc import Callable
from pathlib import Path

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_bench.history_checks import Checker
from berylspindle_bench.history_records import (
    Adoption,
    Confirmed,
    History,
    Life,
    OutcomeKind,
    Step,
    StepKind,
    Try,
    write_history,
)
from berylspindle_bench.history_verdict import checkers, judge
from berylspindle_client.outcomes import Refused
from berylspindle_model.configuration import IntentRecord
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.messages import Coverage, ExecuteAnswer, Hit, SearchAnswer
from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.call_log import CallStep, LoggedStep
from berylspindle_standins.deployments import small
from berylspindle_standins.index import merged_hits, shard_hits

CONFIGURATION = small(17000)
FIRST, SECOND = Snapshot(1, 1), Snapshot(1, 2)
TAKEN_OUT = "test-a"
SERVER = "lots-0-0"


def answer(text: str, *, missing: tuple[str, ...] = (), partial: str = "") -> SearchAnswer:
    shards = [shard for shard in "0123" if shard not in missing]
    hits = [
        hit
        for shard in shards
        for hit in shard_hits("lots", shard, FIRST, text)[:: 2 if shard == partial else 1]
    ]
    return SearchAnswer(
        request_id=f"id-{text}",
        snapshot=FIRST,
        coverage=Coverage(
            asked=4, answered=len(shards), missing=missing, partial=(partial,) if partial else ()
        ),
        hits=tuple(sorted(hits, key=lambda hit: (-hit.score, hit.id))[:10]),
    )


def search(number: int, text: str, start: float, **more: object) -> Try:
    base = Try(
        request=number,
        vm="test-a-vm1",
        service="lots",
        text=text,
        request_id=f"id-{text}",
        start=start,
        end=start + 0.02,
        told=OutcomeKind.ANSWER,
        answer=answer(text),
    )
    return attrs.evolve(base, **more)


def refused(number: int, text: str, start: float, **more: object) -> Try:
    why = Refused(kind=ErrorKind.OVERLOADED, run=RunState.NOT_RUN)
    base = search(number, text, start, told=OutcomeKind.REFUSED, answer=None, refused=why)
    return attrs.evolve(base, **more)


def execute(number: int, key: str, start: float) -> Try:
    done = ExecuteAnswer(
        request_id=f"id-{key}",
        key=key,
        server=SERVER,
        result={"confirmed": key, "shard": "0", "server": SERVER},
    )
    return search(number, key, start, answer=None, executed=done, shard="0")


class Log:
    """Build a call log of the stand-ins with its sequence numbers."""

    def __init__(self) -> None:
        self.steps: list[LoggedStep] = []

    def add(self, wall: float, step: CallStep, server: str = SERVER, **more: object) -> None:
        base = LoggedStep(sequence=len(self.steps) + 1, wall=wall, server=server, step=step)
        self.steps.append(attrs.evolve(base, **more))

    def run(self, wall: float, text: str, server: str = SERVER, **more: object) -> None:
        for step in (CallStep.ADMITTED, CallStep.STARTED, CallStep.FINISHED):
            self.add(wall, step, server, attempt=f"a-{text}", text=text, in_flight=1, **more)


def valid_calls() -> tuple[LoggedStep, ...]:
    """Return a log with all kinds of calls that are no violations."""
    log = Log()
    log.run(100.01, "plain")
    log.run(101.01, "hold-1", execute=True)
    # The first excess call after an unannounced cold start is no violation; it crashes the server.
    log.add(102.0, CallStep.TURNED_COLD, cold=True)
    log.add(102.1, CallStep.OVERRUN, text="gone", in_flight=2, cold=True)
    log.add(102.1, CallStep.CRASHED, cold=True)
    log.run(103.0, "after", cold=True)
    log.add(104.0, CallStep.DRAIN, "lots-1-0")
    log.add(104.5, CallStep.REFUSED, "lots-1-0", text="late", detail="draining")
    log.run(111.0, "still-in", "lots-0-1")
    return tuple(log.steps)


def valid_history() -> History:
    """Return a history without violations."""
    return History(
        configuration=CONFIGURATION,
        final=attrs.evolve(
            CONFIGURATION,
            revision=2,
            intents=(
                IntentRecord(id="p", kind="take_out", subject=TAKEN_OUT, operator="", revision=2),
            ),
        ),
        tries=(
            search(1, "plain", 100.0),
            search(2, "part", 100.5, answer=answer("part", missing=("2",), partial="1")),
            execute(3, "hold-1", 101.0),
            refused(4, "never", 101.5),
            search(5, "last", 115.0, vm="test-b-vm1"),
        ),
        calls=valid_calls(),
        steps=(
            Step(
                wall=105.0,
                fault="out-back",
                kind=StepKind.TAKEN_OUT,
                subject=TAKEN_OUT,
                begun=104.9,
            ),
            Step(wall=114.0, fault="out-back", kind=StepKind.RETURNING, subject=TAKEN_OUT),
        ),
        lives=(
            Life(vm="test-a-vm1", vm_id="a1", start=99.0, terminated=106.0, end=108.0, exit_code=0),
            Life(vm="test-b-vm1", vm_id="b1", start=99.0),
        ),
        adoptions=(
            Adoption(vm_id="b1", sequence=2, wall=99.0, revision=1),
            Adoption(vm_id="b1", sequence=9, wall=105.5, revision=2),
        ),
        confirmed=(Confirmed(wall=105.0, plan="p", revision=2),),
    )


def with_tries(*tries: Try) -> History:
    return attrs.evolve(valid_history(), tries=(*valid_history().tries, *tries))


def with_calls(add: Callable[[Log], None]) -> History:
    log = Log()
    log.steps = list(valid_history().calls)
    add(log)
    return attrs.evolve(valid_history(), calls=tuple(log.steps))


def search_with_answer(text: str, **more: object) -> Try:
    return search(50, text, 100.0, answer=attrs.evolve(answer(text), **more))


def hit_of_a_newer_version() -> History:
    hits = (shard_hits("lots", "0", SECOND, "mixed")[0], *answer("mixed").hits[1:])
    hits = tuple(sorted(hits, key=lambda hit: (-hit.score, hit.id)))
    return with_tries(search_with_answer("mixed", hits=hits))


def missing_shard_counted_as_answered() -> History:
    hollow = answer("hollow", missing=("3",))
    return with_tries(
        search_with_answer("hollow", hits=hollow.hits, coverage=Coverage(asked=4, answered=4))
    )


def answer_to_another_query() -> History:
    hits: tuple[Hit, ...] = merged_hits("lots", "0123", FIRST, "other")[:10]
    return with_tries(search_with_answer("crossed", hits=hits))


def excess_call_in_a_cold_start() -> History:
    return with_calls(
        lambda log: log.add(103.5, CallStep.OVERRUN, text="x", in_flight=2, cold=True)
    )


def work_after_out() -> History:
    return with_calls(lambda log: log.run(110.0, "late-work"))


def refusal_that_ran() -> History:
    history = with_calls(lambda log: log.run(103.2, "denied"))
    return attrs.evolve(history, tries=(*history.tries, refused(60, "denied", 103.1)))


def key_that_ran_twice() -> History:
    return with_calls(lambda log: log.run(101.2, "hold-1", "lots-0-1", execute=True))


def work_for_a_draining_server() -> History:
    return with_calls(lambda log: log.run(109.0, "late-work", "lots-1-0"))


def search_interrupted_by_a_shutdown() -> History:
    interrupted = search(
        70, "cut", 107.0, told=OutcomeKind.UNKNOWN, answer=None, detail="connection lost"
    )
    return with_tries(interrupted)


SHUTTING_DOWN = Refused(kind=ErrorKind.SHUTTING_DOWN, run=RunState.NOT_RUN)


def hold_refused_by_a_shutdown_alone() -> History:
    """Return a history in which the last outcome is a refusal by the daemon that shuts down."""
    return with_tries(refused(72, "hold-72", 107.0, refused=SHUTTING_DOWN))


def test_a_hold_that_another_vm_still_runs_is_not_interrupted() -> None:
    """Guard against reporting a shutdown as the cause of an execute that waits for the store.

    The reply to a claim is lost, so one VM refuses the request because the store is unavailable
    and another because the claim is in progress. The caller retries at all VMs, and the daemon
    that shuts down refuses it last, as not run.
    """
    in_progress = Refused(kind=ErrorKind.IN_PROGRESS, run=RunState.MAY_HAVE_RUN)
    history = with_tries(
        refused(73, "hold-73", 106.9, vm="test-b-vm1", refused=in_progress),
        refused(73, "hold-73", 107.0, refused=SHUTTING_DOWN),
    )
    assert judge(history) == ()


def search_interrupted_at_another_vm() -> History:
    """Return a history without server faults, so that only a shutdown can break a connection."""
    lost = Refused(kind=ErrorKind.CONNECTION_LOST, run=RunState.MAY_HAVE_RUN)
    interrupted = refused(71, "cut", 107.0, vm="test-b-vm1", refused=lost)
    calls = tuple(call for call in valid_history().calls if call.wall < 102.0)
    return attrs.evolve(valid_history(), calls=calls, tries=(*valid_history().tries, interrupted))


def revision_that_reverts() -> History:
    back = Adoption(vm_id="b1", sequence=10, wall=107.0, revision=1)
    return attrs.evolve(valid_history(), adoptions=(*valid_history().adoptions, back))


def daemon_that_never_adopts() -> History:
    return attrs.evolve(valid_history(), adoptions=valid_history().adoptions[:1])


def shutdown_with_a_wrong_code() -> History:
    ended = attrs.evolve(valid_history().lives[0], exit_code=4)
    return attrs.evolve(valid_history(), lives=(ended, *valid_history().lives[1:]))


def confirmed_plan_that_is_lost() -> History:
    return attrs.evolve(valid_history(), final=CONFIGURATION)


def key_not_run_that_ran() -> History:
    """Return a history in which an execute was refused as not run although a server ran it."""
    history = with_calls(lambda log: log.run(103.2, "hold-9", execute=True))
    refusal = refused(61, "hold-9", 103.1, shard="0")
    return attrs.evolve(history, tries=(*history.tries, refusal))


def second_page_of_another_snapshot() -> History:
    page = attrs.evolve(
        answer("paged"),
        snapshot=SECOND,
        hits=merged_hits("lots", "0123", SECOND, "paged")[10:20],
    )
    return with_tries(
        search(51, "paged", 100.0), search(51, "paged", 100.1, answer=page, offset=10)
    )


PLANTED = {
    hit_of_a_newer_version: "one snapshot",
    second_page_of_another_snapshot: "one snapshot",
    missing_shard_counted_as_answered: "coverage correctly",
    answer_to_another_query: "to its own request",
    excess_call_in_a_cold_start: "in a cold start",
    work_after_out: "take a data centre out",
    refusal_that_ran: '"not run" is true',
    key_not_run_that_ran: '"not run" is true',
    key_that_ran_twice: "at most once",
    work_for_a_draining_server: "starts leaving",
    search_interrupted_by_a_shutdown: "interrupts no request",
    search_interrupted_at_another_vm: "interrupts no request",
    hold_refused_by_a_shutdown_alone: "interrupts no request",
    shutdown_with_a_wrong_code: "interrupts no request",
    revision_that_reverts: "never reverts",
    daemon_that_never_adopts: "never reverts",
    confirmed_plan_that_is_lost: "never reverts",
}


@pytest.mark.parametrize("checker", checkers(), ids=lambda checker: type(checker).__name__)
def test_a_valid_history_has_no_violations(checker: Checker) -> None:
    assert list(checker.find(valid_history())) == []


@pytest.mark.parametrize(
    ("plant", "guarantee"), PLANTED.items(), ids=lambda each: getattr(each, "__name__", each)
)
def test_one_planted_violation_is_found_once(plant: Callable[[], History], guarantee: str) -> None:
    found = judge(plant())
    assert len(found) == 1, [str(each) for each in found]
    assert guarantee in found[0].guarantee
    assert found[0].timeline


class Noise(enum.Enum):
    """Kinds of unrelated records that are no violations."""

    COMPLETE = enum.auto()
    PARTIAL = enum.auto()
    REFUSED = enum.auto()
    EXECUTE = enum.auto()
    RETRIED = enum.auto()
    CRASH = enum.auto()


def with_noise(history: History, noises: list[tuple[Noise, int]]) -> History:
    """Return the history with unrelated requests and crashes before all of its records."""
    log = Log()
    tries: list[Try] = []
    for number, (noise, place) in enumerate(noises):
        text, start, server = f"noise-{number}", 90.0 + number / 10, f"lots-{place}-1"
        if noise is Noise.CRASH:
            log.add(start, CallStep.TURNED_COLD, server, cold=True)
            log.add(start, CallStep.OVERRUN, server, in_flight=4, cold=True)
            log.add(start, CallStep.CRASHED, server, cold=True)
        elif noise is Noise.REFUSED:
            tries.append(refused(100 + number, text, start))
        elif noise is Noise.EXECUTE:
            log.run(start + 0.01, text, SERVER, execute=True)
            tries += [execute(100 + number, text, start), execute(100 + number, text, start + 0.05)]
        elif noise is Noise.RETRIED:
            log.run(start + 0.06, text, SERVER, execute=True)
            tries.append(refused(100 + number, text, start, shard="0"))
            tries.append(execute(100 + number, text, start + 0.05))
        else:
            missing = (str(place),) if noise is Noise.PARTIAL else ()
            log.run(start + 0.01, text, server)
            tries.append(search(100 + number, text, start, answer=answer(text, missing=missing)))
    return attrs.evolve(history, tries=(*tries, *history.tries), calls=(*log.steps, *history.calls))


NOISES = st.lists(st.tuples(st.sampled_from(Noise), st.integers(0, 3)), max_size=12)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(noises=NOISES, plant=st.sampled_from([None, *PLANTED]))
def test_unrelated_records_neither_hide_nor_cause_a_violation(
    noises: list[tuple[Noise, int]], plant: Callable[[], History] | None
) -> None:
    found = judge(with_noise(plant() if plant is not None else valid_history(), noises))
    assert [PLANTED[plant] in each.guarantee for each in found] == [True] if plant else found == ()


def test_every_checker_has_a_planted_violation() -> None:
    for checker in checkers():
        assert any(part in checker.guarantee for part in PLANTED.values()), checker.guarantee


def test_a_history_without_answers_is_a_violation() -> None:
    found = judge(attrs.evolve(valid_history(), tries=()))
    assert any("contains an answer" in each.guarantee for each in found)


def test_a_history_is_written_line_by_line(tmp_path: Path) -> None:
    history = valid_history()
    write_history(history, tmp_path / "run" / "history.jsonl")
    lines = (tmp_path / "run" / "history.jsonl").read_text().splitlines()
    assert len(lines) == 1 + sum(
        len(part)
        for part in (
            history.tries,
            history.calls,
            history.steps,
            history.lives,
            history.adoptions,
            history.confirmed,
        )
    )
