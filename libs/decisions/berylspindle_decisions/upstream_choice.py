"""Choose whom a VM asks next for changes of the store, and until when it waits.

Terms:
  upstream   the store, or the mirror of another VM
  watcher    a VM whose mirror this one follows (`decisions.watchers`)
  age        the time since the store has confirmed a view (`confirmed_span`)
  age limit  the greatest allowed age of this VM's view
  direct     said of a call to the store by a VM that follows a watcher

Flow: `next_call` returns the next call; `on_success` and `on_failure` take its result. A VM without
watchers watches the store in cycles. Any other VM waits for its watcher, which answers at its next
change or confirmation, until the age of its own view reaches the direct age; then it calls the
store. A mirror that fails or lags is excluded for a while. A VM whose calls to the store fail asks
mirrors, first that of a follower with a more recent view, then near ones, and probes the store at
intervals.

Guard: each hop on the way from the store has waits, time-outs and retries. If they depend on
whether the last call was answered, their sum has no limit, and a change takes effect seconds late
on a VM that reaches the store itself. Here each wait ends by the age of the view: the direct age
and the time-out of a direct call add up to less than the age limit.

Load: one call per cycle for each VM that follows the store. While its watchers lag, a VM makes one
or two direct calls and follows any other mirror that is recent, or else the store. While the store
answers nobody, all VMs of a data centre but its watchers together send `PROBES_PER_S`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Final, Generic, Protocol, TypeVar

import attrs

WATCHER_DIRECT_SHARE: Final = 0.725
DIRECT_SHARE: Final = 0.805
"""Age at which a watcher, or any other VM, calls the store instead of its watcher, as a share of
the age limit. A watcher calls first, and its followers receive the result before they would
call."""

DIRECT_SPREAD: Final = 0.04
"""Share of the age limit over which the direct ages of the VMs are spread, so that they do not call
the store at the same moment."""

CYCLE_SHARE: Final = 0.4
MAX_CYCLE_S: Final = 1.0
"""Length of a cycle of a VM that follows the store, as a share of the age limit, and its maximum in
seconds: two confirmations have to lie within `confirmed_span.max_gap`."""

MAX_PAUSE_SHARE: Final = 0.75
"""Longest pause between two watches of the store, as a share of the cycle."""

PROBE_WAIT_S: Final = 0.05
"""Wait of a call that only has to show the state of its upstream."""

FED_WAIT_S: Final = 0.5
"""Wait of a watch of a watcher that may follow this VM: half of the cycle in which a watcher that
the store serves is confirmed by itself. Within a shorter one right after this VM's own call to the
store, no watcher would be confirmed later."""

FALLBACK_WAIT_S: Final = 0.3
"""Longest wait of a watch of a mirror while the view is over the direct age."""

MIRROR_MARGIN_S: Final = 0.2
STORE_MARGIN_S: Final = 0.4
MAX_STORE_MARGIN_S: Final = 1.0
"""Seconds that the response of a mirror, or of the store, may take after the wait. The store's
margin grows up to the last while calls fail, since the store may be slow."""

EXCLUSION_S: Final = 3.0
LAG_EXCLUSION_S: Final = 1.0
"""Seconds for which a mirror that has failed, or that lags, is not followed."""

DIRECT_CALLS_BEFORE_STORE: Final = 2
"""Direct calls answered before a VM whose watchers lag follows the store: after an outage that
affected all VMs the watchers are recent again within a second, and hundreds of followers would load
the store. A watcher which is confirmed no later than the last of these calls does not end them: it
may follow this VM."""

NEAR_ATTEMPTS: Final = 2
REMOTE_RETRY_S: Final = 3.0
"""Mirrors of this data centre that fail or lag in a row before one of another data centre is asked,
and seconds until the next one if that has not responded, since this data centre may be cut off."""

STORE_RETRY_S: Final = 0.8
FOLLOWER_STORE_RETRY_S: Final = 1.0
MAX_STORE_RETRY_S: Final = 10.0
PROBES_PER_S: Final = 4.0
"""Seconds between two probes of the store while its calls fail, with a jitter of 50%: of a VM that
follows the store, and of any other VM. From the second failure on, the latter interval grows with
the number of VMs up to the maximum, so that all of a data centre send `PROBES_PER_S`."""

RETRY_MIN_S: Final = 0.1
MAX_RETRY_DOUBLINGS: Final = 3
"""Shortest pause after the second failed call in a row, with a jitter of 50%, and how often it
doubles. A VM that was cut off from all others has to apply the newest table within four seconds of
the end of the cut."""


CHANGE_RESERVE_S: Final = 0.45
MAX_AGE_LIMIT_S: Final = 2.55
"""Seconds of the bound on a change that are left for a request which is admitted just before the
change takes effect, and the greatest age limit: a direct call has to end before the time since the
last answer counts as a gap (`confirmed_span`)."""


def age_limit(bound: float) -> float:
    """Return the age limit if a change has to take effect within `bound` seconds."""
    return min(MAX_AGE_LIMIT_S, max(bound / 2, bound - CHANGE_RESERVE_S))


class Address(Protocol):
    """Address of a mirror; it has to be hashable."""

    @property
    def is_near(self) -> bool:
        """Return whether the mirror is in this VM's data centre."""


