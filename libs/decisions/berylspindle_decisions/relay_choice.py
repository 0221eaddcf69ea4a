"""Whether a VM passes a request over many shards to a bigger one, or to one near the replicas.

Pattern of load: a balancer that spreads callers evenly over VMs of half a core with 20 Mbit/s and
of two cores with 200. A request over 36 shards takes 20 ms of a core and brings 40 KB of parts, of
which a kilobyte goes to the caller. On a small VM its parts queue on the VM's own link and
processor, its hedges are sent for delays of the VM's own making, and half of its time is gone. A
data centre without replicas of the shards gets each part over the links between data centres: 42
requests and parts for one answer of a kilobyte.

Terms:
  bears     what a VM can work on, in cores; less where its link is what binds it
  merger    the bigger VM that carries a request out and merges its parts
  missing   share of a request's shards that have no usable replica in a VM's data centre
  load      requests that a merger has under way, as it said last, and those sent since
  doubted   a merger that failed, refused or was slow, until a time

Flow: `pick` is asked for each request over shards; `sent`, `answered` and `failed` follow it. The
request goes where the work under way over what the VM bears is least, and `FAR_COST` for what is
missing; the own VM counts like any.

Thresholds: only a VM that bears `BIGGER` times as much is asked, since the hop costs about a
millisecond on both, or one that bears as much where less is missing by `NEARER`: what came from
there part by part comes as one answer. A merger that failed is left alone for `DOUBT_LONG`, as long
as a process takes to start and load; one that refused, or is late by the route's whole aim, for
`DOUBT_SHORT`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

BIGGER: Final = 2.0
DOUBT_LONG: Final = 3.0
DOUBT_SHORT: Final = 1.0
NEARER: Final = 0.5
FAR_COST: Final = 8.0
"""Requests under way for each core by which a merger near the replicas may be busier than this VM;
a request takes a merger some 20 ms of a core."""

LOAD_FRESH: Final = 0.5
"""Seconds for which a merger's word of its load counts; its requests take some tenths of them."""

MBPS_PER_CORE: Final = 16.0
"""Link that keeps one core busy: 45 requests over 36 shards a second bring 2 MB in."""


@attrs.frozen
class RelayVm:
    """Another VM; `missing` is 0 where its data centre has a replica of each shard."""

    name: str
    bears: float
    missing: float = 0.0


@attrs.define
class _Merger:
    outstanding: int = 0
    load: float = 0.0
    load_at: float = float("-inf")
    doubted_until: float = float("-inf")


def bears_of(*, cores: float, link_mbps: float) -> float:
    """Return what a VM bears, in cores."""
    return max(0.01, min(cores, link_mbps / MBPS_PER_CORE))


def least_merger(bears: Iterable[float]) -> float:
    """Return what a VM must bear to merge the requests of other data centres.

    The bigger VMs do; where all are alike, any does.
    """
    known = list(bears)
    least = min(known, default=0.0)
    return BIGGER * least if max(known, default=0.0) >= BIGGER * least else least


def count_alike(own: float, others: Mapping[float, int]) -> int:
    """Return by how many VMs like this one what all VMs share is to be divided.

    `others` counts the other VMs by what they bear.

    What a replica takes of all VMs together (connections, extra arrivals, requests while it is
    cold) is mostly used by the mergers. So they have one half of it, and the other VMs the other;
    divided by 81 each VM would have one connection to a replica, and on a merger searches would
    wait for each other. Of VMs that are all alike each has its even part.
    """
    least = min((own, *others))
    known = 1 + sum(others.values())
    mergers = (own >= BIGGER * least) + sum(
        count for bears, count in others.items() if bears >= BIGGER * least
    )
    if not mergers:
        return known
    return 2 * mergers if own >= BIGGER * least else 2 * (known - mergers)


class RelayChoice:
    """What one VM knows of the bigger ones; times are seconds of its clock."""

    def __init__(self, bears: float) -> None:
        self._bears: Final = bears
        self._mergers: dict[str, _Merger] = {}

    def pick(
        self,
        now: float,
        vms: Iterable[RelayVm],
        *,
        in_flight: int,
        u: float,
        missing: float = 0.0,
    ) -> str | None:
        """Return the merger for a request, or None where this VM carries it out itself.

        `in_flight` is what this VM works on, with the request, and `missing` what its own data
        centre lacks; `u` in [0, 1) spreads VMs that know the same.
        """
        best, best_cost = None, in_flight / self._bears + FAR_COST * missing
        for vm in vms:
            is_nearer = vm.missing <= missing - NEARER
            if vm.bears < self._bears * (1.0 if is_nearer else BIGGER):
                continue
            merger = self._mergers.get(vm.name) or _Merger()
            if now < merger.doubted_until:
                continue
            load = merger.load if now - merger.load_at < LOAD_FRESH else 0.0
            cost = (max(load, merger.outstanding) + 1.0 + 0.2 * u) / vm.bears
            cost += FAR_COST * vm.missing
            if cost < best_cost:
                best, best_cost = vm.name, cost
        return best

    def sent(self, name: str) -> None:
        """Note a request that goes to a merger."""
        self._of(name).outstanding += 1

    def ended(self, name: str) -> None:
        """Note that a request is over, however it ended."""
        self._of(name).outstanding -= 1

    def reported(self, now: float, name: str, load: float) -> None:
        """Take what a merger says of its work under way."""
        merger = self._of(name)
        merger.load, merger.load_at = load, now
        merger.doubted_until = float("-inf")

    def doubt(self, now: float, name: str, *, long: bool) -> None:
        """Send nothing to a merger for a while."""
        until = now + (DOUBT_LONG if long else DOUBT_SHORT)
        merger = self._of(name)
        merger.doubted_until = max(merger.doubted_until, until)

    def _of(self, name: str) -> _Merger:
        return self._mergers.setdefault(name, _Merger())
