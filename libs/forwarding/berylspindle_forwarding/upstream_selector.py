"""Open the upstream for watches of the store's entries: the store or a peer's mirror.

Terms:
  watcher   a VM of the same data centre whose mirror the other VMs follow (`decisions.watchers`)
  mirror    a VM's copy of the store's entries (`mirror`)

Flow: the catalogue calls `pick` before each call and reports its result. `UpstreamChoice` decides
whom to call; the selector owns the connection to the mirror that is followed.

Guard: the store may reject some VMs while it serves others, and a VM may start while the store is
unavailable. Without its peers such a VM would route by an outdated table, or have none.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_decisions.confirmed_span import ConfirmedSpan
from berylspindle_decisions.upstream_choice import KnownVms, UpstreamCall, UpstreamChoice
from berylspindle_forwarding.mirror import MirrorStore
from berylspindle_store.store import Store

DEFAULT_AGE_LIMIT_S: Final = 2.55
"""Greatest allowed age of a VM's view in seconds if the settings state no bound on changes."""


@attrs.frozen
class MirrorAddress:
    """Address of a peer's mirror; `is_near` if it is in the same data centre."""

    host: str
    port: int
    is_near: bool = False


@attrs.frozen
class Upstream:
    """The store or mirror to call, and the call that was chosen."""

    store: Store
    call: UpstreamCall[MirrorAddress]

    @property
    def name(self) -> str:
        """Return `store`, or the address of the mirror."""
        return self.store.address if isinstance(self.store, MirrorStore) else "store"

    @property
    def is_mirror(self) -> bool:
        """Return whether the upstream is a peer's mirror."""
        return self.call.mirror is not None

    @property
    def is_near(self) -> bool:
        """Return whether the upstream is the mirror of a VM in the same data centre."""
        return self.call.mirror is not None and self.call.mirror.is_near

    @property
    def cut_off(self) -> bool:
        """Return whether the mirror's VM reported that it is cut off."""
        return isinstance(self.store, MirrorStore) and self.store.cut_off


class UpstreamSelector:
    """Select between the store and peers' mirrors."""

    def __init__(
        self,
        store: Store,
        *,
        mirrors: Callable[[], tuple[MirrorAddress, ...]],
        now: Callable[[], float],
        rng: random.Random,
        age_limit: float = DEFAULT_AGE_LIMIT_S,
        watchers: Callable[[], tuple[MirrorAddress, ...]] = tuple,
        is_watcher: Callable[[], bool] = lambda: False,
        local_vm_count: Callable[[], int] = lambda: 1,
        extra_query: Callable[[], dict[str, str]] = dict,
        on_losses: Callable[[dict[str, int]], None] = lambda losses: None,
        recent_reader: Callable[[], str | None] = lambda: None,
    ) -> None:
        """Initialize the selector.

        `mirrors` returns the known peers, and `watchers` those that this VM may follow; it is empty
        if this VM must follow the store itself. `is_watcher` returns whether others follow this VM,
        `local_vm_count` the number of VMs in the data centre, and `extra_query` the query
        parameters that describe this VM to a mirror. `on_losses` receives a mirror's reports of
        lost responses by replica. `recent_reader` returns the address of a follower whose view was
        more recent than this VM's (`Mirror.recent_reader`). `age_limit` is the greatest allowed age
        of the view in seconds.
        """
        self._store: Final = store
        self._mirrors: Final = mirrors
        self._watchers: Final = watchers
        self._is_watcher: Final = is_watcher
        self._local_vm_count: Final = local_vm_count
        self._extra_query: Final = extra_query
        self._on_losses: Final = on_losses
        self._recent_reader: Final = recent_reader
        self._now: Final = now
        self._choice: Final = UpstreamChoice[MirrorAddress](age_limit, rng.random)
        self._current: tuple[MirrorAddress, MirrorStore] | None = None
        self._retired: list[MirrorStore] = []

    @property
    def store_unavailable(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._choice.store_unavailable

    @property
    def has_watchers(self) -> bool:
        """Return whether there is a watcher for this VM to follow."""
        return bool(self._watchers())

    @property
    def follows_store(self) -> bool:
        """Return whether this VM follows the store, as a watcher or without a usable watcher."""
        return not self._watchers() or self._choice.follows_store

    def pick(self, *, age: float, pause: float) -> Upstream:
        """Return the upstream of the next call.

        `age` is that of this VM's view, and `pause` the time between two watches of the store.
        """
        call = self._choice.next_call(self._now(), age=age, known=self._known(), pause=pause)
        if call.mirror is None:
            return Upstream(self._store, call)
        if self._current is None or self._current[0] != call.mirror:
            self._retire()
            self._current = (call.mirror, self._open(call.mirror))
        return Upstream(self._current[1], call)

    async def record_success(self, upstream: Upstream, span: ConfirmedSpan | None) -> None:
        """Record a call that was answered; `span` is that of the mirror, if it has one."""
        now = self._now()
        age = now - span.at if span is not None else math.inf
        self._choice.on_success(now, upstream.call, age=age, known=self._known())
        await self._close_retired()

    async def record_failure(self, upstream: Upstream) -> None:
        """Record a call that was not answered."""
        self._choice.on_failure(self._now(), upstream.call, known=self._known())
        if upstream.is_mirror:
            self._retire()
        await self._close_retired()

    async def close(self) -> None:
        """Close the connections to mirrors; the store's belong to the caller."""
        self._retire()
        await self._close_retired()

    def _known(self) -> KnownVms[MirrorAddress]:
        return KnownVms(
            watchers=self._watchers(),
            mirrors=self._mirrors(),
            is_watcher=self._is_watcher(),
            local_vms=self._local_vm_count(),
            recent=self._recent(),
        )

    def _recent(self) -> MirrorAddress | None:
        reader = self._recent_reader()
        if reader is None:
            return None
        host, _, port = reader.rpartition(":")
        return MirrorAddress(host, int(port), is_near=True)

    def _open(self, address: MirrorAddress) -> MirrorStore:
        # Each VM that is told counts this one as a follower, so a fallback is not.
        return MirrorStore(
            address.host,
            address.port,
            clock=self._now,
            extra_query=self._extra_query if address in self._watchers() else dict,
            on_losses=self._on_losses,
        )

    def _retire(self) -> None:
        if self._current is not None:
            self._retired.append(self._current[1])
        self._current = None

    async def _close_retired(self) -> None:
        retired, self._retired = self._retired, []
        for mirror in retired:
            await mirror.close()
