"""Plans of intents: their contents, the refusals, and that no plan applies to a later revision."""

from __future__ import annotations

import attrs
import pytest

from berylspindle_decisions.plans import MAX_INTENT_RECORDS, apply_plan, find_record, make_plan
from berylspindle_model import codec
from berylspindle_model.configuration import (
    Configuration,
    DataCentre,
    DataCentreState,
    Server,
    ServerState,
    Service,
)
from berylspindle_model.errors import ErrorKind, RefusalError
from berylspindle_model.intents import Intent, IntentKind, Plan


def server(name: str, centre: str, shard: str, service: str = "desk") -> Server:
    return Server(
        id=name,
        service=service,
        shard=shard,
        data_centre=centre,
        host="127.0.0.1",
        port=9000 + abs(hash_of(name)),
        slots=3,
        connections=30,
    )


def hash_of(name: str) -> int:
    return sum(ord(letter) * 7**place for place, letter in enumerate(name)) % 50_000


CURRENT = Configuration(
    revision=4,
    deployment="kurabito",
    data_centres=tuple(DataCentre(name=name, region="n") for name in "abc"),
    services=(Service(name="desk", epoch=1, shards=("0", "1")),),
    servers=tuple(server(f"{c}{shard}", c, shard) for c in "abc" for shard in "01"),
)
OUT_A = Intent(kind=IntentKind.TAKE_OUT, subject="a")
OUT_B = Intent(kind=IntentKind.TAKE_OUT, subject="b")


def refusal_of(plan: Plan, current: Configuration, *, override: bool = False) -> ErrorKind:
    with pytest.raises(RefusalError) as raised:
        apply_plan(current, plan, "ana", override=override)
    return raised.value.refusal.kind


def test_a_plan_shows_the_remaining_capacity_of_each_service_at_each_step() -> None:
    plan = make_plan(CURRENT, OUT_A, {"desk": 5.0})
    assert [(load.slots, load.covered, load.fewest) for load in plan.before] == [(18, 2, 3)]
    assert [step.services[0].slots for step in plan.steps] == [12, 12]
    assert plan.steps[0].services[0].fewest == 2
    assert plan.steps[0].services[0].busy == 5.0
    assert not plan.needs_override
    following = apply_plan(CURRENT, plan, "ana", override=False)
    assert following.revision == 5
    assert not following.is_in("a")
    assert find_record(following, plan.id) is not None


def test_a_return_starts_with_cold_slots() -> None:
    out = apply_plan(CURRENT, make_plan(CURRENT, OUT_A), "ana", override=False)
    plan = make_plan(out, Intent(kind=IntentKind.RETURN, subject="a"))
    assert [step.services[0].slots for step in plan.steps] == [14, 18]
    back = apply_plan(out, plan, "ana", override=False)
    assert back.data_centre("a") == DataCentre(name="a", region="n", state=DataCentreState.IN)


def test_the_last_replica_of_a_shard_needs_an_override() -> None:
    only = attrs.evolve(CURRENT, servers=tuple(s for s in CURRENT.servers if s.id in ("a0", "b1")))
    plan = make_plan(only, Intent(kind=IntentKind.RETIRE, subject="a0"))
    assert plan.needs_override
    assert "1 of 2 shards without a replica" in plan.breaks[0]
    assert refusal_of(plan, only) is ErrorKind.UNSAFE_PLAN
    forced = apply_plan(only, plan, "ana", override=True)
    retired = forced.server("a0")
    assert retired is not None
    assert retired.state is ServerState.RETIRED


def test_removing_more_capacity_than_remains_needs_an_override() -> None:
    one_left = apply_plan(CURRENT, make_plan(CURRENT, OUT_A), "ana", override=False)
    assert not make_plan(one_left, OUT_B).needs_override
    assert make_plan(one_left, OUT_B, {"desk": 9.0}).needs_override
    big = attrs.evolve(
        CURRENT,
        servers=tuple(
            attrs.evolve(s, slots=20) if s.data_centre == "a" else s for s in CURRENT.servers
        ),
    )
    assert "takes 40 slots away and leaves 12" in make_plan(big, OUT_A).breaks[0]