A = TypeVar("A", bound=Address)


@attrs.frozen(kw_only=True)
class KnownVms(Generic[A]):
    """The other VMs that a VM knows.

    Attributes:
        watchers: mirrors of the watchers to follow; empty if this VM has to follow the store.
        mirrors: mirrors of all other VMs, the watchers among them.
        is_watcher: whether this VM is followed by others.
        local_vms: number of VMs in the data centre.
        recent: mirror of a follower whose view was more recent than this VM's a moment ago.
    """

    watchers: tuple[A, ...]
    mirrors: tuple[A, ...]
    is_watcher: bool
    local_vms: int
    recent: A | None = None


@attrs.frozen(kw_only=True)
class UpstreamCall(Generic[A]):
    """A call to make after `delay`, to a mirror or, if that is None, to the store.

    A watch asks for a response within `wait`, and the call has failed after `timeout`. All are in
    seconds.
    """

    mirror: A | None
    delay: float = 0.0
    wait: float
    timeout: float


class UpstreamChoice(Generic[A]):
    """State of one VM; times are in seconds of the caller's clock.

    `uniform` returns random numbers in [0, 1).
    """

    def __init__(self, age_limit: float, uniform: Callable[[], float]) -> None:
        self._age_limit: Final = age_limit
        self._uniform: Final = uniform
        self._current: A | None = None
        self._excluded_until: dict[A, float] = {}
        self._suspects: set[A] = set()
        self._lagging: set[A] = set()
        self._fed: set[A] = set()
        self._failures = 0
        self._store_failures = 0
        self._store_probe_at = 0.0
        self._direct_calls = 0
        self._answered_at = -math.inf
        self._near_misses = 0
        self._remote_retry_at = 0.0
        self._follows_store = True
        self._spread: Final = DIRECT_SPREAD * uniform()

    @property
    def store_unavailable(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._store_failures > 0

    @property
    def follows_store(self) -> bool:
        """Return whether this VM follows the store by the last choice."""
        return self._follows_store

    def direct_age(self, *, is_watcher: bool) -> float:
        """Return the age of the view from which the store is called instead of a watcher."""
        share = WATCHER_DIRECT_SHARE if is_watcher else DIRECT_SHARE
        return self._age_limit * (share - self._spread)

    def next_call(
        self, now: float, *, age: float, known: KnownVms[A], pause: float
    ) -> UpstreamCall[A]:
        """Return the next call for a view of `age`; `pause` is that between two watches."""
        watchers = self._eligible(now, known.watchers)
        time_left = self.direct_age(is_watcher=known.is_watcher) - age
        # There has to be time for a mirror that does not answer.
        is_due = time_left < PROBE_WAIT_S + MIRROR_MARGIN_S
        can_probe = not self.store_unavailable or now >= self._store_probe_at
        self._follows_store = not known.watchers or (
            not watchers
            and (
                self._direct_calls >= DIRECT_CALLS_BEFORE_STORE
                or not self._eligible(now, known.mirrors)
            )
        )
        if known.watchers and is_due and can_probe:
            return self._store_probe()
        if watchers:
            return self._mirror_call(self._pick(watchers), time_left)
        if self._follows_store and not self.store_unavailable:
            return self._store_watch(pause, time_left)
        if known.mirrors and not (self._follows_store and can_probe):
            return self._mirror_call(self._pick_fallback(now, known), time_left)
        return self._store_probe()

    def on_success(
        self, now: float, call: UpstreamCall[A], *, age: float, known: KnownVms[A]
    ) -> None:
        """Record a call that was answered; `age` is that of the mirror's view."""
        self._failures = 0
        if call.mirror is None:
            self._on_store_success(now, known)
            return
        if age > self.direct_age(is_watcher=known.is_watcher):
            self._exclude(call.mirror, now + LAG_EXCLUSION_S)
            self._lagging.add(call.mirror)
            return
        is_later = now - age > self._answered_at
        if not is_later and self._direct_calls >= DIRECT_CALLS_BEFORE_STORE:
            self._exclude_fed(now, known.watchers)
            return
        self._fed.discard(call.mirror)
        self._current = call.mirror
        self._suspects.discard(call.mirror)
        self._lagging.discard(call.mirror)
        self._near_misses = 0
        if call.mirror in known.watchers and is_later:
            self._direct_calls = 0

    def on_failure(self, now: float, call: UpstreamCall[A], *, known: KnownVms[A]) -> None:
        """Record a call that was not answered."""
        self._failures += 1
        if call.mirror is not None:
            if not call.mirror.is_near:
                self._remote_retry_at = now + REMOTE_RETRY_S
            self._exclude(call.mirror, now + EXCLUSION_S)
            self._lagging.discard(call.mirror)
            self._fed.discard(call.mirror)
            return
        self._store_failures += 1
        self._direct_calls = 0
        self._store_probe_at = now + self._probe_interval(known) * (0.5 + self._uniform())

    def _on_store_success(self, now: float, known: KnownVms[A]) -> None:
        self._store_failures = 0
        self._answered_at = now
        if not known.watchers:
            self._current = None
            return
        self._direct_calls += 1
        if self._direct_calls == 1:
            # After an outage the watchers may be recent as well.
            self._excluded_until.clear()
        elif self._direct_calls == DIRECT_CALLS_BEFORE_STORE:
            self._exclude_fed(now, known.watchers)

    def _probe_interval(self, known: KnownVms[A]) -> float:
        if known.watchers:
            spread = min(MAX_STORE_RETRY_S, known.local_vms / PROBES_PER_S)
            return max(FOLLOWER_STORE_RETRY_S, spread if self._store_failures > 1 else 0.0)
        # A watch that breaks need not be an outage: the store is called once more.
        return STORE_RETRY_S if self._store_failures > 1 else 0.0

    def _exclude(self, mirror: A, until: float) -> None:
        self._excluded_until[mirror] = until
        self._suspects.add(mirror)
        self._near_misses = self._near_misses + 1 if mirror.is_near else 0
        if self._current == mirror:
            self._current = None

    def _exclude_fed(self, now: float, watchers: tuple[A, ...]) -> None:
        for watcher in self._eligible(now, watchers):
            self._exclude(watcher, now + EXCLUSION_S)
            self._lagging.add(watcher)
            self._fed.add(watcher)

    def _choose(self, mirrors: Sequence[A]) -> A:
        return mirrors[int(self._uniform() * len(mirrors))]

    def _eligible(self, now: float, mirrors: tuple[A, ...]) -> list[A]:
        return [a for a in mirrors if now >= self._excluded_until.get(a, now)]

    def _pick(self, mirrors: list[A]) -> A:
        return self._current if self._current in mirrors else self._choose(mirrors)

    def _pick_fallback(self, now: float, known: KnownVms[A]) -> A:
        mirrors = known.mirrors
        if known.recent is not None and self._eligible(now, (known.recent,)):
            return known.recent
        if self._current is not None and self._current in (*mirrors, known.recent):
            return self._current
        eligible = self._eligible(now, mirrors)
        near = [a for a in eligible if a.is_near]
        remote = [a for a in eligible if not a.is_near] if now >= self._remote_retry_at else []
        if near and (self._near_misses < NEAR_ATTEMPTS or not remote):
            return self._choose(near)
        # A mirror that lags has the latest changes of its own data centre.
        lagging = [a for a in mirrors if a in self._lagging]
        return self._choose(remote or near or lagging or mirrors)

    def _mirror_call(self, mirror: A, time_left: float) -> UpstreamCall[A]:
        wait = time_left - MIRROR_MARGIN_S
        delay = self._retry_delay()
        if wait <= 0:
            wait = FALLBACK_WAIT_S
        else:
            delay = min(delay, wait)
            if mirror in self._fed:
                wait = min(wait - delay, FED_WAIT_S)
            else:
                wait = PROBE_WAIT_S if mirror in self._suspects else wait - delay
        return UpstreamCall(mirror=mirror, delay=delay, wait=wait, timeout=wait + MIRROR_MARGIN_S)

    def _store_watch(self, pause: float, time_left: float) -> UpstreamCall[A]:
        cycle = min(MAX_CYCLE_S, CYCLE_SHARE * self._age_limit)
        if time_left < cycle:
            return self._store_probe()
        delay = min(pause, MAX_PAUSE_SHARE * cycle)
        wait = cycle - delay
        return UpstreamCall(mirror=None, delay=delay, wait=wait, timeout=wait + STORE_MARGIN_S)

    def _store_probe(self) -> UpstreamCall[A]:
        margin = min(MAX_STORE_MARGIN_S, STORE_MARGIN_S * (1 + self._store_failures))
        return UpstreamCall(
            mirror=None,
            delay=self._retry_delay() if self.store_unavailable else 0.0,
            wait=PROBE_WAIT_S,
            timeout=PROBE_WAIT_S + margin,
        )

    def _retry_delay(self) -> float:
        if self._failures < 2:
            return 0.0
        doublings = min(self._failures - 2, MAX_RETRY_DOUBLINGS)
        return RETRY_MIN_S * 2.0**doublings * (0.5 + self._uniform())
