"""Hedges and retries: within their budgets, and none where they would do harm."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from berylspindle_decisions.budget import (
    BudgetOptions,
    ExtraBudget,
    RequestRetries,
    RetryBudget,
    RetryClass,
    RetryPolicy,
    retry_class,
)
from berylspindle_decisions.hedging import HedgeOptions, HedgePolicy, HedgeVerdict
from berylspindle_model.errors import ANSWERS, ErrorKind, RunState


def observed_policy(slow_share: float = 0.0, queued_ms: float = 0.0) -> HedgePolicy:
    """Return a policy that has observed answers of 4 to 6 ms, and some of 100 ms."""
    policy = HedgePolicy()
    for n in range(1200):
        policy.on_first_attempt()
        slow = slow_share > 0 and n % int(1 / slow_share) == 0
        policy.observe(n * 0.01, 100.0 if slow else 4.0 + n % 20 / 10, queued_ms=queued_ms)
    return policy


def ask(policy: HedgePolicy, elapsed_ms: float, **known: bool) -> HedgeVerdict:
    facts = {"repeatable": True, **known}
    return policy.decide(elapsed_ms=elapsed_ms, left_ms=100.0, **facts)


def test_a_hedge_starts_after_a_high_quantile_of_the_latency() -> None:
    policy = observed_policy()
    assert ask(policy, 4.0) is HedgeVerdict.TOO_EARLY
    assert ask(policy, 7.0) is HedgeVerdict.GO
    assert policy.budget.spent == 1


def test_many_stragglers_do_not_raise_the_delay_to_their_latency() -> None:
    """Guard against a hedge delay as long as the latency of stragglers, 100 ms here.

    A tenth of all answers are stragglers, more than the budget covers, so the quantile that fits
    the budget lies among them.
    """
    assert observed_policy(slow_share=0.1).delay_ms <= 25.0


def test_a_saturated_service_is_not_hedged() -> None:
    """Guard against hedges that add load while every backend server is slow under load.

    None start when a fifth exceeds the delay or most of the latency is queueing.
    """
    policy = observed_policy()
    for n in range(100):
        policy.observe(12.0 + n * 0.01, 40.0)
    assert ask(policy, 50.0) is HedgeVerdict.SATURATED
    assert ask(observed_policy(queued_ms=3.0), 50.0) is HedgeVerdict.SATURATED
    assert ask(observed_policy(queued_ms=1.0), 50.0) is HedgeVerdict.GO


def test_requests_that_are_not_idempotent_or_may_crash_servers_are_never_hedged() -> None:
    policy = observed_policy()
    assert ask(policy, 50.0, repeatable=False) is HedgeVerdict.NOT_REPEATABLE
    assert ask(policy, 50.0, connection_lost=True) is HedgeVerdict.CONNECTION_LOST
    assert policy.budget.spent == 0


def test_cancelled_first_attempts_keep_the_delay_from_shrinking() -> None:
    """Guard against a delay that shrinks to the latency of fast attempts, with ever more hedges.

    A first attempt that is cancelled when its hedge answers has no full latency; if it were
    ignored, only fast attempts would count.
    """
    policy = HedgePolicy()
    policy.on_first_attempt(200)
    for n in range(1000):
        if n % 50 == 0:
            policy.observe_cancelled(n * 0.01, 30.0)
        else:
            policy.observe(n * 0.01, 5.0)
    assert policy.delay_ms == pytest.approx(5.0, abs=0.1)
    for n in range(600):
        if n % 10 == 0:
            policy.observe_cancelled(10 + n * 0.01, 30.0)
        else:
            policy.observe(10 + n * 0.01, 5.0)
    assert policy.delay_ms == pytest.approx(20.0, abs=0.2)


def test_with_few_tokens_left_only_the_slowest_are_hedged() -> None:
    policy = observed_policy()
    before = policy.delay_ms
    while policy.budget.take():
        pass
    assert before * 1.7 < policy.delay_ms <= before * 2
    assert ask(policy, 50.0) is HedgeVerdict.NO_BUDGET


def test_without_observations_no_hedge_starts_before_the_cold_delay() -> None:
    policy = HedgePolicy(HedgeOptions(cold_delay_ms=50.0))
    policy.on_first_attempt(200)
    assert ask(policy, 49.0) is HedgeVerdict.TOO_EARLY
    assert policy.decide(elapsed_ms=60, left_ms=1, repeatable=True) is HedgeVerdict.TOO_LATE


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(st.lists(st.booleans(), max_size=400), st.sampled_from([0.0, 0.05, 0.5]))
def test_additional_attempts_never_exceed_their_share(steps: list[bool], share: float) -> None:
    budget = ExtraBudget(BudgetOptions(share=share, reserve=3, max_tokens=20))
    taken = 0
    for is_first in steps:
        if is_first:
            budget.on_first_attempt()
        else:
            taken += budget.take()
        assert budget.spent == taken <= 3 + share * budget.first_attempts + 1e-9


def test_a_wave_of_failures_is_retried_within_the_budget() -> None:
    """Guard against retries that double the load during an overload.

    All servers shed load, a thousand sub-requests fail, and each could be retried.
    """
    budget = RetryBudget(BudgetOptions(share=0.1, reserve=10))
    policy = RetryPolicy(budget)
    allowed = 0
    for _ in range(1000):
        budget.on_first_attempt()
        allowed += decide(policy, RequestRetries(), ErrorKind.SERVER_SHED) is RetryClass.BUDGETED
    assert allowed == budget.spent <= 110


def decide(
    policy: RetryPolicy, request: RequestRetries, kind: ErrorKind, shard: str = "0"
) -> RetryClass:
    return policy.decide(
        request,
        shard=shard,
        kind=kind,
        run=ANSWERS[kind].run,
        repeatable=True,
        left_ms=100,
        expected_ms=5,
    )


def test_reroutes_and_retries_of_one_request_are_limited() -> None:
    policy, request = RetryPolicy(RetryBudget()), RequestRetries()
    reroutes = [decide(policy, request, ErrorKind.NOT_OWNER) for _ in range(4)]
    assert reroutes == [RetryClass.FREE] * 3 + [RetryClass.NEVER]
    retries = [decide(policy, request, ErrorKind.BAD_REPLY, f"{n}") for n in range(8)]
    assert retries.count(RetryClass.BUDGETED) == request.total == 5
    assert decide(policy, RequestRetries(), ErrorKind.BAD_REPLY, "x") is RetryClass.BUDGETED


@pytest.mark.parametrize("kind", list(ErrorKind))
@pytest.mark.parametrize("run", list(RunState))
def test_what_may_have_run_and_is_not_idempotent_is_never_retried(
    kind: ErrorKind, run: RunState
) -> None:
    retry = retry_class(kind, run, repeatable=False)
    assert retry is RetryClass.NEVER or run is RunState.NOT_RUN
    assert retry_class(kind, run, repeatable=True) is not RetryClass.FREE or (
        run is RunState.NOT_RUN
    )


def test_after_a_lost_connection_a_request_continues_only_as_a_canary() -> None:
    kind = ErrorKind.CONNECTION_LOST
    assert retry_class(kind, RunState.MAY_HAVE_RUN, repeatable=True) is RetryClass.CANARY
    assert retry_class(kind, RunState.NOT_RUN, repeatable=True) is RetryClass.FREE
