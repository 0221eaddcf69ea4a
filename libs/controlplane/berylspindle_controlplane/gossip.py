"""Gossip protocol for membership, dispatch rights, views and the configuration.

Terms:
  news     a datagram that sends a change at once to a few random VMs
  digest   a compact summary of a VM's state; every probe carries one, so that lost news is detected
  pull     a call that fetches what is missing according to a digest

Flow: `on_datagram` and `tick` run the failure detector and report the required actions through
`GossipSink`: datagrams to send, pulls and removals to make, states to publish. No method blocks,
and the time is an argument, so that tests can run many instances on one simulated clock.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from berylspindle_controlplane.transport import Address
from berylspindle_decisions.guarding import ProbeLimits, Removal
from berylspindle_decisions.membership import OutgoingMessage, Prober
from berylspindle_decisions.ownership import LeaseLimits, Ownership
from berylspindle_decisions.propagation import Adopted, KnownState
from berylspindle_decisions.store_age import StoreAge
from berylspindle_decisions.suspicions import Suspicions
from berylspindle_model import codec
from berylspindle_model.control_messages import (
    MAX_DATAGRAM,
    Ack,
    Digest,
    Missed,
    News,
    Ping,
    PingRequest,
    PullRequest,
    Reached,
    from_datagram,
    to_datagram,
)
from berylspindle_model.delta import Changes, pack_changes, unpack_changes
from berylspindle_model.topology import ClusterState, Vm

# With four receivers per VM, news reach 98% of the VMs at once, and the digests of the next probe
# round reach the rest. With three, 6% would be missed; five would cost a quarter more datagrams.
NEWS_FANOUT: Final = 4
# Maximum bytes of the changes; the rest of the datagram is for the digest, the sender's id and the
# authentication tag.
_MAX_NEWS_CHANGES_BYTES: Final = MAX_DATAGRAM - 400
_DITHER_STEPS: Final = 1000
# Seconds without a tick after which the ages in datagrams are ignored: the VM did not run, and the
# datagrams may have waited in its socket.
_MAX_TICK_GAP_S: Final = 0.5


class GossipSink(ABC):
    """Receiver of the actions that `Gossip` requires; no method may block."""

    @abstractmethod
    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram."""

    @abstractmethod
    def pull(self, vm: Vm) -> None:
        """Fetch missing state from a VM."""

    @abstractmethod
    def propose_removal(self, removal: Removal) -> None:
        """Propose a removal of a VM from the view."""

    @abstractmethod
    def on_state_changed(self, state: ClusterState, adopted: Adopted) -> None:
        """Publish a new state."""

    @abstractmethod
    def record_event(self, kind: str, fields: dict[str, str | int]) -> None:
        """Record an event in the timeline."""


@attrs.frozen(kw_only=True)
class LastContact:
    """The time of the last message from a VM, and the configuration revision it reported."""

    revision: int
    at: float


