"""Discrete-event simulation of scatter-gather searches with a configurable set of decisions.

Terms:
  scenario   load and faults; the same for all variants, with the same seed
  variant    the decisions that are enabled; the baseline sends to a random replica and never hedges

Flow: eight entries, each with its own latency estimates, send searches to ten shards with three
replicas of three slots each, the sizes of the users' deployments. Each replica has a `FairQueue`
and a `ServerLimiter`, as at its owner. `Simulation.run` simulates one scenario with one variant.
"""

from __future__ import annotations

import math
import random
from typing import Final

import attrs

from berylspindle_bench.event_clock import EventClock
from berylspindle_decisions.admission import Admission
from berylspindle_decisions.budget import RequestRetries, RetryBudget, RetryClass, RetryPolicy
from berylspindle_decisions.concurrency import FailureKind, ServerLimiter, WarmUpState
from berylspindle_decisions.ejection import Ejector
from berylspindle_decisions.fair_queue import FairQueue, Pushed
from berylspindle_decisions.hedging import HedgeOptions, HedgePolicy, HedgeVerdict
from berylspindle_decisions.replica_choice import ReplicaView, choose, hedge_target
from berylspindle_model.errors import ErrorKind, Refusal, RunState

ENTRIES: Final = 8
SHARDS: Final = 10
REPLICAS: Final = 3
SLOTS: Final = 3
SERVICE_MS: Final = 5.0
SIGMA: Final = 0.4
DEADLINE_S: Final = 0.5
ONE_WAY_S: Final = 0.0005
DATA_CENTRES: Final = tuple(f"dc{n}" for n in range(4))


@attrs.frozen(kw_only=True)
class Scenario:
    """Load and faults.

    Attributes:
        load: offered work as a share of the capacity of all slots.
        slow_replicas: number of slow replicas of each shard.
        slow_factor: multiplier of the service time of a slow replica.
        straggler_share: share of replies that take 100 ms longer, at any replica.
        failing_replicas: number of replicas of each shard that fail each sub-request after 0.5 ms.
    """

    name: str
    load: float
    slow_replicas: int = 0
    slow_factor: float = 10.0
    straggler_share: float = 0.0
    failing_replicas: int = 0


@attrs.frozen(kw_only=True)
class Variant:
    """Enabled decisions."""

    name: str
    ranks_replicas: bool = False
    ejects: bool = False
    hedges: bool = False
    drops_expired: bool = True
    admits_by_load: bool = False
    groups_by_owner: bool = False
    hedge_options: HedgeOptions = attrs.field(factory=HedgeOptions)


@attrs.define(eq=False)
class _SubRequest:
    """A sub-request of a search with its attempts."""

    search: Search
    shard: str
    order: tuple[ReplicaView, ...] = ()
    attempts: list[_Attempt] = attrs.field(factory=list)
    is_answered: bool = False


@attrs.define(eq=False)
class Search:
    """A search and its state."""

    started: float
    shards_left: int = SHARDS
    ended: float = 0.0
    admitted: bool = True
    queued_ms: float = 0.0
    overloaded: bool = False
    is_reported: bool = False
    retries: RequestRetries = attrs.field(factory=RequestRetries)


@attrs.define(eq=False)
class _Attempt:
    sub_request: _SubRequest
    entry: _Entry
    server: _Server
    sent: float
    started: float = 0.0
    is_running: bool = False
    is_finished: bool = False


