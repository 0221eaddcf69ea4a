"""The platform's configuration store as the system sees it.

Terms:
  revision         one number for the whole store that grows with every change; an entry's is that
                   of its last change
  compare-and-swap a write that takes effect only if the entry has the expected revision; 0 expects
                   no entry
  lease            a time to live kept by the store; entries bound to it go when it lapses
  away             the call surely took no effect
  unsure           the call may have taken effect: its reply was lost

Flow: callers hold a `Store`; `http_store` makes one that speaks the platform's protocol. Reads can
lag behind writes, watch events can come late and twice, so a caller never goes back to a lower
revision than one it has seen. No method retries by itself.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs


class StoreError(Exception):
    """A call to the store that did not succeed; the subclasses are the closed list of ways."""


class StoreConflict(StoreError):  # noqa: N818
    """The entry does not have the expected revision; nothing was changed.

    `current` is the entry as it is, read together with the refusal and so never lagging.
    """

    def __init__(self, current: StoredValue | None) -> None:
        super().__init__("no entry" if current is None else f"revision {current.revision}")
        self.current: Final = current


class StoreAway(StoreError):  # noqa: N818
    """The store was not reached or refused the call; it surely took no effect."""


class StoreUnsure(StoreError):  # noqa: N818
    """The call was sent and no reply came; it may have taken effect, or may still do so."""


class StoreLeaseGone(StoreError):  # noqa: N818
    """The lease has lapsed or was revoked; the call took no effect."""


@attrs.frozen(kw_only=True)
class StoredValue:
    """One entry.

    Attributes:
        value: None where the entry was deleted at this revision.
        lease: the lease that the entry is bound to; empty where it is bound to none or the store
            does not say.
    """

    key: str
    value: bytes | None
    revision: int
    lease: str = ""


@attrs.frozen(kw_only=True)
class ListResult:
    """The entries under a prefix, and the store's revision when they were read."""

    revision: int
    entries: tuple[StoredValue, ...]


@attrs.frozen(kw_only=True)
class WatchResult:
    """What changed after a revision, in order.

    Attributes:
        revision: go on watching after this one.
        entries: the changes; empty when the wait ended first.
        compacted: the store no longer knows all changes: list anew, then watch after `revision`
            of that list.
    """

    revision: int
    entries: tuple[StoredValue, ...] = ()
    compacted: bool = False


@attrs.frozen(kw_only=True)
class Lease:
    """A granted lease. The store began to count `ttl` seconds at some time during the call."""

    id: str
    ttl: float


class Store(ABC):
    """The configuration store. Every method may raise StoreAway; times are in seconds."""

    @abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return an entry or None. May lag."""

    @abstractmethod
    async def list(self, prefix: str) -> ListResult:
        """Return all entries whose keys start with `prefix`, by key. May lag."""

    async def list_cached(self, prefix: str) -> ListResult:
        """Return all entries as they were a while ago, where that costs the store less.

        Whoever watches after the result's revision misses no change since.
        """
        return await self.list(prefix)

    @abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        """Write `value`, or delete where it is None, if the entry has revision `expect`.

        An entry is bound to `lease` by this write and to none without it. Deleting with `expect`
        0 changes nothing and proves that there is no entry. Raises StoreConflict, StoreUnsure,
        StoreLeaseGone; ValueError for a value larger than the store takes.
        """

    @abstractmethod
    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        """Wait up to `wait` seconds for changes under `prefix` after a revision."""

    @abstractmethod
    async def grant_lease(self, ttl: float) -> Lease:
        """Return a new lease. Raises StoreUnsure; a lease granted unheard lapses by itself."""

    @abstractmethod
    async def keep_alive(self, lease: str) -> Lease:
        """Let a lease begin its time anew. Raises StoreUnsure, StoreLeaseGone."""

    @abstractmethod
    async def revoke(self, lease: str) -> None:
        """End a lease and delete what is bound to it. Raises StoreUnsure, StoreLeaseGone."""
