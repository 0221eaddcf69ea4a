"""Track one replica as one VM sees it, and estimate the cost of sending it a sub-request.

Pattern of load: one replica of a shard is slow, paused, shedding or gone, among sound ones. Without
health each search over many shards meets such a replica in some shard, and waits for it.

Terms:
  pace       latency of the replica's answers over the usual latency of their routes; 1 is usual
  late       an attempt that has been out for longer than its hedge delay
  stalled    a replica whose oldest attempt is late
  held off   a replica that has refused or failed lately, until a time that doubles with each
  jump       an answer that took over `JUMP` times the replica's pace, as under a pause
  shed rate  share of the latest attempts that the replica refused or failed
  cost       what an attempt is expected to take, in usual latencies; the least is chosen
  explained  how many times as long an attempt should take for the queue that it was sent into; a
             latency counts against the pace only beyond that

Flow: `sent`, `answered`, `refused`, `failed` and `given_up` follow each attempt; `cost` is asked
for each choice. The load of other VMs comes from the replica's own reports (`load_estimate`).

Guards: one pause makes two or three answers late, so that a jump of a replica that was fast counts
once, and clipped. A replica that refuses half of its requests is free again after each success;
its shed rate keeps it from taking a third of the work. A pace is forgotten over `PACE_MEMORY`
seconds, for a replica that gets nothing shows nothing.
"""

from __future__ import annotations

import math
from typing import Final

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_decisions.load_estimate import LoadEstimate

PACE_UP: Final = 0.5
PACE_DOWN: Final = 0.25
PACE_MEMORY: Final = 4.0
MOST_PACE: Final = 20.0
JUMP: Final = 2.5
JUMP_S: Final = 0.1
FAST_S: Final = 0.6
STALLED: Final = 30.0
HELD_OFF: Final = 15.0
HOLD_FIRST: Final = 0.1
HOLD_MOST: Final = 3.0
LOCAL_SHARE: Final = 0.35
LOCAL_MOST: Final = 1.2
SPREAD: Final = 0.25
COLD_COST: Final = 1.6
SHED_COST: Final = 4.0
SHED_WEIGHT: Final = 0.2
SHED_MEMORY: Final = 5.0


