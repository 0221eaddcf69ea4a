"""The queue of one backend server: fairness under bursts, heavy callers and long requests."""

from __future__ import annotations

from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, given, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from berylspindle_decisions.fair_queue import FairQueue, FairQueueOptions, Pushed
from berylspindle_model.errors import ErrorKind, Refusal, RunState

SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=40
)
# For tests of the state machine with a deliberate fault: it must be found, but not minimised.
PLANTED = settings(SETTINGS, phases=(Phase.generate,), max_examples=500)
SERVICE = 0.005


def drain(queue: FairQueue[str], now: float = 0.0, *, slots: int = 3) -> list[str]:
    """Pop until no entry may run, as a server that is never busy does."""
    items = []
    while (popped := queue.pop(now, expected_service=SERVICE, slots=slots)).item is not None:
        items.append(popped.item)
    return items


def test_a_heavy_caller_does_not_delay_a_light_one() -> None:
    """Guard against a single search that waits for the forty that another caller sent before.

    In a FIFO queue it would. It must be served second at the latest.
    """
    queue = FairQueue[str]()
    for n in range(40):
        queue.push(0.0, f"agent-{n}", caller="agent", deadline=9.0)
    queue.push(0.0, "supervisor", caller="supervisor", deadline=9.0)
    assert "supervisor" in drain(queue)[:2]


def test_a_full_queue_evicts_the_newest_entry_of_the_heaviest_caller() -> None:
    """Guard against refusing a light caller while the queue is full of another caller's burst.

    The burst loses its newest entry instead, and its next one is refused.
    """
    queue = FairQueue[str](FairQueueOptions(max_entries=4))
    for n in range(4):
        queue.push(0.0, f"a{n}", caller="a", deadline=9.0)
    assert queue.push(0.0, "b0", caller="b", deadline=9.0) == Pushed(evicted=("a3",))
    refused = queue.push(0.0, "a4", caller="a", deadline=9.0)
    assert isinstance(refused, Refusal)
    assert (refused.kind, refused.run_state) == (ErrorKind.CALLER_OVER_SHARE, RunState.NOT_RUN)


def test_a_full_queue_of_one_caller_is_overloaded() -> None:
    queue = FairQueue[str](FairQueueOptions(max_entries=1))
    queue.push(0.0, "a0", caller="a", deadline=9.0)
    refused = queue.push(0.0, "a1", caller="a", deadline=9.0)
    assert isinstance(refused, Refusal)
    assert refused.kind is ErrorKind.OVERLOADED


def test_long_entries_leave_a_slot_to_short_ones() -> None:
    """Guard against long entries that occupy all slots and block every search.

    Three entries of ten times the cost arrive at three slots, then an ordinary search; the third
    long entry must wait.
    """
    queue = FairQueue[str]()
    for n in range(3):
        queue.push(0.0, f"long-{n}", caller="reports", deadline=9.0, cost=10.0)
    queue.push(0.0, "short", caller="desk", deadline=9.5)
    got = []
    long_running = 0
    for _ in range(3):
        popped = queue.pop(0.0, expected_service=SERVICE, long_running=long_running, slots=3)
        long_running += popped.long
        got.append(popped.item)
    assert "short" in got
    assert long_running == 2
    blocked = queue.pop(0.0, expected_service=SERVICE, long_running=2, slots=3)
    assert blocked.item is None
    assert len(queue) == 1


def test_a_single_slot_still_serves_long_entries() -> None:
    queue = FairQueue[str]()
    queue.push(0.0, "long", caller="a", deadline=9.0, cost=10.0)
    assert drain(queue, slots=1) == ["long"]


def test_an_entry_that_cannot_meet_its_deadline_is_not_run() -> None:
    """Guard against a burst after which every entry is served too late.

    Entries that can't meet their deadlines are returned without being run.
    """
    queue = FairQueue[str]()
    queue.push(0.0, "late", caller="a", deadline=0.101)
    queue.push(0.0, "long", caller="a", deadline=0.12, cost=10.0)
    queue.push(0.0, "good", caller="a", deadline=1.0)
    popped = queue.pop(0.1, expected_service=SERVICE)
    assert (popped.item, set(popped.expired)) == ("good", {"late", "long"})


def test_a_refusal_states_a_retry_time_at_the_drain_rate() -> None:
    queue = FairQueue[str](FairQueueOptions(max_entries=30))
    for n in range(30):
        queue.push(0.0, f"{n}", caller="a", deadline=9.0)
    for n in range(20):
        queue.pop(n * 0.05, expected_service=SERVICE)
    for n in range(20):
        queue.push(0.95, f"more-{n}", caller="a", deadline=9.0)
    refused = queue.push(0.95, "x", caller="a", deadline=9.0)
    assert isinstance(refused, Refusal)
    assert refused.retry_after == 50
    assert queue.wait_ms(0.95) == 30 * 50


def test_a_caller_that_was_idle_does_not_take_all_slots() -> None:
    queue = FairQueue[str]()
    for n in range(50):
        queue.push(0.0, f"a{n}", caller="a", deadline=9.0)
        if n < 30:
            queue.pop(0.0, expected_service=SERVICE)
    for n in range(10):
        queue.push(0.0, f"b{n}", caller="b", deadline=9.0)
    first = [item[0] for item in drain(queue)[:10]]
    assert Counter(first)["a"] >= 4


