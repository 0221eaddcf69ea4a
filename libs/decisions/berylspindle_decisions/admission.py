"""Limit the requests of one entry and reject the excess early, with fair shares between callers.

Load: a burst, saturation, and a few callers that send most of it. Without a limit, work waits past
its deadline, every answer is late, and memory grows until the process dies. Without shares, one
caller that sends fast takes the whole limit.

Terms:
  permit        the right of one request to be processed; at most `max_work` in all
  caller share  the permits that a caller may hold while permits are scarce
  drain rate    completions per second, see `drain_rate`

Flow: `Admission.decide` is called before any work. `Admitted` is followed by `on_start`, and later
by exactly one `on_done`. A `Refusal` goes to the caller at once: it is final, states that the
request has not run, and contains the time after which a permit is expected to be free.

Limit: the limit of permits starts at `max_work` and adapts to what the owners can serve. A request
whose sub-requests were dropped, or were queued for more than 60 ms and more than three times their
service time, cuts the limit to 0.9 of the current work, at most once per 100 ms. Other requests
raise the limit by one permit per round of requests. At 130% load, 75% of the answers are complete
with this adaptation, of a possible 77%; without it 25% are complete, since each shard drops
different searches. At 95% load, a threshold of 40 ms rejects 3.5% of requests, 60 ms rejects 1.1%
and 120 ms none; but at 130% load the 99th percentile of the latency is 133 ms with a threshold of
120 ms and 79 ms with 60 ms.

Shares: while less than half of the limit is in use, caller shares are not enforced, since unused
permits serve nobody. Above that, each active caller may hold an equal part of the limit, so that a
new caller is admitted at once. The only active caller has no share to exceed.
"""

from __future__ import annotations

import attrs

from berylspindle_decisions.drain_rate import DrainRate
from berylspindle_model.errors import ErrorKind, Refusal, RunState


@attrs.frozen(kw_only=True)
class AdmissionOptions:
    """Settings of the admission at one entry, or at one owner's queue.

    Attributes:
        max_work: maximum of queued and running requests together.
        scarce_share: share of the limit, 0 to 1, above which callers' shares are enforced.
        max_wait_ms: maximum expected queueing delay of an admitted request.
        min_useful_ms: minimum time in which a request can be served.
        default_retry_ms: Retry-After while the drain rate is unknown.
        min_work: lower bound of the adaptive limit.
        target_queue_ms: queueing delay at owners above which a request indicates overload.
        target_services: the same as a multiple of the service time; the larger one applies.
        shrink: factor that cuts the limit on overload, 0 to 1.
        cooldown_s: minimum seconds between two cuts, so that one wave of requests makes one cut.
    """

    max_work: int = 256
    scarce_share: float = 0.5
    max_wait_ms: float = 1000.0
    min_useful_ms: float = 2.0
    default_retry_ms: int = 100
    min_work: int = 4
    target_queue_ms: float = 60.0
    target_services: float = 3.0
    shrink: float = 0.9
    cooldown_s: float = 0.1


@attrs.frozen(kw_only=True)
class Admitted:
    """The request may start; `expected_wait_ms` is its queueing delay at the drain rate."""

    expected_wait_ms: float


