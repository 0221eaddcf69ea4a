"""Interface of the platform's configuration store.

Terms:
  revision          a number that grows with every change of the store, also if the store returns
                    from a copy (`revisions`); the revision of an entry is that of its last change
  compare-and-swap  a write that takes effect only if the entry has the expected revision; revision
                    0 expects no entry
  lease             a time to live on the store's clock; the store deletes entries bound to an
                    expired lease
  unavailable       the call failed and had no effect
  outcome unknown   the reply was lost, and the call may have taken effect

Flow: callers use a `Store`; `http_store` implements it by the platform's protocol. Reads can lag
behind writes, and watch events can be late or duplicated, so a caller must never go back to a lower
revision than one it has seen. No method retries.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs


class StoreError(Exception):
    """Base class for failures of calls to the store; every failure is one of its subclasses."""


class StoreConflict(StoreError):  # noqa: N818
    """The entry does not have the expected revision; nothing was changed.

    `current` is the entry, read atomically with the comparison, so that it does not lag.
    """

    def __init__(self, current: StoredValue | None) -> None:
        super().__init__("no entry" if current is None else f"revision {current.revision}")
        self.current: Final = current


class StoreUnavailable(StoreError):  # noqa: N818
    """The store was not reached or refused the call; the call had no effect."""


class StoreOutcomeUnknown(StoreError):  # noqa: N818
    """The call was sent and got no reply; it may have taken effect, or may do so later."""


class StoreLeaseNotFound(StoreError):  # noqa: N818
    """The lease has expired or was revoked; the call had no effect."""


@attrs.frozen(kw_only=True)
class StoredValue:
    """One entry.

    Attributes:
        value: None if the entry was deleted at this revision.
        lease: id of the lease that the entry is bound to; empty if there is none or the store does
            not report it.
    """

    key: str
    value: bytes | None
    revision: int
    lease: str = ""


@attrs.frozen(kw_only=True)
class ListResult:
    """The entries under a prefix and the store's revision at which they were read."""

    revision: int
    entries: tuple[StoredValue, ...]


@attrs.frozen(kw_only=True)
class WatchResult:
    """The changes after a revision, in order.

    Attributes:
        revision: the revision after which to continue the watch.
        entries: the changes; empty if there were none during the wait.
        compacted: the store no longer has all changes: list again, then watch after the list's
            `revision`.
    """

    revision: int
    entries: tuple[StoredValue, ...] = ()
    compacted: bool = False


@attrs.frozen(kw_only=True)
class Lease:
    """A granted lease. Its `ttl` in seconds started at some time during the call."""

    id: str
    ttl: float


class Store(ABC):
    """The configuration store. Every method can raise StoreUnavailable; times are in seconds."""

    @abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Return an entry, or None if there is none. The result can lag."""

    @abstractmethod
    async def list(self, prefix: str) -> ListResult:
        """Return all entries whose keys start with `prefix`, ordered by key. The result can lag."""

    async def list_cached(self, prefix: str) -> ListResult:
        """Return all entries, at an earlier revision if that costs the store less than `list`.

        A watch after the result's revision reports all later changes.
        """
        return await self.list(prefix)

    @abstractmethod
    async def compare_and_swap(
        self, key: str, value: bytes | None, *, expect: int, lease: str | None = None
    ) -> StoredValue:
        """Write `value`, or delete the entry if None, provided that it has revision `expect`.

        The write binds the entry to `lease`, or to no lease if None. Deleting with `expect` 0
        changes nothing and confirms that there is no entry. Raises StoreConflict,
        StoreOutcomeUnknown, StoreLeaseNotFound, and ValueError if the value exceeds the store's
        maximum size.
        """

    @abstractmethod
    async def watch(self, prefix: str, *, after: int, wait: float) -> WatchResult:
        """Wait up to `wait` seconds for changes under `prefix` after a revision."""

    @abstractmethod
    async def grant_lease(self, ttl: float) -> Lease:
        """Return a new lease. Raises StoreOutcomeUnknown; a lease whose reply is lost expires
        unused."""

    @abstractmethod
    async def keep_alive(self, lease: str) -> Lease:
        """Restart the TTL of a lease. Raises StoreOutcomeUnknown, StoreLeaseNotFound."""

    @abstractmethod
    async def revoke(self, lease: str) -> None:
        """End a lease and delete the entries bound to it. Raises StoreOutcomeUnknown,
        StoreLeaseNotFound."""
