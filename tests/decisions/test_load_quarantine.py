"""Requests that crash backend servers: few servers lost, harmless requests refused only briefly."""

from __future__ import annotations

import attrs
import pytest
from crash_model import CrashModel
from hypothesis import given
from hypothesis import strategies as st

from berylspindle_decisions.quarantine import (
    FirstSeenPolicy,
    Quarantine,
    QuarantineLevel,
    QuarantineOptions,
    RunMode,
)
from berylspindle_model.errors import ErrorKind, Refusal, RunState

BAD, GOOD = "bad", "good"
SHARED = QuarantineOptions(first_weight=0.1, later_weight=0.3, same_server_weight=1.0)
"""Options where other VMs send to the same servers."""


def quarantine_after_strikes(now: float = 0.0) -> Quarantine:
    """Return a quarantine after BAD crashed ten servers in its first scatter-gather."""
    quarantine = Quarantine()
    for n in range(10):
        quarantine.on_connection_lost(now, BAD, f"s{n}", elapsed_ms=5)
    return quarantine


def refusal(verdict: RunMode | Refusal) -> Refusal:
    assert isinstance(verdict, Refusal)
    assert verdict.kind is ErrorKind.QUARANTINED
    return verdict


def test_a_request_that_crashes_servers_runs_on_one_more_and_then_nowhere() -> None:
    """Guard against a search that crashes each server that runs it, retried by its caller.

    The first scatter-gather crashes one replica of each shard, the canary one more; after that the
    search is refused, for longer each time.
    """
    quarantine = quarantine_after_strikes()
    assert quarantine.decide(3.0, BAD) is RunMode.CANARY
    quarantine.on_connection_lost(3.01, BAD, "t0", elapsed_ms=5)
    refusal(quarantine.decide(3.1, BAD))
    refusal(quarantine.decide(62.9, BAD))
    assert quarantine.decide(63.1, BAD) is RunMode.CANARY
    quarantine.on_connection_lost(63.2, BAD, "t1", elapsed_ms=5)
    refusal(quarantine.decide(180.0, BAD))
    assert quarantine.decide(184.0, BAD) is RunMode.CANARY


def test_a_suspect_has_one_canary_at_a_time() -> None:
    """Guard against a retry at once, whose second canary would crash another server."""
    quarantine = quarantine_after_strikes()
    assert quarantine.decide(3.0, BAD) is RunMode.CANARY
    assert refusal(quarantine.decide(3.5, BAD)).retry_after == 1500
    quarantine.on_inconclusive(BAD)
    assert quarantine.decide(3.6, BAD) is RunMode.CANARY
    assert (
        quarantine.decide(5.7, BAD) is RunMode.CANARY
    ), "a canary without an outcome must not block"


def test_a_request_that_was_only_in_flight_with_a_bad_one_is_cleared_by_its_canary() -> None:
    """Guard against refusing a harmless search that ran on the same ten servers as the bad one.

    It becomes a suspect too, runs as a canary, succeeds, and is cleared.
    """
    quarantine = quarantine_after_strikes()
    for n in range(10):
        quarantine.on_connection_lost(0.0, GOOD, f"s{n}", elapsed_ms=5, in_flight=2)
    assert quarantine.decide(1.0, GOOD) is RunMode.CANARY
    quarantine.on_success(1.1, GOOD)
    assert quarantine.decide(1.2, GOOD) is RunMode.PLAIN
    assert quarantine.level(1.2, BAD) is QuarantineLevel.SUSPECT


def test_strikes_count_less_the_more_was_in_flight() -> None:
    quarantine = quarantine_after_strikes()
    quarantine.on_connection_lost(3.0, BAD, "t0", elapsed_ms=5, in_flight=3)
    assert quarantine.level(3.0, BAD) is QuarantineLevel.SUSPECT
    quarantine.on_connection_lost(4.0, BAD, "t1", elapsed_ms=5, in_flight=3)
    assert quarantine.level(4.0, BAD) is QuarantineLevel.QUARANTINED


def test_strikes_at_two_vms_before_their_exchange_are_combined() -> None:
    """Guard against a retry that reaches another VM before the first VM's record does."""
    quarantine, peer = quarantine_after_strikes(), Quarantine()
    peer.on_connection_lost(0.05, BAD, "t0", elapsed_ms=5)
    quarantine.merge(peer.export(0.1), 0.1)
    assert quarantine.level(0.1, BAD) is QuarantineLevel.QUARANTINED
    together = quarantine_after_strikes()
    together.merge(quarantine_after_strikes().export(0.1), 0.1)
    assert together.level(0.1, BAD) is QuarantineLevel.SUSPECT


