"""Admit a request whole or reject it at once, by the queueing delay at replicas.

Pattern of load: a burst, or replicas that turn slow, brings more than a service can serve. Without
rejections each replica's first-come queue grows until all answers are late. Dropping sub-requests
shard by shard would drop parts of other searches each time.

Terms:
  queueing delay  milliseconds that queues add to a sub-request now, at its best replica
  pressure        queueing delay of a request over its latency target; of a search, at the shard
                  that decides whether the least share of its parts is there
  group           requests that compete for the same replicas

Flow: `admits` is called once for each request, before any sub-request goes out. The rejected share
has a proportional term, the pressure that the request meets, and an integral term, which moves the
share until queues take `TARGET` of the latency target. `return_after_ms` is the Retry-After of a
rejected caller. Each VM decides by what it sees; the number of VMs is not needed.

Only time in queues counts: rejecting callers of a replica that is slow, paused or gone makes no
other answer sooner. Of the less urgent requests of a group at least `URGENT_FACTOR` times the share
of the more urgent ones is rejected, up to `MOST_HELD_BACK`, so that none is starved.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import attrs

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.replica_health import ReplicaHealth

REFUSE_FROM: Final = 0.65
REFUSE_ALL: Final = 1.05

TARGET: Final = 0.5
DRIFT: Final = 4.0
MOST_REFUSED: Final = 0.9
"""The share moves by so much a second for each aim that the queues take beyond the target."""

LEVEL_STEP: Final = 0.05
LEVEL_MEMORY: Final = 1.0
"""Seconds that one request stands for at most, under pressure and without: a VM that seldom gets
one is slow to refuse, and does not go on for seconds by what it saw in a burst."""

URGENT_FACTOR: Final = 2.0
MOST_HELD_BACK: Final = 0.75

URGENT_S: Final = 0.1
"""Seconds for which the share that is refused of the more urgent holds for the less urgent."""

RETURN_LEAST: Final = 0.05
RETURN_MOST: Final = 1 / 3
"""Parts of the time that a caller has left between which it is told to come back: sooner it meets
the same queues, later it would not come at all."""


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """What the gate needs to know of a request; 0 is the most urgent priority."""

    group: str
    priority: int
    pressure: float


@attrs.define
class _Level:
    """What is refused of one priority: the share that drifts, and the pressure that came last."""

    share: float = 0.0
    pressure: float = 0.0
    at: float = -math.inf

    @property
    def refused(self) -> float:
        """Return the share to refuse: what has drifted, and at least what the queues ask for."""
        return max(self.share, refused_share(self.pressure))

    def follow(self, now: float, pressure: float, *, drifts: bool) -> None:
        """Take the pressure that a request meets."""
        excess = pressure - TARGET if drifts else 0.0
        since = min(now - self.at, LEVEL_STEP if excess > 0.0 else LEVEL_MEMORY)
        self.share = min(MOST_REFUSED, max(0.0, self.share + DRIFT * excess * since))
        self.pressure, self.at = pressure, now


class AdmissionController:
    """The refusals of one VM; times are in seconds of the caller's clock."""

    def __init__(self, policy: ForwardPolicy = ForwardPolicy()) -> None:  # noqa: B008
        self._policy: Final = policy
        self._levels: Final[dict[str, dict[int, _Level]]] = {}

    def admits(self, now: float, request: AdmissionRequest, *, u: float) -> bool:
        """Tell whether a request begins; `u` is a random number in [0, 1)."""
        if not self._policy.refuses:
            return True
        levels = self._levels.setdefault(request.group, {})
        level = levels.setdefault(request.priority, _Level())
        level.follow(now, request.pressure, drifts=self._policy.drifts)
        share = level.refused
        if self._policy.urgent_first:
            share = max(share, _held_back(levels, request.priority, now))
        return u >= share


def _held_back(levels: Mapping[int, _Level], priority: int, now: float) -> float:
    """Return the share to refuse of a priority for the sake of more urgent ones."""
    urgent = [
        level.refused
        for rank, level in levels.items()
        if rank < priority and now - level.at < URGENT_S
    ]
    return min(URGENT_FACTOR * max(urgent, default=0.0), MOST_HELD_BACK)


def refused_share(pressure: float) -> float:
    """Return the share of requests that are refused at a pressure."""
    return min(1.0, max(0.0, (pressure - REFUSE_FROM) / (REFUSE_ALL - REFUSE_FROM)))


def added_ms_of(replicas: Iterable[ReplicaHealth], now: float, *, usual_ms: float) -> float:
    """Return what queues add to a sub-request at the best of these replicas, 0 where none is sound.

    Replicas that are cold, paused or failing are left out: waiting for them is no queue.
    """
    sound = [replica for replica in replicas if replica.is_sound(now)]
    idle_ms = [usual_ms * replica.pace(now) for replica in sound]
    loaded_ms = [
        idle + replica.added_ms(now, usual_ms=usual_ms)
        for idle, replica in zip(idle_ms, sound, strict=True)
    ]
    return min(loaded_ms, default=0.0) - min(idle_ms, default=0.0)


def pressure_of(added_ms: Sequence[float], *, least: int, aim_ms: float) -> float:
    """Return the pressure of a request over services with these added times.

    It needs `least` of them, so that the `least`-th in order decides.
    """
    if not added_ms:
        return 0.0
    return sorted(added_ms)[least - 1] / max(aim_ms, 1.0)


def return_after_ms(*, added_ms: float, left_ms: float, u: float) -> float:
    """Return after how many milliseconds a refused caller may come back.

    The queues of now are gone after their own time; callers are spread over what follows, by `u` in
    [0, 1), so that they do not come together.
    """
    latest = left_ms * RETURN_MOST
    earliest = min(latest, max(left_ms * RETURN_LEAST, added_ms))
    return math.floor(earliest + (latest - earliest) * u)
