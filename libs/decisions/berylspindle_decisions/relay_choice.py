"""Choose whether a larger VM, or one near the replicas, executes a scatter-gather for this VM.

A load balancer spreads callers evenly over VMs of half a core with 20 Mbit/s and VMs of two cores
with 200 Mbit/s. A request over 36 shards takes 20 ms of a core and receives 40 KB of partial
results, of which 1 KB goes to the caller. On a small VM the partial results queue on its own link
and processor, which triggers hedged requests and takes half of the request's time. A data centre
without replicas of the shards receives each partial result over the links between data centres: 42
requests and partial results for one response of 1 KB.

Terms:
  capacity  cores of a VM, or fewer if its link is the bottleneck
  merger    the VM that executes a relayed scatter-gather and merges the partial results
  missing   share of a request's shards without a usable replica in a VM's data centre
  load      requests in progress at a merger, by its last report or by the requests sent to it
  back-off  the time in which no request goes to a merger that failed, refused or was slow

Flow: `pick_merger` is called for each scatter-gather; `on_sent`, `on_finished`, `on_report` and
`back_off` record its progress and outcome. The request goes to the VM with the lowest cost:
requests in progress over capacity, plus `MISSING_COST` times the missing share. This VM itself is
one of the candidates.

Thresholds: the extra hop costs about a millisecond on both VMs, so a merger needs at least
`MIN_CAPACITY_RATIO` times this VM's capacity. Equal capacity is enough if its missing share is
lower by `MIN_LOCALITY_GAIN`, as one merged response then replaces many partial results between data
centres. A merger that failed is avoided for `FAILURE_BACKOFF_S`, the time that a process takes to
start and load. A merger that refused, or was late by the route's whole latency target, is avoided
for `REFUSAL_BACKOFF_S`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

MIN_CAPACITY_RATIO: Final = 2.0
FAILURE_BACKOFF_S: Final = 3.0
REFUSAL_BACKOFF_S: Final = 1.0
MIN_LOCALITY_GAIN: Final = 0.5
MISSING_COST: Final = 8.0
"""Additional requests in progress per core up to which a merger near the replicas is preferred to
this VM; a request takes about 20 ms of a merger's core."""

LOAD_REPORT_TTL_S: Final = 0.5
"""Seconds for which a merger's load report is valid; its requests take some tenths of a second."""

MBPS_PER_CORE: Final = 16.0
"""Link bandwidth that keeps one core busy: 45 requests/s over 36 shards receive 2 MB/s."""


@attrs.frozen
class RelayVm:
    """A candidate: `capacity` is in cores, `missing_share` is the missing share of its data
    centre."""

    name: str
    capacity: float
    missing_share: float = 0.0


@attrs.define
class _Merger:
    outstanding: int = 0
    load: float = 0.0
    reported_at: float = float("-inf")
    backoff_until: float = float("-inf")


def vm_capacity(*, cores: float, link_mbps: float) -> float:
    """Return the capacity of a VM, in cores."""
    return max(0.01, min(cores, link_mbps / MBPS_PER_CORE))


def min_merger_capacity(capacities: Iterable[float]) -> float:
    """Return the capacity from which VMs merge the requests of other data centres.

    Only the larger VMs do so, or all of them if they have similar capacities.
    """
    known = list(capacities)
    least = min(known, default=0.0)
    return (
        MIN_CAPACITY_RATIO * least
        if max(known, default=0.0) >= MIN_CAPACITY_RATIO * least
        else least
    )


def share_divisor(own: float, others: Mapping[float, int]) -> int:
    """Return the divisor that yields this VM's part of a cluster-wide limit.

    `others` maps a capacity to the number of other VMs that have it.

    A replica's limits for all VMs together (connections, extra attempts, requests while it is cold)
    are mostly used by the mergers. So mergers share one half of a limit, and the other VMs the
    other half; an even split among 81 VMs would leave each VM one connection to a replica, and
    searches on a merger would queue for it. VMs of similar capacity get equal parts.
    """
    least = min((own, *others))
    known = 1 + sum(others.values())
    mergers = (own >= MIN_CAPACITY_RATIO * least) + sum(
        count for capacity, count in others.items() if capacity >= MIN_CAPACITY_RATIO * least
    )
    if not mergers:
        return known
    return 2 * mergers if own >= MIN_CAPACITY_RATIO * least else 2 * (known - mergers)


class RelayChoice:
    """The choice of mergers by one VM; times are in seconds of its clock."""

    def __init__(self, capacity: float) -> None:
        self._capacity: Final = capacity
        self._mergers: dict[str, _Merger] = {}

    def pick_merger(
        self,
        now: float,
        vms: Iterable[RelayVm],
        *,
        in_flight: int,
        uniform: float,
        missing_share: float = 0.0,
    ) -> str | None:
        """Return the merger for a request, or None if this VM executes it itself.

        `in_flight` is the number of requests in progress on this VM, including this one,
        `missing_share` the share of missing shards in its data centre, and `uniform` a uniform
        random number in [0, 1) that spreads the choices of VMs with equal state.
        """
        best, best_cost = None, in_flight / self._capacity + MISSING_COST * missing_share
        for vm in vms:
            is_nearer = vm.missing_share <= missing_share - MIN_LOCALITY_GAIN
            if vm.capacity < self._capacity * (1.0 if is_nearer else MIN_CAPACITY_RATIO):
                continue
            merger = self._mergers.get(vm.name) or _Merger()
            if now < merger.backoff_until:
                continue
            load = merger.load if now - merger.reported_at < LOAD_REPORT_TTL_S else 0.0
            cost = (max(load, merger.outstanding) + 1.0 + 0.2 * uniform) / vm.capacity
            cost += MISSING_COST * vm.missing_share
            if cost < best_cost:
                best, best_cost = vm.name, cost
        return best

    def on_sent(self, name: str) -> None:
        """Record a request that is sent to a merger."""
        self._merger(name).outstanding += 1

    def on_finished(self, name: str) -> None:
        """Record the end of a request, with or without a response."""
        self._merger(name).outstanding -= 1

    def on_report(self, now: float, name: str, load: float) -> None:
        """Record a merger's report of its requests in progress; it ends the back-off."""
        merger = self._merger(name)
        merger.load, merger.reported_at = load, now
        merger.backoff_until = float("-inf")

    def back_off(self, now: float, name: str, *, long: bool) -> None:
        """Send nothing to a merger for `FAILURE_BACKOFF_S` if `long`, else `REFUSAL_BACKOFF_S`."""
        until = now + (FAILURE_BACKOFF_S if long else REFUSAL_BACKOFF_S)
        merger = self._merger(name)
        merger.backoff_until = max(merger.backoff_until, until)

    def _merger(self, name: str) -> _Merger:
        return self._mergers.setdefault(name, _Merger())