def test_of_two_operators_with_safe_plans_the_second_is_refused() -> None:
    """Guard against two operators who take out one data centre each and leave a service empty.

    Both plans have the same base revision and are safe by themselves; the first confirmation makes
    the second plan stale.
    """
    first, second = make_plan(CURRENT, OUT_A), make_plan(CURRENT, OUT_B)
    following = apply_plan(CURRENT, first, "ana", override=False)
    assert refusal_of(second, following, override=True) is ErrorKind.STALE_PLAN
    with pytest.raises(RefusalError, match="ana: take_out a at 5"):
        apply_plan(following, second, "ben", override=False)


def test_a_tampered_plan_is_refused() -> None:
    plan = make_plan(CURRENT, OUT_A)
    forged = attrs.evolve(plan, intent=OUT_B)
    assert refusal_of(forged, CURRENT) is ErrorKind.STALE_PLAN
    fewer = attrs.evolve(plan, steps=plan.steps[:1])
    assert refusal_of(fewer, CURRENT) is ErrorKind.STALE_PLAN


def test_a_plan_round_trips_through_json() -> None:
    service = Service(name="new", epoch=1, shards=("0",))
    intent = Intent(
        kind=IntentKind.STAND_UP,
        subject="new",
        service=service,
        servers=(server("n0", "a", "0", "new"),),
    )
    plan = make_plan(CURRENT, intent)
    read = codec.from_json(codec.to_json(plan), Plan)
    assert read == plan
    following = apply_plan(CURRENT, read, "ana", override=False)
    assert following.service("new") == service
    assert [step.services[0].slots for step in plan.steps] == [1, 3]


@pytest.mark.parametrize(
    ("intent", "kind"),
    [
        (Intent(kind=IntentKind.TAKE_OUT, subject="x"), ErrorKind.BAD_REQUEST),
        (Intent(kind=IntentKind.RETURN, subject="a"), ErrorKind.BAD_REQUEST),
        (Intent(kind=IntentKind.RETIRE, subject="x"), ErrorKind.BAD_REQUEST),
        (Intent(kind=IntentKind.STAND_UP, subject="x"), ErrorKind.BAD_REQUEST),
        (Intent(kind=IntentKind.REPLACE, subject="x"), ErrorKind.BAD_REQUEST),
        (
            Intent(
                kind=IntentKind.STAND_UP,
                subject="new",
                service=Service(name="new", epoch=1, shards=("0",)),
            ),
            ErrorKind.INVALID_CONFIGURATION,
        ),
    ],
)
def test_an_invalid_intent_is_refused(intent: Intent, kind: ErrorKind) -> None:
    with pytest.raises(RefusalError) as raised:
        make_plan(CURRENT, intent)
    assert raised.value.refusal.kind is kind


def test_a_restore_keeps_the_records_and_the_revision_grows() -> None:
    changed = apply_plan(CURRENT, make_plan(CURRENT, OUT_A), "ana", override=False)
    restore = Intent(kind=IntentKind.REPLACE, subject="kurabito", configuration=CURRENT)
    following = apply_plan(changed, make_plan(changed, restore), "ana", override=False)
    assert following.revision == 6
    assert following.is_in("a")
    assert [record.kind for record in following.intents] == ["take_out", "replace"]


def test_only_the_latest_records_are_kept() -> None:
    current = CURRENT
    for step in range(MAX_INTENT_RECORDS + 5):
        kind = IntentKind.RETURN if step % 2 else IntentKind.TAKE_OUT
        plan = make_plan(current, Intent(kind=kind, subject="a"))
        current = apply_plan(current, plan, "ana", override=False)
    assert len(current.intents) == MAX_INTENT_RECORDS
    assert current.intents[-1].revision == current.revision
