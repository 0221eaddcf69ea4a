"""Detection of isolation from other data centres by a VM's own attempts, probes and reports."""

from __future__ import annotations

from berylspindle_decisions.reach import TRIES, UNREACHABLE_AFTER_S, Reach


def record_attempts(reach: Reach, start: float, end: float, *names: str) -> None:
    """Record ten attempts a second at each data centre."""
    now = start
    while now < end:
        for name in names:
            reach.tried(now, name)
        now += 0.1


def test_a_vm_whose_attempts_at_other_data_centres_all_fail_is_isolated() -> None:
    """Guards against VMs of an isolated data centre that keep sending to unreachable replicas."""
    reach = Reach("a")
    for name in "bcd":
        reach.heard(0.0, name)
    record_attempts(reach, 0.0, 0.35, "b", "c")
    assert not reach.is_cut_off(0.35)
    record_attempts(reach, 0.4, 0.6, "b", "c")
    assert reach.is_cut_off(0.5)
    # One contact with any other data centre ends it, even without an attempt there.
    reach.heard(0.55, "d")
    assert not reach.is_cut_off(0.6)
    assert reach.is_dark(0.6, "b")


def test_one_unreachable_data_centre_does_not_isolate_the_vm() -> None:
    reach = Reach("a")
    for tenth in range(20):
        now = tenth / 10
        reach.tried(now, "b")
        reach.tried(now, "c")
        reach.heard(now + 0.02, "c")
        assert not reach.is_cut_off(now + 0.05)
    assert reach.is_dark(1.9, "b")
    assert not reach.is_dark(1.9, "c")


def test_rare_attempts_at_reachable_data_centres_do_not_count_as_isolation() -> None:
    """Guards against a VM that refuses callers because one other data centre is isolated.

    The VM has just started, prefers its own data centre, and has rare contacts with the others.
    """
    reach = Reach("a")
    for name in "bd":
        reach.heard(0.0, name)
    for tenth in range(10, 60):
        now = tenth / 10
        reach.tried(now, "c")
        if tenth % 15 == 0:
            reach.tried(now, "b")
            reach.heard(now + 0.02, "b")
        assert not reach.is_cut_off(now)


def test_the_only_other_data_centre_being_unreachable_means_isolation() -> None:
    reach = Reach("a")
    reach.heard(0.0, "b")
    record_attempts(reach, 0.0, 1.0, "b")
    assert reach.is_cut_off(1.0)


def test_a_slow_or_rarely_used_data_centre_is_not_unreachable() -> None:
    """Guards against a VM that refuses all callers for slow replicas or one lost packet."""
    reach = Reach("a")
    for tenth in range(40):
        now = tenth / 10
        reach.tried(now, "slow")
        reach.heard(now + 0.3, "slow")
    assert not reach.is_cut_off(4.0)
    seldom = Reach("a")
    for number in range(TRIES - 1):
        seldom.tried(float(number), "b")
    assert not seldom.is_cut_off(float(TRIES) + UNREACHABLE_AFTER_S)


def test_attempts_within_the_own_data_centre_do_not_count() -> None:
    reach = Reach("a")
    record_attempts(reach, 0.0, 5.0, "a")
    assert not reach.is_cut_off(5.0)
    assert reach.others == ()


def test_an_isolation_report_holds_until_the_next_contact() -> None:
    """Guards against VMs of an isolated data centre that alternate between ready and unready."""
    reach = Reach("a")
    reach.heard(0.0, "b")
    reach.suspect(1.0, until=3.5)
    assert reach.is_cut_off(1.0)
    assert reach.should_probe(1.0)
    reach.suspect(2.0, until=4.5)
    assert reach.is_cut_off(4.4)
    reach.heard(4.4, "b")
    assert not reach.is_cut_off(4.4)
    assert not reach.is_cut_off(4.6)


def test_a_vm_with_contacts_ignores_an_isolation_report() -> None:
    """Guards against one VM with a broken link that makes its whole data centre unready."""
    reach = Reach("a")
    reach.suspect(1.0, until=3.5)
    reach.heard(1.2, "b")
    for tenth in range(13, 60):
        reach.suspect(tenth / 10, until=tenth / 10 + 2.5)
        assert not reach.is_cut_off(tenth / 10)
        assert reach.should_probe(tenth / 10)
    # The VM's own attempts still detect a later isolation.
    record_attempts(reach, 6.0, 6.6, "b", "c")
    assert reach.is_cut_off(6.6)


def reach_with_probes(now: float, *names: str) -> Reach:
    """Return a `Reach` with one contact and then one probe of each data centre."""
    reach = Reach("a")
    for name in names:
        reach.heard(now, name)
    for name in names:
        reach.probed(now + 0.1, name)
    return reach


def test_unanswered_probes_show_isolation_before_attempts_do() -> None:
    """Guards against detecting an isolation so late that callers are refused a second longer."""
    reach = reach_with_probes(1.0, "b", "c", "d")
    assert not reach.is_cut_off(1.15)
    assert reach.is_cut_off(1.21)
    assert not reach.is_dark(1.21, "b")
    reach.heard(1.22, "d")
    assert not reach.is_cut_off(1.25)


def test_one_data_centre_with_unanswered_probes_is_no_isolation() -> None:
    reach = reach_with_probes(1.0, "b", "c", "d")
    reach.heard(1.11, "c")
    reach.heard(1.12, "d")
    assert not reach.is_cut_off(1.5)


def test_unanswered_probes_are_ignored_before_the_first_contact() -> None:
    """Guards against VMs that refuse all callers after a power failure: no peer listens yet."""
    reach = Reach("a")
    for name in "bc":
        reach.probed(0.0, name)
    assert not reach.is_quiet(0.3)
    assert not reach.is_cut_off(0.3)


def test_an_attempt_is_overdue_only_without_a_contact() -> None:
    reach = Reach("a")
    reach.heard(0.0, "b")
    assert not reach.is_quiet(5.0)
    reach.tried(5.0, "b")
    reach.tried(5.01, "c")
    assert not reach.is_quiet(5.05)
    assert reach.is_quiet(5.1)
    reach.heard(5.1, "c")
    assert not reach.is_quiet(5.15)
    assert reach.is_waiting
    reach.heard(5.2, "b")
    assert not reach.is_waiting