def test_repeated_crashes_of_one_server_do_not_quarantine_its_requests() -> None:
    quarantine = Quarantine()
    for n in range(5):
        quarantine.on_connection_lost(n * 3.0, GOOD, "s0", elapsed_ms=5)
    assert quarantine.level(15.0, GOOD) is QuarantineLevel.SUSPECT


def test_request_that_crashes_each_start_of_the_only_server_is_quarantined() -> None:
    """Guard against a request that goes on crashing servers which are all known to have crashed."""
    quarantine = Quarantine(SHARED)
    for start in range(2):
        quarantine.on_connection_lost(start * 4.0, BAD, "s0", start=start, elapsed_ms=5)
        assert quarantine.level(start * 4.0, BAD) is QuarantineLevel.SUSPECT
    quarantine.on_connection_lost(8.0, BAD, "s0", start=2, elapsed_ms=5)
    assert quarantine.level(8.0, BAD) is QuarantineLevel.QUARANTINED


def test_crashes_of_one_server_that_only_its_owner_sends_to_count_less() -> None:
    """Guard against refusing a harmless request whose server crashes by itself, and against a
    request that goes on crashing the only server of its shard."""
    quarantine = Quarantine()
    quarantine.on_connection_lost(0.0, BAD, "s0", start=1, elapsed_ms=5)
    quarantine.on_connection_lost(4.0, BAD, "s0", start=2, elapsed_ms=5)
    assert quarantine.level(4.0, BAD) is QuarantineLevel.SUSPECT
    quarantine.on_connection_lost(8.0, BAD, "s0", start=3, elapsed_ms=5)
    assert quarantine.level(8.0, BAD) is QuarantineLevel.QUARANTINED


def test_crash_before_the_new_start_is_announced_is_another_one() -> None:
    """Guard against a crash that is not counted since the replica's entry was still the old one."""
    quarantine = Quarantine(SHARED)
    for n in range(3):
        quarantine.on_connection_lost(n * 4.0, BAD, "s0", start=7, elapsed_ms=5)
    assert quarantine.level(8.0, BAD) is QuarantineLevel.QUARANTINED


def test_canaries_of_two_vms_at_known_servers_are_combined() -> None:
    """Guard against crashes at several VMs of which each lacks the others'."""
    vms = [Quarantine(SHARED) for _ in range(3)]
    vms[0].on_connection_lost(0.0, BAD, "s0", start=1, elapsed_ms=5)
    vms[0].on_connection_lost(0.0, BAD, "s1", start=1, elapsed_ms=5)
    for vm in vms[1:]:
        vm.merge(vms[0].export(0.1), 1.0)
    vms[1].on_connection_lost(4.0, BAD, "s0", start=2, elapsed_ms=5)
    vms[2].on_connection_lost(4.01, BAD, "s1", start=2, elapsed_ms=5)
    assert [vm.level(4.1, BAD) for vm in vms] == 3 * [QuarantineLevel.SUSPECT]
    vms[0].merge((*vms[2].export(4.1), *vms[1].export(4.1)), 5.0)
    assert vms[0].level(5.0, BAD) is QuarantineLevel.QUARANTINED


@pytest.mark.parametrize("delay_s", [0.0, 0.05, 2.0, 30.0])
def test_strikes_of_vms_that_did_not_know_of_each_other_are_told_apart_by_no_age(
    delay_s: float,
) -> None:
    """Guard against a harmless request that several VMs had at servers which crashed together.

    The age of a strike grows on the way between VMs, so that it looked later than it was.
    """
    vms = [Quarantine(SHARED) for _ in range(3)]
    for n, vm in enumerate(vms):
        vm.on_connection_lost(0.0, GOOD, f"s{n}", start=1, elapsed_ms=5)
    for vm in vms:
        for other in vms:
            vm.merge(other.export(0.1), 0.1 + delay_s)
        assert vm.level(0.1 + delay_s, GOOD) is QuarantineLevel.SUSPECT
        assert vm.decide(0.1 + delay_s, GOOD) is RunMode.CANARY


