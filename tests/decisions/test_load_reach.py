"""Whether a VM is cut off from other data centres, told from its own attempts."""

from __future__ import annotations

from berylspindle_decisions.reach import DARK_AFTER, TRIES, Reach


def trying(reach: Reach, start: float, end: float, *names: str) -> None:
    """Try each data centre ten times a second."""
    now = start
    while now < end:
        for name in names:
            reach.tried(now, name)
        now += 0.1


def test_a_vm_whose_attempts_elsewhere_all_go_unheard_is_cut_off() -> None:
    """A data centre is cut off; its VMs go on sending to replicas that they can't reach."""
    reach = Reach("a")
    for name in "bcd":
        reach.heard(0.0, name)
    trying(reach, 0.0, 0.35, "b", "c")
    assert not reach.is_cut_off(0.35)
    trying(reach, 0.4, 0.6, "b", "c")
    assert reach.is_cut_off(0.5)
    # One answer from anywhere else ends it, also from where nothing was tried.
    reach.heard(0.55, "d")
    assert not reach.is_cut_off(0.6)
    assert reach.is_dark(0.6, "b")


def test_one_data_centre_that_is_gone_is_dark_and_the_vm_is_not_cut_off() -> None:
    reach = Reach("a")
    for tenth in range(20):
        now = tenth / 10
        reach.tried(now, "b")
        reach.tried(now, "c")
        reach.heard(now + 0.02, "c")
        assert not reach.is_cut_off(now + 0.05)
    assert reach.is_dark(1.9, "b")
    assert not reach.is_dark(1.9, "c")


def test_a_vm_with_little_to_do_elsewhere_is_not_cut_off_by_the_cut_of_another() -> None:
    """A VM turns its callers away since one data centre is cut off and it asks no other just then.

    It has just started, prefers its own data centre, and hears from one other now and then.
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


def test_a_vm_that_knows_one_other_data_centre_is_cut_off_with_that() -> None:
    reach = Reach("a")
    reach.heard(0.0, "b")
    trying(reach, 0.0, 1.0, "b")
    assert reach.is_cut_off(1.0)


def test_a_slow_or_seldom_tried_data_centre_is_not_dark() -> None:
    """Replicas ten times as slow, or one lost packet, make a VM turn all its callers away."""
    reach = Reach("a")
    for tenth in range(40):
        now = tenth / 10
        reach.tried(now, "slow")
        reach.heard(now + 0.3, "slow")
    assert not reach.is_cut_off(4.0)
    seldom = Reach("a")
    for number in range(TRIES - 1):
        seldom.tried(float(number), "b")
    assert not seldom.is_cut_off(float(TRIES) + DARK_AFTER)


def test_nothing_of_the_own_data_centre_counts() -> None:
    reach = Reach("a")
    trying(reach, 0.0, 5.0, "a")
    assert not reach.is_cut_off(5.0)
    assert reach.others == ()


def test_a_suspicion_holds_until_another_data_centre_is_heard() -> None:
    """Guards against VMs of a cut off data centre that are ready and unready by turns."""
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


def test_a_vm_that_hears_others_is_not_cut_off_by_the_word_of_one_that_does_not() -> None:
    """Guards against one VM with a broken link that takes its whole data centre out."""
    reach = Reach("a")
    reach.suspect(1.0, until=3.5)
    reach.heard(1.2, "b")
    for tenth in range(13, 60):
        reach.suspect(tenth / 10, until=tenth / 10 + 2.5)
        assert not reach.is_cut_off(tenth / 10)
        assert reach.should_probe(tenth / 10)
    # The probes' own evidence still finds a cut that comes later.
    trying(reach, 6.0, 6.6, "b", "c")
    assert reach.is_cut_off(6.6)


def probed_reach(now: float, *names: str) -> Reach:
    """Return a reach that has heard each data centre and then probed them once."""
    reach = Reach("a")
    for name in names:
        reach.heard(now, name)
    for name in names:
        reach.probed(now + 0.1, name)
    return reach


def test_silent_probes_show_a_cut_before_attempts_do() -> None:
    """Guards against callers of a cut off data centre who are refused for a second more."""
    reach = probed_reach(1.0, "b", "c", "d")
    assert not reach.is_cut_off(1.15)
    assert reach.is_cut_off(1.21)
    assert not reach.is_dark(1.21, "b")
    reach.heard(1.22, "d")
    assert not reach.is_cut_off(1.25)


def test_one_silent_data_centre_of_several_is_no_cut() -> None:
    reach = probed_reach(1.0, "b", "c", "d")
    reach.heard(1.11, "c")
    reach.heard(1.12, "d")
    assert not reach.is_cut_off(1.5)


def test_a_vm_that_has_heard_nothing_since_its_start_does_not_trust_probes() -> None:
    """Guards against VMs that refuse all callers after a loss of power: no peer listens yet."""
    reach = Reach("a")
    for name in "bc":
        reach.probed(0.0, name)
    assert not reach.is_quiet(0.3)
    assert not reach.is_cut_off(0.3)


def test_an_attempt_elsewhere_is_overdue_only_while_nothing_is_heard() -> None:
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
