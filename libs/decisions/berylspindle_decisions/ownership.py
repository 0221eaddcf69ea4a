"""Decide whether this VM may dispatch to a backend server now.

Terms:
  owner         the member of a data centre's view with the highest rendezvous weight for a server
  lease         the time on this VM's own monotonic clock until which its rights are valid
  confirmation  a guardian's statement that it knows the same epoch, in answer to a message of this
                VM; it renews the lease from the time that message was sent
  settle time   after a removal, the time until the removed member's rights have certainly expired

Flow: the control plane passes views, confirmations and the replies of earlier members; the data
plane calls `level` before every dispatch, in the same step that writes the request.

Views of the membership differ for a while, and an owner may be paused, isolated, or still running
after it was replaced. Without leases, a server in a cold start would get its cold limit from two
VMs at once and be overloaded. Two VMs never hold the right to one server, because:
  * A guardian stops confirming before it proposes a removal, and every guardian must confirm, so a
    removed member's lease ends within `lease` of the change of the view. A lease that was confirmed
    by the store ends within that time as well, since it counts from the send time of a read that
    still found the old epoch. A VM that adopts a view after an unsettled removal waits for
    `settle`, which exceeds `lease` by the drift of two clocks.
  * A member that joined takes servers from live members. It waits until each earlier member has
    acknowledged the new epoch, and for the settle time that the acknowledgement reports. An earlier
    member that never acknowledges is removed by its guardians, and the rule above applies.
  * Members that have not just joined gain servers through removals alone, since rendezvous hashing
    moves no other servers to them.
Limitation: if the VM pauses between the check and the write, the requests of that step are sent
even if the right has ended meanwhile.
"""

from __future__ import annotations

import enum
import math
from abc import ABC, abstractmethod
from typing import Final

import attrs

from berylspindle_decisions.rendezvous import owner_of
from berylspindle_decisions.views import GUARDIANS, guardians_of
from berylspindle_model.topology import View, Vm


class RightLevel(enum.StrEnum):
    """How much a VM may dispatch to a backend server.

    HELD: it is the only VM that may dispatch. DEGRADED: it is isolated and cannot renew its lease,
    so it uses warm servers only, with at most half their slots. NONE: it must not dispatch.
    """

    HELD = "held"
    DEGRADED = "degraded"
    NONE = "none"


class DispatchRights(ABC):
    """The rights that the data plane checks before it dispatches."""

    @abstractmethod
    def level(self, server_id: str, now: float) -> RightLevel:
        """Return the right to a backend server at this time of the monotonic clock."""

    @abstractmethod
    def usable_from(self, server_id: str) -> float:
        """Return the time from which an owned server may be used; infinity if not known."""


@attrs.frozen(kw_only=True)
class LeaseLimits:
    """Durations of the lease, in seconds.

    Attributes:
        lease: validity of a confirmation. Probes are sent once a second; at a packet loss of 20%,
            four in a row remain without an answer in 1.7% of cases, and the store confirms instead.
            A longer lease leaves the servers of a crashed VM without an owner for longer.
        settle: waiting time before taking over servers; longer than `lease` by a drift of 5%
            between two clocks and one timer step.
        ask_store: remaining lease below which the store is asked to confirm instead.
        degraded: validity of the degraded right of an isolated VM after a failed read of the store;
            longer than the time between two reads with their timeout.
        guardians: number of guardians of each member.
    """

    lease: float = 4.0
    settle: float = 4.4
    ask_store: float = 1.5
    degraded: float = 3.0
    guardians: int = GUARDIANS


_NEVER: Final = -math.inf