@given(
    strikes=st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.integers(1, 2), st.integers(1, 3)),
        min_size=1,
        max_size=6,
    ),
    order=st.permutations(range(3)),
)
def test_records_give_the_same_evidence_in_any_order(
    strikes: list[tuple[int, str, int, int]], order: list[int]
) -> None:
    """Guard against VMs that disagree since they received the records in different orders."""
    vms = [Quarantine() for _ in range(3)]
    for number, (vm, server, start, in_flight) in enumerate(strikes):
        vms[vm].on_connection_lost(
            number * 1.0, BAD, server, start=start, elapsed_ms=5, in_flight=in_flight
        )
    records = [vm.export(10.0) for vm in vms]
    evidence = []
    for arrivals in (order, range(3)):
        reader = Quarantine()
        for vm in (*arrivals, *arrivals):
            reader.merge(records[vm], 10.5)
        evidence.append({frozenset(record.crashes) for record in reader.export(10.5)})
    assert evidence[0] == evidence[1]


def test_success_at_one_vm_clears_a_request_that_another_one_quarantined() -> None:
    """Guard against a harmless request refused for a minute, which another VM has just run."""
    vms = [Quarantine(SHARED) for _ in range(2)]
    for vm in vms:
        vm.on_connection_lost(0.0, GOOD, "s0", start=1, elapsed_ms=5)
    for start in (2, 3):
        vms[0].on_connection_lost(start * 1.0, GOOD, "s0", start=start, elapsed_ms=5)
    assert vms[0].level(3.0, GOOD) is QuarantineLevel.QUARANTINED
    vms[1].on_success(3.0, GOOD)
    vms[0].merge(vms[1].export(3.1), 4.0)
    assert vms[0].level(4.0, GOOD) is QuarantineLevel.CLEARED


@pytest.mark.parametrize("replicas", [1, 2, 3])
@pytest.mark.parametrize("attempts", [1, 2])
def test_request_that_crashes_replicas_is_stopped_and_a_sound_one_is_not(
    replicas: int, attempts: int
) -> None:
    """Guard against crashes that are told apart by the replica's id alone, or by their age.

    The records of eight VMs take up to two seconds, and announcements of restarts 1.5 seconds.
    """
    for seed in range(20):
        model = CrashModel(replicas=replicas, attempts=attempts, seed=seed)
        model.play(92.0)
        assert len(model.crashes) >= 3
        assert model.late_retries <= 3, f"seed {seed}"
        assert not model.sound_quarantined, f"seed {seed}"


@pytest.mark.parametrize("replicas", [1, 2, 3])
def test_few_runs_crash_replicas_after_the_ends_of_quarantines(replicas: int) -> None:
    """Guard against a retry that crashes one more replica at another VM after each quarantine."""
    for seed in range(10):
        model = CrashModel(replicas=replicas, attempts=2, seed=seed)
        model.play(400.0)
        assert model.late_retries <= 3, f"seed {seed}"
        assert not model.sound_quarantined, f"seed {seed}"


def test_vms_end_a_quarantine_one_after_the_other() -> None:
    options = attrs.evolve(SHARED, end_spread_s=60.0)
    vms = [Quarantine(options, end_place=place) for place in (0.0, 0.5)]
    for start in (1, 2, 3):
        vms[0].on_connection_lost(start * 1.0, BAD, "s0", start=start, elapsed_ms=5)
    vms[1].merge(vms[0].export(3.0), 3.0)
    refusal(vms[1].decide(3.0, BAD))
    assert vms[0].decide(64.0, BAD) is RunMode.CANARY
    refusal(vms[1].decide(64.0, BAD))
    assert vms[1].decide(94.0, BAD) is RunMode.CANARY
    # The crash at the first VM to run it again is known before the second one ends its quarantine.
    vms[0].on_connection_lost(64.1, BAD, "s0", start=4, elapsed_ms=5)
    vms[1].merge(vms[0].export(64.2), 94.1)
    refusal(vms[1].decide(94.2, BAD))


def test_number_of_quarantines_in_a_record_is_bounded() -> None:
    """Guard against a record of another writer that ends the task which follows the store."""
    quarantine = quarantine_after_strikes()
    (record,) = quarantine.export(0.0)
    quarantine.merge((attrs.evolve(record, generation=2, times=10**9),), 0.0)
    quarantine.on_connection_lost(3.0, BAD, "t0", elapsed_ms=5)
    assert quarantine.level(3.0, BAD) is QuarantineLevel.QUARANTINED