@settings(SETTINGS)
@given(st.lists(st.floats(0.5, 8.0), min_size=5, max_size=20), st.integers(1, 5))
def test_two_backlogged_callers_get_equal_service(costs: list[float], factor: int) -> None:
    queue = FairQueue[tuple[str, float]](FairQueueOptions(max_entries=1000))
    for n, cost in enumerate(costs * factor):
        queue.push(0.0, ("heavy", cost), caller="heavy", deadline=90.0 + n, cost=cost)
    for cost in costs:
        queue.push(0.0, ("light", cost), caller="light", deadline=90.0, cost=cost)
    served_cost = Counter[str]()
    while queue.queued("light") and queue.queued("heavy"):
        popped = queue.pop(0.0, expected_service=0.0)
        assert popped.item is not None
        served_cost[popped.item[0]] += popped.item[1]  # type: ignore[assignment]
        assert abs(served_cost["light"] - served_cost["heavy"]) <= max(costs) + 1e-9


class FairQueueMachine(RuleBasedStateMachine):
    """Push, pop, remove and flush in any order; each item leaves the queue exactly once."""

    queue_type: type[FairQueue[int]] = FairQueue
    limit = 6

    def __init__(self) -> None:
        super().__init__()
        self.queue = self.queue_type(FairQueueOptions(max_entries=self.limit))
        self.now = 0.0
        self.queued: dict[int, tuple[str, float, float]] = {}
        self.number = 0

    def queued_cost(self, caller: str) -> float:
        return sum(cost for name, _, cost in self.queued.values() if name == caller)

    def remove_all(self, items: list[int] | tuple[int, ...]) -> None:
        for item in items:
            assert item in self.queued, "returned twice, or never queued"
            del self.queued[item]

    @rule(caller=st.sampled_from("abc"), left=st.floats(-0.1, 0.5), cost=st.sampled_from([1, 2, 6]))
    def push(self, caller: str, left: float, cost: float) -> None:
        self.number += 1
        heaviest = max((self.queued_cost(other) for other in "abc" if other != caller), default=0.0)
        own_cost = self.queued_cost(caller)
        was_full = len(self.queued) >= self.limit
        deadline = self.now + left
        result = self.queue.push(self.now, self.number, caller=caller, deadline=deadline, cost=cost)
        if isinstance(result, Refusal):
            assert result.run_state is RunState.NOT_RUN
            # The heaviest caller loses an entry, of cost 6 at most, before a lighter caller is
            # refused.
            is_fair = deadline <= self.now or (was_full and own_cost + cost > heaviest - 6)
            assert is_fair, "refused, though another caller has far more queued"
            return
        for victim in result.evicted:
            name = self.queued[victim][0]
            assert name != caller
            assert self.queued_cost(name) > own_cost
            assert victim == max(n for n, entry in self.queued.items() if entry[0] == name)
        self.remove_all(result.evicted)
        self.queued[self.number] = (caller, deadline, cost)

    @rule(long_running=st.integers(0, 3), slots=st.integers(1, 3))
    def pop(self, long_running: int, slots: int) -> None:
        popped = self.queue.pop(
            self.now, expected_service=0.01, long_running=long_running, slots=slots
        )
        for item in popped.expired:
            assert self.queued[item][1] - self.now < 0.01 * self.queued[item][2]
        self.remove_all(popped.expired)
        long_allowed = long_running < max(1, slots - 1)
        if popped.item is None:
            assert not any(long_allowed or cost < 4 for _, _, cost in self.queued.values())
            return
        _, deadline, cost = self.queued[popped.item]
        assert deadline - self.now >= 0.01 * cost, "ran an entry that can't meet its deadline"
        assert long_allowed or cost < 4, "long entry in the last slot"
        self.remove_all([popped.item])

    @rule(pick=st.integers(0, 50))
    def remove(self, pick: int) -> None:
        assert self.queue.remove(pick) == (pick in self.queued)
        self.queued.pop(pick, None)

    @rule()
    def flush(self) -> None:
        items = self.queue.flush()
        assert items == sorted(items, key=lambda item: (self.queued[item][1], item))
        self.remove_all(items)
        assert not self.queued, "item lost"

    @rule(seconds=st.floats(0.0, 0.2))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def size_and_counts_are_exact(self) -> None:
        assert len(self.queue) == len(self.queued) <= self.limit
        for caller in "abc":
            assert self.queue.queued(caller) == sum(e[0] == caller for e in self.queued.values())
        assert self.queue.cost == pytest.approx(sum(e[2] for e in self.queued.values()))


def test_the_queue_neither_loses_nor_duplicates_items_and_keeps_its_limit() -> None:
    run_state_machine_as_test(FairQueueMachine, settings=SETTINGS)  # type: ignore[no-untyped-call]


class NoEvictionQueue(FairQueue[int]):
    def _choose_victim(self, caller: str, cost: float) -> None:  # type: ignore[override]
        return None


class NoExpiryQueue(FairQueue[int]):
    def expire(self, now: float, *, expected_service: float) -> tuple[int, ...]:
        return ()


class DuplicatingQueue(FairQueue[int]):
    def flush(self) -> list[int]:
        return super().flush() * 2


@pytest.mark.parametrize("planted", [NoEvictionQueue, NoExpiryQueue, DuplicatingQueue])
def test_the_state_machine_detects_planted_faults(planted: type[FairQueue[int]]) -> None:
    machine = type("Planted", (FairQueueMachine,), {"queue_type": planted})
    with pytest.raises((AssertionError, KeyError, ExceptionGroup)):
        run_state_machine_as_test(machine, settings=PLANTED)  # type: ignore[no-untyped-call]