class ReplicaHealth:
    """One replica as one VM knows it; times are in seconds of the caller's clock."""

    def __init__(
        self, *, slots: int, is_local: bool, policy: ForwardPolicy = ForwardPolicy()  # noqa: B008
    ) -> None:
        self._policy: Final = policy
        self.slots = max(1, slots)
        self.is_local = is_local and policy.prefers_near
        self.cold_until = -math.inf
        self._pace = 1.0
        self._pace_at = -math.inf
        self._jump_until = -math.inf
        self._fast_at = -math.inf
        # When each attempt that is out turns late, and when its queue no longer explains that, in
        # the order in which they were sent.
        self._out: dict[object, tuple[float, float]] = {}
        self._held_until = -math.inf
        self._refused_until = -math.inf
        self._holds = 0
        self._shed = 0.0
        self._shed_at = -math.inf
        self._others: Final = LoadEstimate(minds_mean=policy.estimate_load)

    @property
    def outstanding(self) -> int:
        """Return how many attempts are out."""
        return len(self._out)

    def pace(self, now: float) -> float:
        """Return the pace, as far as it is remembered."""
        age = now - self._pace_at
        if not self._policy.learns_pace or age > 4 * PACE_MEMORY:
            return 1.0
        return 1.0 + (self._pace - 1.0) * math.exp(-max(0.0, age) / PACE_MEMORY)

    def shed_rate(self, now: float) -> float:
        """Return the share of attempts that it refused or failed, as far as it is remembered."""
        if self._shed == 0.0 or not self._policy.learns_sheds:
            return 0.0
        return self._shed * math.exp(-max(0.0, now - self._shed_at) / SHED_MEMORY)

    def is_stalled(self, now: float) -> bool:
        """Tell whether the replica answers nothing just now."""
        for late_at, _ in self._out.values():
            return late_at <= now
        return False

    def is_held_off(self, now: float) -> bool:
        """Tell whether the replica has refused or failed lately."""
        return now < self._held_until

    def sent(self, attempt: object, *, late_at: float, unexplained_at: float | None = None) -> None:
        """Note an attempt that goes out, and from when on not even a queue explains its silence."""
        self._out[attempt] = (late_at, late_at if unexplained_at is None else unexplained_at)

    def answered(self, now: float, attempt: object, *, ratio: float) -> None:
        """Note an answer; `ratio` is its latency over the usual one of its route."""
        self._out.pop(attempt, None)
        self._holds = 0
        self._learn(now, ratio)
        self._note_shed(now, 0.0)

    def refused(self, now: float, attempt: object, *, wait: float = 0.0) -> None:
        """Note a refusal that did not run; `wait` is the time that the replica asked for."""
        self._out.pop(attempt, None)
        self._hold(now, wait)
        self._refused_until = self._held_until

    def failed(self, now: float, attempt: object) -> None:
        """Note a failure: a lost connection, a broken reply, a fault of the replica."""
        self._out.pop(attempt, None)
        self._hold(now, 0.0)

    def given_up(self, now: float, attempt: object, *, ratio: float) -> None:
        """Note an attempt that was given up unanswered after `ratio` usual latencies."""
        if self._out.pop(attempt, None) is None:
            return
        if ratio > self.pace(now):
            self._learn(now, ratio)
        if ratio > STALLED / 2:
            self._hold(now, 0.0)

    def withdrawn(self, attempt: object) -> None:
        """Note an attempt that never went out after all."""
        self._out.pop(attempt, None)

    def reported(self, now: float, *, running: int, waiting: int, slots: int) -> None:
        """Take what the replica says of its load, of all callers together."""
        self.slots = max(1, slots)
        self._others.reported(now, total=running + waiting, own=len(self._out))

    def busy(self, now: float) -> float:
        """Return how many requests of all VMs are expected to be there."""
        return len(self._out) + self._others.at(now)

    def has_free_slot(self, now: float) -> bool:
        """Tell whether one more request would begin at once."""
        return self.busy(now) < self.slots

    def added_ms(self, now: float, *, usual_ms: float) -> float:
        """Return what waiting adds to one more attempt: in its queue, or until it takes any."""
        queue_ms = usual_ms * self.pace(now) * self._queued(now)
        return max(queue_ms, (self._refused_until - now) * 1000)

    def explained(self, now: float) -> float:
        """Return how many times as long as at a free replica one more attempt should take."""
        return 1.0 + self._queued(now)

    def is_sound(self, now: float) -> bool:
        """Tell whether it is neither cold, nor silent for no queue's sake, nor failing."""
        if now < self.cold_until:
            return False
        for _, unexplained_at in self._out.values():
            if unexplained_at <= now:
                return False
            break
        return not self.is_held_off(now) or self._refused_until >= self._held_until

    def _queued(self, now: float) -> float:
        return max(0.0, self.busy(now) + 1.0 - self.slots) / self.slots

    def cost(self, now: float, *, u: float) -> float:
        """Return what one more attempt is expected to take, in usual latencies.

        `u` is a random number in [0, 1), which spreads VMs that know the same.
        """
        busy = self.busy(now)
        cost = self.pace(now) * self.explained(now) + SPREAD * (busy / self.slots + 0.2 * u)
        if now < self.cold_until:
            cost *= COLD_COST
        if self.is_local:
            cost -= min((1.0 - LOCAL_SHARE) * cost, LOCAL_MOST)
        if self.is_stalled(now):
            cost += STALLED
        if now < self._held_until:
            cost += HELD_OFF
        return cost + SHED_COST * self.shed_rate(now)

    def _learn(self, now: float, ratio: float) -> None:
        pace = self.pace(now)
        if ratio <= JUMP * pace:
            self._fast_at = now
        elif self._policy.clips_jumps and now - self._fast_at < FAST_S:
            if now < self._jump_until:
                return
            self._jump_until = now + JUMP_S
            ratio = JUMP * pace
        weight = PACE_UP if ratio > pace else PACE_DOWN
        self._pace = pace + weight * (min(ratio, MOST_PACE) - pace)
        self._pace_at = now

    def _note_shed(self, now: float, value: float) -> None:
        rate = self.shed_rate(now)
        self._shed = rate + SHED_WEIGHT * (value - rate)
        self._shed_at = now

    def _hold(self, now: float, wait: float) -> None:
        self._note_shed(now, 1.0)
        if now >= self._held_until:
            self._holds = min(self._holds + 1, 8)
        pause = min(HOLD_MOST, HOLD_FIRST * 2.0 ** (self._holds - 1))
        self._held_until = max(self._held_until, now + max(pause, min(wait, HOLD_MOST)))