def test_first_seen_requests_run_as_canaries_during_an_alert_only() -> None:
    quarantine = Quarantine()
    quarantine.on_success(0.0, "known")
    assert quarantine.decide(0.0, "new") is RunMode.PLAIN
    quarantine.on_connection_lost(1.0, BAD, "s0", elapsed_ms=5)
    assert quarantine.decide(2.0, "new") is RunMode.CANARY
    assert quarantine.decide(2.0, "known") is RunMode.PLAIN
    assert quarantine.decide(31.1, "new") is RunMode.PLAIN


@pytest.mark.parametrize(
    ("mode", "expected"),
    [(FirstSeenPolicy.NEVER, RunMode.PLAIN), (FirstSeenPolicy.ALWAYS, RunMode.CANARY)],
)
def test_the_canary_of_first_seen_requests_is_a_setting(
    mode: FirstSeenPolicy, expected: RunMode
) -> None:
    assert Quarantine(QuarantineOptions(first_seen=mode)).decide(0.0, "new") is expected


def test_records_reach_other_vms() -> None:
    """Guard against retries that reach other VMs."""
    quarantine, peer = quarantine_after_strikes(), Quarantine()
    assert peer.merge(quarantine.export(0.1), 0.1)
    assert not peer.merge(quarantine.export(0.2), 0.2), "known records must not be passed on again"
    assert peer.decide(0.3, BAD) is RunMode.CANARY
    peer.on_connection_lost(3.0, BAD, "t0", elapsed_ms=5)
    assert quarantine.merge(peer.export(3.1), 3.1)
    refusal(quarantine.decide(3.2, BAD))
    assert not peer.merge(
        quarantine_after_strikes().export(0.0), 3.2
    ), "an older generation replaced a newer one"


def test_a_canary_that_succeeded_clears_it_on_all_vms() -> None:
    quarantine, peer = quarantine_after_strikes(), Quarantine()
    peer.merge(quarantine.export(0.1), 0.1)
    peer.on_success(1.0, BAD)
    quarantine.merge(peer.export(1.1), 1.1)
    assert quarantine.level(1.2, BAD) is QuarantineLevel.CLEARED


def test_records_that_are_exchanged_repeatedly_still_expire() -> None:
    """Guard against records that never expire, as each exchange adds its transit time."""
    quarantine, peer = quarantine_after_strikes(), Quarantine()
    for n in range(299):
        peer.merge(quarantine.export(float(n)), n + 0.4)
        quarantine.merge(peer.export(n + 0.5), n + 0.9)
    assert quarantine.level(301.0, BAD) is QuarantineLevel.CLEARED
    assert peer.export(301.0) == ()


def test_the_number_of_records_is_bounded() -> None:
    quarantine = Quarantine(QuarantineOptions(max_records=10, max_known_good=10))
    for n in range(100):
        quarantine.on_connection_lost(0.0, f"bad-{n}", "s", elapsed_ms=5)
        quarantine.on_success(0.0, f"good-{n}")
    assert len(quarantine.export(0.0, limit=1000)) == 10
    assert quarantine.decide(0.0, "good-99") is RunMode.PLAIN
    assert quarantine.decide(0.0, "good-1") is RunMode.CANARY


def test_owners_refuse_a_second_scatter_gather_before_gossip_arrives() -> None:
    """Guard against a retry at an entry VM without the record, which sends it to all shards.

    The owners had the strikes and refuse it, so no further server is lost. Its canary may run.
    """
    owner, entry = quarantine_after_strikes(), Quarantine()
    assert entry.decide(0.2, BAD) is RunMode.PLAIN
    refused = owner.check_attempt(0.2, BAD, canary=False)
    assert refused is not None
    assert refusal(refused).run_state is RunState.NOT_RUN
    entry.on_suspected(0.2, BAD)
    assert entry.decide(0.3, BAD) is RunMode.CANARY
    assert owner.check_attempt(0.3, BAD, canary=True) is None
    owner.on_connection_lost(0.4, BAD, "t0", elapsed_ms=5)
    assert owner.check_attempt(0.5, BAD, canary=True) is not None
    assert owner.check_attempt(0.5, GOOD, canary=False) is None


def test_a_refused_suspect_is_not_quarantined_by_the_record_of_its_one_strike() -> None:
    """Guard against refusing a harmless search everywhere after a single strike.

    A server crashed by itself during the search. Its owner refuses the search of an entry VM
    without the record, and only then does this entry VM get the record of the one strike.
    """
    peer, entry = quarantine_after_strikes(), Quarantine()
    entry.on_suspected(0.5, BAD)
    entry.merge(peer.export(0.6), 0.6)
    assert entry.level(0.6, BAD) is QuarantineLevel.SUSPECT