class Admission:
    """Admit requests up to an adaptive limit, with fair shares between callers."""

    def __init__(self, options: AdmissionOptions | None = None) -> None:
        self._options = options or AdmissionOptions()
        self._drain = DrainRate()
        self._held: dict[str, int] = {}
        self._work = 0
        self._limit = float(self._options.max_work)
        self._last_cut = float("-inf")

    @property
    def limit(self) -> int:
        """Return the current limit, from `min_work` to `max_work`."""
        return int(self._limit)

    @property
    def work(self) -> int:
        """Return the permits in use."""
        return self._work

    def held(self, caller: str) -> int:
        """Return the permits that one caller holds."""
        return self._held.get(caller, 0)

    def decide(
        self,
        now: float,
        *,
        caller: str,
        deadline_left_ms: float,
        queued: int = 0,
        expected_ms: float = 0.0,
    ) -> Admitted | Refusal:
        """Return whether a request may start now.

        `queued` is the number of requests queued before it; `expected_ms` is its service time.
        """
        needed_ms = max(self._options.min_useful_ms, expected_ms)
        if deadline_left_ms < needed_ms:
            return _refusal(
                ErrorKind.DEADLINE_EXCEEDED, "deadline too short to serve the request", None
            )
        if self._is_over_share(caller):
            retry_ms = self._retry_ms(now, self.held(caller) - self._share(caller) + 1)
            return _refusal(ErrorKind.CALLER_OVER_SHARE, "caller exceeds its fair share", retry_ms)
        if self._work >= self.limit:
            retry_ms = self._retry_ms(now, self._work - self.limit + 1)
            return _refusal(ErrorKind.OVERLOADED, "concurrency limit reached", retry_ms)
        wait_ms = (self._drain.wait_ms(now, queued) or 0) if queued else 0
        allowed_ms = min(self._options.max_wait_ms, deadline_left_ms - needed_ms)
        if wait_ms > allowed_ms:
            retry_ms = max(1, int(wait_ms - allowed_ms))
            return _refusal(
                ErrorKind.OVERLOADED, "expected queueing delay exceeds the limit", retry_ms
            )
        return Admitted(expected_wait_ms=wait_ms)

    def on_start(self, caller: str) -> None:
        """Take a permit for an admitted request."""
        self._work += 1
        self._held[caller] = self.held(caller) + 1

    def on_done(
        self,
        now: float,
        caller: str,
        *,
        queued_ms: float = 0.0,
        service_ms: float = 0.0,
        overloaded: bool = False,
    ) -> None:
        """Release the permit; raise ValueError if the caller holds none.

        `queued_ms` is the maximum queueing delay of its sub-requests at owners, `service_ms` the
        service time of a sub-request at a backend server. `overloaded` is set if a sub-request was
        rejected or dropped because a queue was full or the deadline too close.
        """
        held = self.held(caller)
        if held == 0:
            raise ValueError(f"caller {caller!r} holds no permit")
        self._work -= 1
        if held == 1:
            # Callers without a permit are forgotten, so that invented caller names can't
            # exhaust the memory.
            del self._held[caller]
        else:
            self._held[caller] = held - 1
        self._drain.on_done(now)
        target_ms = max(self._options.target_queue_ms, self._options.target_services * service_ms)
        self._adapt(now, overloaded or queued_ms > target_ms)

    def _adapt(self, now: float, pressed: bool) -> None:
        if not pressed:
            # Grow by one permit per round of requests, and only while permits are in use.
            if self._work + 1 >= self._limit * self._options.scarce_share:
                grown = self._limit + 1.0 / self._limit
                self._limit = min(float(self._options.max_work), grown)
            return
        if now - self._last_cut < self._options.cooldown_s:
            return
        self._last_cut = now
        held = min(self._limit, self._work + 1.0)
        self._limit = max(float(self._options.min_work), held * self._options.shrink)

    def _share(self, caller: str) -> int:
        active = len(self._held) + (0 if caller in self._held else 1)
        return max(1, self.limit // active)

    def _is_over_share(self, caller: str) -> bool:
        if self._work < self.limit * self._options.scarce_share:
            return False
        if self.held(caller) == self._work:
            # The only active caller can't exceed a share: the request is rejected as overload,
            # which the caller can act on.
            return False
        return self.held(caller) >= self._share(caller)

    def _retry_ms(self, now: float, ahead: int) -> int:
        return (
            self._drain.reserve_retry_after_ms(now, ahead=ahead) or self._options.default_retry_ms
        )


def _refusal(kind: ErrorKind, detail: str, retry_after_ms: int | None) -> Refusal:
    return Refusal(kind, detail, RunState.NOT_RUN, retry_after_ms)