class _Server:
    """A backend server with the queue and the concurrency limit of its owner."""

    def __init__(
        self, clock: EventClock, name: str, data_centre: str, simulation: Simulation
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        # Each data centre has two VMs that own its backend servers.
        self.owner = f"{data_centre}-{int(name[0]) // 2 % 2}"
        self.slow = 1.0
        self.fails = False
        self._clock = clock
        self._simulation = simulation
        self._queue: FairQueue[_Attempt] = FairQueue()
        self._limiter = ServerLimiter(SLOTS, 1)
        self._limiter.on_takeover(0.0, WarmUpState(cap=SLOTS, baseline_ms=None))

    def submit(self, attempt: _Attempt) -> None:
        now = self._clock.now
        deadline = attempt.sub_request.search.started + DEADLINE_S
        pushed = self._queue.push(now, attempt, caller=attempt.entry.name, deadline=deadline)
        if isinstance(pushed, Pushed):
            for evicted in pushed.evicted:
                self._refuse(evicted)
        else:
            self._refuse(attempt)
        self._start_waiting()

    def cancel(self, attempt: _Attempt) -> None:
        if attempt.is_finished:
            return
        attempt.is_finished = True
        if attempt.is_running:
            self._limiter.on_cancelled(self._clock.now)
            self._start_waiting()
        else:
            self._queue.remove(attempt)

    def _start_waiting(self) -> None:
        now = self._clock.now
        while self._limiter.may_start(now):
            expected = SERVICE_MS / 1000 if self._simulation.variant.drops_expired else 0.0
            popped = self._queue.pop(now, expected_service=expected)
            for late in popped.expired:
                self._refuse(late)
            if popped.item is None:
                return
            self._start(popped.item)

    def _start(self, attempt: _Attempt) -> None:
        attempt.is_running = True
        attempt.started = self._clock.now
        self._limiter.on_start(self._clock.now)
        self._simulation.runs += 1
        self._clock.after(self._simulation.service_s(self), lambda: self._finish(attempt))

    def _finish(self, attempt: _Attempt) -> None:
        if attempt.is_finished:
            return
        attempt.is_finished = True
        served_ms = (self._clock.now - attempt.started) * 1000
        if self.fails:
            self._limiter.on_failure(self._clock.now, FailureKind.ERROR)
            self._clock.after(ONE_WAY_S, lambda: attempt.entry.on_failed(attempt))
        else:
            self._limiter.on_success(self._clock.now, served_ms)
            self._clock.after(ONE_WAY_S, lambda: attempt.entry.on_reply(attempt, served_ms))
        self._start_waiting()

    def _refuse(self, attempt: _Attempt) -> None:
        attempt.is_finished = True
        self._clock.after(ONE_WAY_S, lambda: attempt.entry.on_refused(attempt))


class _Entry:
    """An entry with its own estimates, budgets and admission control."""

    def __init__(
        self, clock: EventClock, name: str, data_centre: str, simulation: Simulation
    ) -> None:
        self.name = name
        self.hedges = HedgePolicy(simulation.variant.hedge_options)
        self.admission = Admission()
        self.retry_budget = RetryBudget()
        self._retries = RetryPolicy(self.retry_budget)
        self._clock = clock
        self._data_centre = data_centre
        self._simulation = simulation
        self._outstanding: dict[str, int] = {}
        self._latency_ms: dict[str, float] = {}
        self._ejector = Ejector({s: [r.name for r in rs] for s, rs in simulation.shards.items()})

    def search(self) -> None:
        search = Search(started=self._clock.now)
        self._simulation.searches.append(search)
        if self._simulation.variant.admits_by_load:
            verdict = self.admission.decide(
                self._clock.now, caller="c", deadline_left_ms=DEADLINE_S * 1000
            )
            if isinstance(verdict, Refusal):
                search.admitted = False
                return
            self.admission.on_start("c")
            self._clock.after(DEADLINE_S, lambda: self._report_done(search))
        self.hedges.on_first_attempt(SHARDS)
        self.retry_budget.on_first_attempt(SHARDS)
        owners: set[str] = set()
        for shard, servers in self._simulation.shards.items():
            sub_request = _SubRequest(search, shard)
            sub_request.order = self._order(servers, owners)
            owners.add(sub_request.order[0].owner)
            self._send(sub_request, sub_request.order[0])
        self._simulation.messages += len(owners)

    def on_reply(self, attempt: _Attempt, served_ms: float) -> None:
        now, sub_request = self._clock.now, attempt.sub_request
        self._outstanding[attempt.server.name] -= 1
        elapsed_ms = (now - attempt.sent) * 1000
        old_ms = self._latency_ms.get(attempt.server.name, elapsed_ms)
        self._latency_ms[attempt.server.name] = old_ms + 0.2 * (elapsed_ms - old_ms)
        self._ejector.on_success(now, attempt.server.name, served_ms)
        if attempt is sub_request.attempts[0]:
            waited_ms = (attempt.started - attempt.sent) * 1000
            self.hedges.observe(now, elapsed_ms, queued_ms=waited_ms)
        if sub_request.is_answered:
            return
        sub_request.is_answered = True
        queued_ms = (attempt.started - attempt.sent) * 1000
        sub_request.search.queued_ms = max(sub_request.search.queued_ms, queued_ms)
        sub_request.search.shards_left -= 1
        if sub_request.search.shards_left == 0:
            sub_request.search.ended = now
            self._report_done(sub_request.search)
        for other in sub_request.attempts:
            if other is not attempt and not other.is_finished:
                self._cancel(other)

    def on_failed(self, attempt: _Attempt) -> None:
        now, sub_request = self._clock.now, attempt.sub_request
        self._outstanding[attempt.server.name] -= 1
        self._ejector.on_failure(now, attempt.server.name)
        retry_class = self._retries.decide(
            sub_request.search.retries,
            shard=sub_request.shard,
            kind=ErrorKind.BACKEND_FAILED,
            run=RunState.RAN,
            repeatable=True,
            left_ms=(sub_request.search.started + DEADLINE_S - now) * 1000,
            expected_ms=SERVICE_MS,
        )
        tried = {attempt.server.name for attempt in sub_request.attempts}
        untried = [view for view in sub_request.order if view.server not in tried]
        if retry_class is not RetryClass.NEVER and not sub_request.is_answered and untried:
            self._send(sub_request, untried[0])

    def on_refused(self, attempt: _Attempt) -> None:
        self._outstanding[attempt.server.name] -= 1
        attempt.sub_request.search.overloaded = True

    def _report_done(self, search: Search) -> None:
        if search.is_reported or not self._simulation.variant.admits_by_load:
            return
        search.is_reported = True
        overloaded = search.overloaded or search.shards_left > 0
        self.admission.on_done(
            self._clock.now, "c", queued_ms=search.queued_ms, overloaded=overloaded
        )

    def _cancel(self, attempt: _Attempt) -> None:
        now = self._clock.now
        elapsed_ms = (now - attempt.sent) * 1000
        self._outstanding[attempt.server.name] -= 1
        if attempt is attempt.sub_request.attempts[0]:
            self.hedges.observe_cancelled(now, elapsed_ms)
            self._ejector.on_cancelled(attempt.server.name, elapsed_ms)
            old_ms = self._latency_ms.get(attempt.server.name, elapsed_ms)
            self._latency_ms[attempt.server.name] = old_ms + 0.2 * max(0.0, elapsed_ms - old_ms)
        self._clock.after(ONE_WAY_S, lambda: attempt.server.cancel(attempt))

    def _order(self, servers: list[_Server], owners: set[str]) -> tuple[ReplicaView, ...]:
        uniform = self._simulation.rng.random()
        views = [self._view(server) for server in servers]
        if self._simulation.variant.ranks_replicas:
            grouped = owners if self._simulation.variant.groups_by_owner else ()
            return choose(views, now=self._clock.now, uniform=uniform, owners=grouped)
        first = int(uniform * len(views))
        return tuple(views[first:] + views[:first])

    def _view(self, server: _Server) -> ReplicaView:
        ejects = self._simulation.variant.ejects
        return ReplicaView(
            server=server.name,
            data_centre=server.data_centre,
            owner=server.owner,
            is_local=server.data_centre == self._data_centre,
            is_ejected=ejects and not self._ejector.may_use(self._clock.now, server.name),
            latency_ms=self._latency_ms.get(server.name),
            outstanding=self._outstanding.get(server.name, 0),
            slots=SLOTS,
        )

    def _send(self, sub_request: _SubRequest, view: ReplicaView) -> None:
        server = self._simulation.servers[view.server]
        attempt = _Attempt(sub_request, self, server, self._clock.now)
        sub_request.attempts.append(attempt)
        self._outstanding[server.name] = self._outstanding.get(server.name, 0) + 1
        self._ejector.on_use(self._clock.now, server.name)
        self._clock.after(ONE_WAY_S, lambda: server.submit(attempt))
        if self._simulation.variant.hedges and len(sub_request.attempts) == 1:
            self._clock.after(self.hedges.delay_ms / 1000, lambda: self._hedge(sub_request))

    def _hedge(self, sub_request: _SubRequest) -> None:
        if sub_request.is_answered:
            return
        first = sub_request.attempts[0]
        tried = {attempt.server.name for attempt in sub_request.attempts}
        target = hedge_target(sub_request.order, tried, now=self._clock.now)
        if target is None:
            return
        verdict = self.hedges.decide(
            elapsed_ms=math.inf,
            left_ms=(first.sub_request.search.started + DEADLINE_S - self._clock.now) * 1000,
            repeatable=True,
        )
        if verdict is HedgeVerdict.GO:
            self._send(sub_request, target)


class Simulation:
    """Clock, servers, entries and counters of one simulation."""

    def __init__(self, scenario: Scenario, variant: Variant, seed: int) -> None:
        self.scenario = scenario
        self.variant = variant
        self.rng = random.Random(seed)
        self.clock = EventClock()
        self.searches: list[Search] = []
        self.runs = 0
        self.messages = 0
        self.shards: dict[str, list[_Server]] = {}
        for s in range(SHARDS):
            self.shards[f"{s}"] = [
                _Server(self.clock, f"{s}-{r}", DATA_CENTRES[(s + r) % len(DATA_CENTRES)], self)
                for r in range(REPLICAS)
            ]
            for server in self.shards[f"{s}"][: scenario.slow_replicas]:
                server.slow = scenario.slow_factor
            for server in self.shards[f"{s}"][: scenario.failing_replicas]:
                server.fails = True
        self.servers = {server.name: server for row in self.shards.values() for server in row}
        self.entries = [
            _Entry(self.clock, f"vm{n}", DATA_CENTRES[n % len(DATA_CENTRES)], self)
            for n in range(ENTRIES)
        ]

    def service_s(self, server: _Server) -> float:
        """Draw the service time of a sub-request at a server, in seconds."""
        if server.fails:
            return 0.0005
        service_ms = self.rng.lognormvariate(math.log(SERVICE_MS), SIGMA) * server.slow
        if self.rng.random() < self.scenario.straggler_share:
            service_ms += 100.0
        return service_ms / 1000

    def run(self, seconds: float) -> None:
        """Send searches for `seconds` and wait until the last ones have ended."""
        mean_ms = SERVICE_MS * math.exp(SIGMA**2 / 2)
        rate = self.scenario.load * REPLICAS * SLOTS * 1000 / mean_ms
        arrivals = random.Random(7)
        time = 0.0
        while time < seconds:
            time += arrivals.expovariate(rate)
            self.clock.at(time, arrivals.choice(self.entries).search)
        self.clock.run(seconds + 2 * DEADLINE_S)


def search_ms(search: Search) -> float:
    """Return the latency of an admitted search in ms, the deadline for an incomplete one."""
    if search.shards_left:
        return DEADLINE_S * 1000
    return min((search.ended - search.started) * 1000, DEADLINE_S * 1000)