class Ownership(DispatchRights):
    """The rights of one VM in its data centre; every method is one step, without waiting."""

    def __init__(self, me: Vm, limits: LeaseLimits) -> None:
        self._me: Final = me
        self._limits: Final = limits
        self._view: View | None = None
        self._deadlines: dict[str, float] = {}
        self._resigned: set[str] = set()
        self._store_until = _NEVER
        self._degraded_until = _NEVER
        self._settle_at = _NEVER
        self._awaited: set[str] = set()
        self._released = False
        # Cached ownership by server in the current epoch; computing it takes a hash per member.
        self._owned: dict[str, bool] = {}
        self._usable: dict[str, float] = {}

    @property
    def view(self) -> View | None:
        """Return the view that the rights are based on."""
        return self._view

    @property
    def is_member(self) -> bool:
        """Return whether this VM is a member of that view."""
        return self._view is not None and self._view.member(self._me.id) is not None

    @property
    def lease_until(self) -> float:
        """Return the time at which the lease ends."""
        required = [until for name, until in self._deadlines.items() if name not in self._resigned]
        return max(self._store_until, min(required, default=_NEVER))

    @property
    def awaited_members(self) -> frozenset[str]:
        """Return the earlier members that haven't acknowledged the epoch of this VM's join."""
        return frozenset(self._awaited)

    def adopt(self, view: View, now: float) -> bool:
        """Adopt a view with a higher epoch; return False, without a change, for any other."""
        old = self._view
        if old is not None and view.epoch <= old.epoch:
            return False
        joined = view.joined_at(self._me.id)
        stayed = old is not None and joined is not None and joined <= old.epoch
        carried = self.lease_until if stayed else _NEVER
        self._usable = self._kept_usable(view) if stayed else {}
        self._view = view
        self._owned = {}
        self._reset_deadlines(view, carried)
        self._reset_settle_time(old, view, now)
        if not stayed:
            self._await_earlier(view, joined, now)
        return True

    def on_confirmation(self, guardian: str, epoch: int, sent_at: float) -> None:
        """Renew the lease from the send time of the message that a guardian has confirmed.

        A confirmation of another epoch is ignored: the guardian's view may be older, from before
        this VM lost servers, or newer, from after this VM was removed.
        """
        if self._view is None or epoch != self._view.epoch or guardian not in self._deadlines:
            return
        before = self.lease_until
        until = sent_at + self._limits.lease
        self._deadlines[guardian] = max(self._deadlines[guardian], until)
        if self.lease_until > before:
            self._degraded_until = _NEVER

    def on_resignation(self, guardian: str) -> None:
        """Stop requiring a guardian that leaves; it never proposes a removal after that."""
        self._resigned.add(guardian)

    def on_store_confirmation(self, epoch: int, sent_at: float) -> None:
        """Renew the lease from the send time of a read that found this epoch in the store."""
        if self._view is None or epoch != self._view.epoch or not self.is_member:
            return
        self._store_until = max(self._store_until, sent_at + self._limits.lease)
        self._degraded_until = _NEVER

    def on_store_failure(self, sent_at: float, now: float) -> None:
        """Record a failed read of the store, which shows isolation if sent after the lease ended.

        An expired lease alone doesn't show isolation: a VM that resumes after a pause has one too,
        and most likely was replaced during the pause. The degraded right therefore requires a read
        that was sent after the end of the lease and failed. The right ends soon after the last
        failure, so that a VM that was paused while isolated has to read again.
        """
        if sent_at > self.lease_until:
            self._degraded_until = now + self._limits.degraded

    def on_epoch_ack(
        self, member: str, epoch: int, remaining_settle_time: float, now: float
    ) -> None:
        """Record that a member knows this epoch, and its remaining settle time in seconds."""
        if self._view is None or member not in self._awaited:
            return
        joined = self._view.joined_at(self._me.id)
        if joined is None or epoch < joined:
            return
        self._awaited.discard(member)
        self._settle_at = max(self._settle_at, now + remaining_settle_time)

    def remaining_settle_time(self, now: float) -> float:
        """Return the remaining seconds until the rights of removed members have expired."""
        if self._awaited:
            return self._limits.settle
        return max(0.0, self._settle_at - now)

    def needs_store_confirmation(self, now: float) -> bool:
        """Return whether to ask the store for a confirmation, since a guardian's is missing."""
        return self.is_member and self.lease_until - now < self._limits.ask_store

    def release(self) -> None:
        """Release all rights permanently; called before this VM leaves its view."""
        self._released = True

    def owns(self, server_id: str) -> bool:
        """Return whether this VM is the owner of a server in the current view."""
        is_owner = self._owned.get(server_id)
        if is_owner is None:
            view = self._view
            is_member = view is not None and self.is_member
            is_owner = (
                is_member
                and view is not None
                and owner_of(server_id, view.members).id == self._me.id
            )
            self._owned[server_id] = is_owner
        return is_owner

    def usable_from(self, server_id: str) -> float:
        """Return the time from which an owned server may be used; infinity if not known."""
        if self._awaited or not self.owns(server_id):
            return math.inf
        return self._usable.get(server_id, self._settle_at)

    def level(self, server_id: str, now: float) -> RightLevel:
        """Return the right to a backend server at this time of the monotonic clock."""
        if self._released or not self.owns(server_id):
            return RightLevel.NONE
        usable = self.usable_from(server_id)
        if now < usable:
            return RightLevel.NONE
        if now < self.lease_until:
            return RightLevel.HELD
        # Isolated: continue with the servers that were usable during the lease, without later ones.
        if now < self._degraded_until and usable < self.lease_until:
            return RightLevel.DEGRADED
        return RightLevel.NONE

    def _kept_usable(self, view: View) -> dict[str, float]:
        # A server that this VM owned before and still owns needs no further wait.
        if self._awaited:
            return {}
        return {
            server: self._usable.get(server, self._settle_at)
            for server, owned in self._owned.items()
            if owned and owner_of(server, view.members).id == self._me.id
        }

    def _reset_deadlines(self, view: View, carried: float) -> None:
        # A new guardian starts with the current lease, which ends within `lease` by itself: the
        # guardian may propose a removal only after this VM has acknowledged the epoch.
        guardians = guardians_of(view, self._me.id, self._limits.guardians)
        old = self._deadlines if carried > _NEVER else {}
        members = guardians if self.is_member else ()
        self._deadlines = {vm.id: old.get(vm.id, carried) for vm in members}
        self._store_until = min(self._store_until, carried)
        self._degraded_until = _NEVER

    def _reset_settle_time(self, old: View | None, view: View, now: float) -> None:
        members = {vm.id for vm in view.members}
        # An awaited member that was removed can't report its settle time any more.
        is_incomplete = bool(self._awaited - members)
        if is_incomplete or view.unsettled > (old.epoch if old is not None else 0):
            self._settle_at = now + self._limits.settle
        self._awaited &= members

    def _await_earlier(self, view: View, joined: int | None, now: float) -> None:
        if joined is None:
            self._awaited = set()
            return
        earlier_members = {vm.id for vm in view.members if (view.joined_at(vm.id) or 0) < joined}
        self._awaited = earlier_members
        # Earlier members report how long to wait; without any, the full settle time applies.
        if earlier_members:
            self._settle_at = _NEVER
