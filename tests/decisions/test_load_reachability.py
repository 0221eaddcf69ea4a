"""Detection of isolation from other data centres by a VM's own attempts, probes and reports."""

from __future__ import annotations

from berylspindle_decisions.reachability import MIN_ATTEMPTS, UNREACHABLE_AFTER_S, Reachability


def record_attempts(reach: Reachability, start: float, end: float, *names: str) -> None:
    """Record ten attempts a second at each data centre."""
    now = start
    while now < end:
        for name in names:
            reach.on_attempt(now, name)
        now += 0.1


def test_a_vm_whose_attempts_at_other_data_centres_all_fail_is_isolated() -> None:
    """Guard against VMs of an isolated data centre that keep sending to unreachable replicas."""
    reach = Reachability("a")
    for name in "bcd":
        reach.on_contact(0.0, name)
    record_attempts(reach, 0.0, 0.35, "b", "c")
    assert not reach.is_isolated(0.35)
    record_attempts(reach, 0.4, 0.6, "b", "c")
    assert reach.is_isolated(0.5)
    # One contact with any other data centre ends it, even without an attempt there.
    reach.on_contact(0.55, "d")
    assert not reach.is_isolated(0.6)
    assert reach.is_unreachable(0.6, "b")


def test_one_unreachable_data_centre_does_not_isolate_the_vm() -> None:
    reach = Reachability("a")
    for tenth in range(20):
        now = tenth / 10
        reach.on_attempt(now, "b")
        reach.on_attempt(now, "c")
        reach.on_contact(now + 0.02, "c")
        assert not reach.is_isolated(now + 0.05)
    assert reach.is_unreachable(1.9, "b")
    assert not reach.is_unreachable(1.9, "c")


def test_rare_attempts_at_reachable_data_centres_do_not_count_as_isolation() -> None:
    """Guard against a VM that refuses callers because one other data centre is isolated.

    The VM has just started, prefers its own data centre, and has rare contacts with the others.
    """
    reach = Reachability("a")
    for name in "bd":
        reach.on_contact(0.0, name)
    for tenth in range(10, 60):
        now = tenth / 10
        reach.on_attempt(now, "c")
        if tenth % 15 == 0:
            reach.on_attempt(now, "b")
            reach.on_contact(now + 0.02, "b")
        assert not reach.is_isolated(now)


def test_the_only_other_data_centre_being_unreachable_means_isolation() -> None:
    reach = Reachability("a")
    reach.on_contact(0.0, "b")
    record_attempts(reach, 0.0, 1.0, "b")
    assert reach.is_isolated(1.0)


def test_a_slow_or_rarely_used_data_centre_is_not_unreachable() -> None:
    """Guard against a VM that refuses all callers for slow replicas or one lost packet."""
    reach = Reachability("a")
    for tenth in range(40):
        now = tenth / 10
        reach.on_attempt(now, "slow")
        reach.on_contact(now + 0.3, "slow")
    assert not reach.is_isolated(4.0)
    seldom = Reachability("a")
    for number in range(MIN_ATTEMPTS - 1):
        seldom.on_attempt(float(number), "b")
    assert not seldom.is_isolated(float(MIN_ATTEMPTS) + UNREACHABLE_AFTER_S)


def test_attempts_within_the_own_data_centre_do_not_count() -> None:
    reach = Reachability("a")
    record_attempts(reach, 0.0, 5.0, "a")
    assert not reach.is_isolated(5.0)
    assert reach.remote_data_centres == ()


def test_an_isolation_report_holds_until_the_next_contact() -> None:
    """Guard against VMs of an isolated data centre that alternate between ready and unready."""
    reach = Reachability("a")
    reach.on_contact(0.0, "b")
    reach.on_isolation_report(1.0, until=3.5)
    assert reach.is_isolated(1.0)
    assert reach.should_probe(1.0)
    reach.on_isolation_report(2.0, until=4.5)
    assert reach.is_isolated(4.4)
    reach.on_contact(4.4, "b")
    assert not reach.is_isolated(4.4)
    assert not reach.is_isolated(4.6)


def test_a_vm_with_contacts_ignores_an_isolation_report() -> None:
    """Guard against one VM with a broken link that makes its whole data centre unready."""
    reach = Reachability("a")
    reach.on_isolation_report(1.0, until=3.5)
    reach.on_contact(1.2, "b")
    for tenth in range(13, 60):
        reach.on_isolation_report(tenth / 10, until=tenth / 10 + 2.5)
        assert not reach.is_isolated(tenth / 10)
        assert reach.should_probe(tenth / 10)
    # The VM's own attempts still detect a later isolation.
    record_attempts(reach, 6.0, 6.6, "b", "c")
    assert reach.is_isolated(6.6)


def reach_with_probes(now: float, *names: str) -> Reachability:
    """Return a `Reachability` with one contact and then one probe of each data centre."""
    reach = Reachability("a")
    for name in names:
        reach.on_contact(now, name)
    for name in names:
        reach.on_probe(now + 0.1, name)
    return reach


def test_unanswered_probes_show_isolation_before_attempts_do() -> None:
    """Guard against detecting an isolation so late that callers are refused a second longer."""
    reach = reach_with_probes(1.0, "b", "c", "d")
    assert not reach.is_isolated(1.15)
    assert reach.is_isolated(1.21)
    assert not reach.is_unreachable(1.21, "b")
    reach.on_contact(1.22, "d")
    assert not reach.is_isolated(1.25)


def test_one_data_centre_with_unanswered_probes_is_no_isolation() -> None:
    reach = reach_with_probes(1.0, "b", "c", "d")
    reach.on_contact(1.11, "c")
    reach.on_contact(1.12, "d")
    assert not reach.is_isolated(1.5)


def test_unanswered_probes_are_ignored_before_the_first_contact() -> None:
    """Guard against VMs that refuse all callers after a power failure, before any peer runs."""
    reach = Reachability("a")
    for name in "bc":
        reach.on_probe(0.0, name)
    assert not reach.is_response_overdue(0.3)
    assert not reach.is_isolated(0.3)


def test_an_attempt_is_overdue_only_without_a_contact() -> None:
    reach = Reachability("a")
    reach.on_contact(0.0, "b")
    assert not reach.is_response_overdue(5.0)
    reach.on_attempt(5.0, "b")
    reach.on_attempt(5.01, "c")
    assert not reach.is_response_overdue(5.05)
    assert reach.is_response_overdue(5.1)
    reach.on_contact(5.1, "c")
    assert not reach.is_response_overdue(5.15)
    assert reach.has_unanswered_attempt
    reach.on_contact(5.2, "b")
    assert not reach.has_unanswered_attempt
