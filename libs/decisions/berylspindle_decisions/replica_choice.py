"""Choose a backend server for each shard of a scatter-gather.

A random choice sends a third of all sub-requests to the slow one of three replicas, and over ten
shards nearly every response waits for a slow one. If all entry VMs choose the replica with the best
score, they overload it together.

Terms:
  score        expected milliseconds until the response: queueing, service time and round trip
  grouping     preferring a replica whose owner gets a message for this request anyway
  last resort  a replica that is tried only after the other replicas of its shard

Flow: the entry VM calls `choose` for each shard with the state of the replicas, a random number and
the owners chosen so far. The first replica of the returned order gets the sub-request, the others
are for hedged requests and retries.

Thresholds: of two replicas drawn at random, the one with the better score is chosen, so that entry
VMs with the same stale state spread over at least two replicas. The round trip to another data
centre costs 1 ms, so even a short queue at a local replica makes a remote one better. Grouping is
worth 2 ms: a search over ten shards then needs 4.8 messages instead of 5.6, without an effect on
the 99th percentile latency; with 4 ms, that latency rises at 70% load. Retired servers, and servers
of data centres that are out, get nothing even if a shard has no other replica left: the guarantee
that they get no new work outweighs the loss of one shard.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs


@attrs.frozen(kw_only=True)
class ChoiceOptions:
    """Components of the score, in milliseconds.

    Attributes:
        remote_ms: round trip to another data centre.
        grouping_ms: reduction of the score if `grouping` applies.
        default_latency_ms: assumed latency of a server without a response so far.
    """

    remote_ms: float = 1.0
    grouping_ms: float = 2.0
    default_latency_ms: float = 5.0


@attrs.frozen(kw_only=True)
class ReplicaView:
    """The state of one replica as known to an entry VM.

    Attributes:
        server: id of the backend server.
        data_centre: data centre of the server.
        owner: id of the VM that owns it.
        is_local: whether it is in the entry VM's own data centre.
        is_reachable: whether its owner is reachable from the entry VM.
        is_usable: False for a retired or draining server, or a data centre that is out.
        is_ejected: whether `ejection` excludes it, or allows no trial now.
        holds_snapshot: whether it holds the pinned snapshot; None if not known.
        latency_ms: smoothed latency of its responses; None without one so far.
        outstanding: attempts of this entry VM without a response yet.
        slots: number of requests that it executes concurrently.
        refused_until: end of the Retry-After that it or its owner requested.
    """

    server: str
    data_centre: str
    owner: str
    is_local: bool = False
    is_reachable: bool = True
    is_usable: bool = True
    is_ejected: bool = False
    holds_snapshot: bool | None = None
    latency_ms: float | None = None
    outstanding: int = 0
    slots: int = 1
    refused_until: float = float("-inf")


def choose(
    candidates: Sequence[ReplicaView],
    *,
    now: float,
    uniform: float,
    owners: Collection[str] = (),
    options: ChoiceOptions | None = None,
) -> tuple[ReplicaView, ...]:
    """Return the usable replicas in the order in which to try them.

    `uniform` is a uniform random number in [0, 1). The result is empty if no replica may be used
    (NO_REPLICA).
    """
    chosen = options or ChoiceOptions()
    usable = [view for view in candidates if view.is_usable]
    if len(usable) < 2:
        return tuple(usable)
    ranked = sorted(
        (_last_resort_rank(view, now), _score(view, owners, chosen), view.server, index)
        for index, view in enumerate(usable)
    )
    best_rank = ranked[0][0]
    equally_ranked = sum(1 for entry in ranked if entry[0] == best_rank)
    ranked.insert(0, ranked.pop(_pick_of_two(equally_ranked, uniform)))
    return tuple(usable[entry[3]] for entry in ranked)


def _pick_of_two(count: int, u: float) -> int:
    """Return the lower of two distinct indices below `count`, drawn by one random number."""
    if count < 3:
        # Both of two are drawn, and the better one wins.
        return 0
    pairs = count * (count - 1) // 2
    pair = min(int(u * pairs), pairs - 1)
    first = 0
    # Pairs are numbered by their lower index: count-1 of them have index 0, count-2 index 1.
    while pair >= count - 1 - first:
        pair -= count - 1 - first
        first += 1
    return first


def _last_resort_rank(view: ReplicaView, now: float) -> int:
    """Return the rank of a replica as a last resort; lower ranks are tried first."""
    if view.is_ejected or not view.is_reachable:
        return 3
    if now < view.refused_until:
        return 2
    if view.holds_snapshot is False:
        # It can only respond SNAPSHOT_GONE; a replica of unknown state may hold the snapshot.
        return 1
    return 0


def _score(view: ReplicaView, owners: Collection[str], options: ChoiceOptions) -> float:
    latency_ms = view.latency_ms if view.latency_ms is not None else options.default_latency_ms
    rounds = 1 + view.outstanding / max(1, view.slots)
    score = latency_ms * rounds
    if not view.is_local:
        score += options.remote_ms
    if view.owner in owners:
        score -= options.grouping_ms
    return score


def hedge_target(
    order: Sequence[ReplicaView], tried: Collection[str], *, now: float
) -> ReplicaView | None:
    """Return the replica for a hedged request: an untried one, if possible in another data centre.

    A data centre that is isolated or slow as a whole delays the second attempt too. Last resorts
    get no hedged requests, as these would add load to replicas in trouble.
    """
    untried = [v for v in order if v.server not in tried and _last_resort_rank(v, now) == 0]
    used = {view.data_centre for view in order if view.server in tried}
    elsewhere = [view for view in untried if view.data_centre not in used]
    return next(iter(elsewhere or untried), None)
