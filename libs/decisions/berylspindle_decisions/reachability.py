"""Track the reachability of other data centres, and detect isolation from all of them.

In a network partition a data centre can be isolated for some seconds while callers still reach its
VMs. A quarter of the shards may have no replica in it. VMs that stayed ready would send
sub-requests to unreachable replicas until the callers' deadlines; once all of them are unready, the
load balancer sends callers to another data centre.

Terms:
  contact      a reply or a new connection of a replica or VM of a data centre
  unreachable  a data centre that left attempts unanswered for some time, without a contact since
  unanswered   a data centre whose VMs were probed, without an answer or another contact since
  overdue      a late attempt at another data centre, without a contact from any of them since
  isolated     this data centre, while two others (or the only other one) are unreachable or
               unanswered and there is no recent contact from any other

Flow: `on_attempt`, `on_probe` and `on_contact` record each attempt, probe and contact;
`is_unreachable` and `is_isolated` are read before each choice of replica and by the readiness
check. While a response is overdue (`is_response_overdue`), the VM probes the other data centres.
VMs answer probes within milliseconds whatever the load of their replicas, so unanswered probes
count after `ISOLATED_AFTER_S` in place of `UNREACHABLE_AFTER_S`. If a VM of the same data centre
reports isolation (`on_isolation_report`), this VM counts as isolated until its next contact, and
probes the other data centres while `should_probe` returns True.

Guards: a report ends at the next contact of this VM, when the report expires, or when the VM that
sent it clears it (`clear_isolation_report`). The mirrors of other VMs don't end a report, because
some VMs of an isolated data centre haven't detected the isolation yet. If their mirrors ended the
report, VMs would alternate between ready and unready each second, and the load balancer, which
diverts callers only when all VMs are unready, would never do so. A VM without any contact since its
start ignores unanswered probes: after a power failure its peers have not started either.

Thresholds: `UNREACHABLE_AFTER_S` is over twice the length of a replica's pause, and a data centre
whose replicas are all ten times as slow as usual still answers within that time. `MIN_ATTEMPTS` of
3 tolerates a single lost packet or one crashed replica. A load balancer checks every second and
acts on two failed checks; a false detection ends at the next contact, before the second check.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

UNREACHABLE_AFTER_S: Final = 0.4
MIN_ATTEMPTS: Final = 3

OVERDUE_AFTER_S: Final = 0.08
"""Seconds without a contact after which an attempt is overdue; most attempts take half of it."""

PROBE_TIMEOUT_S: Final = 0.1
ISOLATED_AFTER_S: Final = 0.18
"""Seconds after which a probe counts as unanswered, and seconds without a contact after which
unanswered probes show isolation."""


@attrs.define
class _DataCentre:
    last_contact_at: float = -math.inf
    first_attempt_at: float = math.inf
    attempts: int = 0
    first_probe_at: float = math.inf


class Reachability:
    """Reachability of other data centres from one VM; times are in seconds of its clock."""

    def __init__(self, own: str) -> None:
        self._own: Final = own
        self._remotes: dict[str, _DataCentre] = {}
        self._last_contact_at = -math.inf
        self._reported_since = -math.inf
        self._reported_until = -math.inf

    def on_attempt(self, now: float, data_centre: str) -> None:
        """Record an attempt at a replica or VM of a data centre."""
        if data_centre == self._own:
            return
        remote = self._remotes.setdefault(data_centre, _DataCentre())
        if not remote.attempts:
            remote.first_attempt_at = now
        remote.attempts += 1

    def on_probe(self, now: float, data_centre: str) -> None:
        """Record a probe of VMs of a data centre."""
        self.on_attempt(now, data_centre)
        remote = self._remotes[data_centre]
        remote.first_probe_at = min(remote.first_probe_at, now)

    def on_contact(self, now: float, data_centre: str) -> None:
        """Record a contact: a reply or a new connection from a data centre."""
        if data_centre == self._own:
            return
        remote = self._remotes.setdefault(data_centre, _DataCentre())
        remote.last_contact_at = self._last_contact_at = now
        remote.attempts = 0
        remote.first_attempt_at = remote.first_probe_at = math.inf

    @property
    def has_unanswered_attempt(self) -> bool:
        """Return whether an attempt at another data centre is unanswered."""
        return any(one.attempts for one in self._remotes.values())

    def is_response_overdue(self, now: float) -> bool:
        """Return whether an attempt is unanswered for `OVERDUE_AFTER_S` without any contact."""
        since = min((one.first_attempt_at for one in self._remotes.values()), default=math.inf)
        return (
            math.isfinite(self._last_contact_at)
            and now - max(since, self._last_contact_at) >= OVERDUE_AFTER_S
        )

    def is_unreachable(self, now: float, data_centre: str) -> bool:
        """Return whether a data centre has left attempts unanswered for `UNREACHABLE_AFTER_S`."""
        remote = self._remotes.get(data_centre)
        if remote is None:
            return False
        return (
            remote.attempts >= MIN_ATTEMPTS and now - remote.first_attempt_at >= UNREACHABLE_AFTER_S
        )

    def had_contact_since(self, data_centre: str, at: float) -> bool:
        """Return whether there was a contact since the time `at`; always True for the own one."""
        if data_centre == self._own:
            return True
        remote = self._remotes.get(data_centre)
        return remote is not None and remote.last_contact_at >= at

    def on_isolation_report(self, now: float, *, until: float) -> None:
        """Record that another VM of the own data centre reports isolation, valid until `until`."""
        if now >= self._reported_until:
            self._reported_since = now
        self._reported_until = max(self._reported_until, until)

    def clear_isolation_report(self) -> None:
        """Clear the report: the VM that sent it reaches other data centres again."""
        self._reported_until = -math.inf

    def should_probe(self, now: float) -> bool:
        """Return whether to probe other data centres."""
        return now < self._reported_until or self._has_own_evidence(now)

    def is_isolated(self, now: float) -> bool:
        """Return whether this VM is isolated, by its own evidence or by another VM's report."""
        reported = self._last_contact_at < self._reported_since and now < self._reported_until
        return reported or self._has_own_evidence(now)

    def _has_own_evidence(self, now: float) -> bool:
        # A single unreachable data centre may itself be the isolated one, while attempts at the
        # others are too rare to give a recent contact.
        required = min(2, max(1, len(self._remotes)))
        since_contact = now - self._last_contact_at
        unreachable = (self.is_unreachable(now, name) for name in self._remotes)
        if since_contact >= UNREACHABLE_AFTER_S and sum(unreachable) >= required:
            return True
        unanswered = (now - one.first_probe_at >= PROBE_TIMEOUT_S for one in self._remotes.values())
        return ISOLATED_AFTER_S <= since_contact < math.inf and sum(unanswered) >= required

    @property
    def remote_data_centres(self) -> tuple[str, ...]:
        """Return the other data centres with any attempt or contact so far."""
        return tuple(self._remotes)