class Gossip:
    """The replicated state of one VM and its gossip with the other VMs."""

    def __init__(
        self,
        local_vm: Vm,
        sink: GossipSink,
        *,
        rand_below: Callable[[int], int],
        leases: LeaseLimits | None = None,
        probes: ProbeLimits | None = None,
    ) -> None:
        self._local_vm: Final = local_vm
        self._sink: Final = sink
        self._now = 0.0
        self._ticked_at = -math.inf
        self._state = ClusterState()
        self._last_contacts: dict[str, LastContact] = {}
        self._sorted_names: tuple[int, tuple[str, ...]] = (0, ())
        self.knowledge: Final = KnownState()
        self.store_age: Final = StoreAge(rand_below(_DITHER_STEPS) / _DITHER_STEPS)
        self.ownership: Final = Ownership(local_vm, leases or LeaseLimits())
        self.suspicions: Final = Suspicions(local_vm.id, local_vm.data_centre)
        self.prober: Final = Prober(
            local_vm,
            probes or ProbeLimits(),
            self.ownership,
            self.suspicions,
            pick=rand_below,
            digest=self._digest_for,
        )

    @property
    def state(self) -> ClusterState:
        """Return the latest state, which is immutable."""
        return self._state

    @property
    def last_contacts(self) -> dict[str, LastContact]:
        """Return the last contact with each VM, by id."""
        return dict(self._last_contacts)

    def tick(self, now: float) -> None:
        """Send the probes that are due; call this ten times a second."""
        self._now = self._ticked_at = now
        sends, removals = self.prober.tick(now)
        self._send_all(sends)
        for removal in removals:
            self._sink.record_event("vm_dead", {"vm": removal.vm, "epoch": removal.epoch})
            self._sink.propose_removal(removal)
        self._refresh_suspects(now)

    def leave(self) -> None:
        """Notify the wards that this VM is no longer their guardian."""
        self._send_all(self.prober.stop_guarding())

    def on_datagram(self, data: bytes, source: Address, now: float) -> None:
        """Process a datagram; drop it if it is not a message of this protocol."""
        self._now = now
        try:
            message = from_datagram(data)
        except codec.MalformedError:
            return
        match message:
            case Ping():
                self._process_digest(message.sender, message.digest, source)
                self._send_all([self.prober.on_ping(message, source, now)])
            case Ack():
                self._process_digest(message.sender, message.digest, source)
                self._send_all(self.prober.on_ack(message, now))
            case PingRequest():
                self._send_all(self.prober.on_ping_request(message, source, now))
            case Reached():
                self.prober.on_indirect_success(message, now)
            case Missed():
                self.prober.on_indirect_timeout(message, now)
            case News():
                self._on_news(message, source, now)
        self._refresh_suspects(now)

    def offer(self, changes: Changes, now: float) -> Adopted:
        """Adopt newer versions from a peer or the store, and send them to a few other VMs."""
        self._now = now
        before = self.knowledge.request(self._local_vm.id)
        adopted = self.knowledge.offer(changes)
        if not adopted:
            return adopted
        for name in adopted.views:
            view = self.knowledge.view(name)
            assert view is not None
            if name == self._local_vm.data_centre:
                self.ownership.adopt(view, now)
            self.prober.adopt(view, now)
            self._sink.record_event(
                "view_changed", {"view": name, "epoch": view.epoch, "members": len(view.members)}
            )
        if adopted.configuration:
            self._sink.record_event("configuration_adopted", {"revision": self.knowledge.revision})
        self._publish(adopted)
        self._send_news(before)
        return adopted

    def handle_pull(self, payload: bytes) -> bytes:
        """Return what the sender of a `PullRequest` is missing. Raises codec.MalformedError."""
        request = codec.from_msgpack(payload, PullRequest)
        return pack_changes(self.knowledge.changes_since(request.revision, request.epochs))

    def probe_all(self) -> None:
        """Send one probe to every known VM, so that their replies update `last_contacts`."""
        vms = [vm for view in self.knowledge.views for vm in view.members]
        self._send_all(self.prober.probes([vm for vm in vms if vm.id != self._local_vm.id]))

    def _on_news(self, news: News, source: Address, now: float) -> None:
        # Most changes arrive several times, and unpacking is their main cost, so changes that are
        # already known are not unpacked.
        if news.changes and self.knowledge.is_behind(news.digest):
            try:
                self.offer(unpack_changes(news.changes), now)
            except codec.MalformedError:
                return
        self._process_digest(news.sender, news.digest, source)

    def _process_digest(self, sender: str, digest: Digest, source: Address) -> None:
        now = self._now
        self._last_contacts[sender] = LastContact(revision=digest.revision, at=now)
        for suspicion in digest.suspicions:
            self.suspicions.merge(suspicion, now)
        vm = self.prober.vm(sender)
        same_data_centre = vm is not None and vm.data_centre == self._local_vm.data_centre
        if same_data_centre and digest.revision == self.knowledge.revision:
            names = self._data_centre_names()
            self.suspicions.merge_contact_ages(names, digest.ages, now)
            if len(digest.ages) > len(names) and now - self._ticked_at <= _MAX_TICK_GAP_S:
                self.store_age.merge(digest.ages[len(names)], now)
        if self.knowledge.is_behind(digest):
            # A sender that is in no known view is called at the source address of its datagram.
            unknown = Vm(id=sender, data_centre="", host=source[0], peer_port=source[1])
            self._sink.pull(vm or unknown)

    def _digest_for(self, vm_id: str) -> Digest:
        summary = self.knowledge.digest()
        vm = self.prober.vm(vm_id)
        ages: tuple[int, ...] = ()
        if vm is not None and vm.data_centre == self._local_vm.data_centre:
            contact_ages = self.suspicions.contact_ages(self._data_centre_names(), self._now)
            ages = (*contact_ages, self.store_age.tenths(self._now))
        return Digest(
            summary.revision,
            summary.epochs,
            summary.mark,
            ages,
            self.suspicions.suspicions_for(vm_id, self._now),
        )

    def _data_centre_names(self) -> tuple[str, ...]:
        revision, names = self._sorted_names
        configuration = self.knowledge.configuration
        if configuration is not None and revision != configuration.revision:
            names = tuple(sorted(dc.name for dc in configuration.data_centres))
            self._sorted_names = (configuration.revision, names)
        return names

    def _send_news(self, before: PullRequest) -> None:
        missing = self.knowledge.changes_since(before.revision, before.epochs)
        changes = b"" if missing.is_empty else pack_changes(missing)
        if len(changes) > _MAX_NEWS_CHANGES_BYTES:
            changes = b""
        for vm in self.prober.gossip_peers(NEWS_FANOUT):
            digest = self._digest_for(vm.id)
            data = to_datagram(
                News(self._local_vm.id, self.suspicions.incarnation, digest, changes)
            )
            if len(data) > MAX_DATAGRAM:
                # Long VM ids in the suspicions can leave too little room for the changes. They are
                # then left out, and the receiver pulls them because of the digest.
                data = to_datagram(News(self._local_vm.id, self.suspicions.incarnation, digest))
            self._sink.send((vm.host, vm.peer_port), data)

    def _send_all(self, sends: Iterable[OutgoingMessage]) -> None:
        for send in sends:
            self._sink.send(send.to, to_datagram(send.message))

    def _refresh_suspects(self, now: float) -> None:
        suspects = self.suspicions.suspects(self.knowledge.views, now)
        if suspects == self._state.suspects:
            return
        for vm_id in sorted(suspects - self._state.suspects):
            self._sink.record_event("vm_suspected", {"vm": vm_id})
        for vm_id in sorted(self._state.suspects - suspects):
            self._sink.record_event("vm_refuted", {"vm": vm_id})
        added = suspects - self._state.suspects
        self._publish(Adopted())
        if added:
            self._send_news(self.knowledge.request(self._local_vm.id))

    def _publish(self, adopted: Adopted) -> None:
        views = self.knowledge.views
        known = {vm.id for view in views for vm in view.members}
        self._last_contacts = {
            vm_id: contact for vm_id, contact in self._last_contacts.items() if vm_id in known
        }
        self._state = ClusterState(
            configuration=self.knowledge.configuration,
            views=views,
            suspects=self.suspicions.suspects(views, self._now),
        )
        self._sink.on_state_changed(self._state, adopted)
