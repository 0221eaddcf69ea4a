"""Changes of the store's entries, and who decodes and receives them.

Terms:
  change   the meaning of one entry of the store, decoded by a `CatalogueReader`

Flow: the catalogue decodes each entry by the reader, and passes the change to its listener.
"""

from __future__ import annotations

import abc

import attrs

from berylspindle_decisions.quarantine import SuspectRecord
from berylspindle_model.rollout import (
    RolloutAnswers,
    RolloutOrder,
    RolloutShift,
    RolloutStatus,
)
from berylspindle_model.routing import Replica, RoutingTable
from berylspindle_store.store import StoredValue


@attrs.frozen
class TableChange:
    """A routing table has come into force."""

    table: RoutingTable


@attrs.frozen
class ReplicaChange:
    """A replica has announced itself, or its entry was deleted."""

    id: str
    replica: Replica | None


@attrs.frozen
class DataCentreExclusionChange:
    """A data centre was excluded, or included again."""

    data_centre: str
    is_excluded: bool


@attrs.frozen(kw_only=True)
class VmEntry:
    """Address of a VM for its peers; stored as JSON with these names.

    Attributes:
        port: port of its mirror.
        callers_port: port for relayed requests of other VMs, which callers use too unless it is
            separate; 0 if it accepts none.
        bears: its capacity in cores (`decisions.relay_choice`).
        followers: number of VMs that follow this one and have no entry of their own.
        follower_bears: the smallest capacity among these followers.
    """

    host: str
    port: int
    data_centre: str = ""
    callers_port: int = 0
    bears: float = 0.0
    followers: int = 0
    follower_bears: float = 0.0


@attrs.frozen
class VmChange:
    """A VM has announced itself, or its entry was deleted."""

    id: str
    vm: VmEntry | None


@attrs.frozen
class SuspectChange:
    """Another VM has recorded a request that crashes replicas."""

    record: SuspectRecord


@attrs.frozen
class RolloutOrderChange:
    """The operator has ordered a rollout, or the order was deleted."""

    service: str
    order: RolloutOrder | None


@attrs.frozen
class RolloutStatusChange:
    """The status of a rollout was reported to the operator, or the entry was deleted."""

    service: str
    status: RolloutStatus | None


@attrs.frozen
class RolloutShiftChange:
    """All requests to a service go to the new version, or the entry was deleted."""

    service: str
    shift: RolloutShift | None


@attrs.frozen
class RolloutAnswersChange:
    """A data centre has recorded the responses of a rollout, or the entry was deleted."""

    service: str
    data_centre: str
    answers: RolloutAnswers | None


RolloutChange = RolloutOrderChange | RolloutStatusChange | RolloutShiftChange | RolloutAnswersChange


@attrs.frozen
class UnreadableEntry:
    """An entry that can't be decoded; the reason is logged."""

    key: str
    reason: str


Change = (
    TableChange
    | ReplicaChange
    | DataCentreExclusionChange
    | VmChange
    | SuspectChange
    | RolloutChange
    | UnreadableEntry
)


@attrs.frozen(kw_only=True)
class DeferredDeletion:
    """A deletion that does not take effect yet, since leases may have expired in an outage.

    Attributes:
        is_first: whether no other deletion is deferred; entries of VMs do not count.
        read_from: the upstream that returned the deletion.
        gap_from: the upstream whose answer was the first after the gap.
        seconds: time until it takes effect, unless the deferral ends sooner.
    """

    key: str
    is_vm: bool
    is_first: bool
    read_from: str
    gap_from: str
    seconds: float


class CatalogueReader(abc.ABC):
    """Decode entries of the store."""

    @property
    @abc.abstractmethod
    def prefix(self) -> str:
        """Return the common prefix of all relevant keys."""

    @property
    @abc.abstractmethod
    def list_prefixes(self) -> tuple[str, ...]:
        """Return the prefixes to list at the start, which cover all relevant keys."""

    @abc.abstractmethod
    def is_vm_key(self, key: str) -> bool:
        """Return whether a key belongs to a VM's entry."""

    @abc.abstractmethod
    def decode(self, entry: StoredValue) -> Change | None:
        """Decode an entry; return None for one that is not relevant to the catalogue."""


class CatalogueListener(abc.ABC):
    """Receive the changes of the catalogue."""

    @abc.abstractmethod
    def on_change(self, change: Change) -> None:
        """Handle one change."""

    @abc.abstractmethod
    def on_listed(self) -> None:
        """Handle the end of a complete list."""

    @abc.abstractmethod
    def on_older_entry(self, entry: StoredValue, known_revision: int, *, from_mirror: bool) -> None:
        """Handle an entry that is ignored because a newer revision of its key is known."""

    @abc.abstractmethod
    def on_entry_fault(self, key: str, error: Exception) -> None:
        """Handle an entry that is skipped because of an unexpected error."""

    @abc.abstractmethod
    def on_deferred_deletion(self, deletion: DeferredDeletion) -> None:
        """Handle a deletion that is deferred."""

    @abc.abstractmethod
    def on_deferral_end(self, seconds: float) -> None:
        """Handle that no deletion is deferred any more, `seconds` after the first was."""

    @abc.abstractmethod
    def on_peer_isolation(self, cut_off: bool, source: object) -> None:
        """Handle a report whether the VM whose mirror (`source`) is followed is cut off."""

    @abc.abstractmethod
    def on_store_reachability(self, reached: bool, detail: str) -> None:
        """Handle the result of a call to the store; `detail` is the error if not `reached`."""
