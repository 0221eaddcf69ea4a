"""A model of fan-outs on a clock of events, with the decisions in force that a variant names.

Terms:
  scenario   load and faults, the same for all variants and with the same seed
  variant    which decisions are in force; the baseline takes a random replica and never hedges

Flow: eight entries, each with a view of its own, send searches over ten shards with three replicas
of three slots each, as in the users' sizes. Each replica stands behind a `FairQueue` and a
`ServerLimiter`, as its owner has them. `World.run` plays one scenario with one variant.
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
PLACES: Final = tuple(f"dc{n}" for n in range(4))


@attrs.frozen(kw_only=True)
class Scenario:
    """Load and faults.

    Attributes:
        load: offered work as a share of what all slots can do.
        slow_replicas: replicas of each shard that are slow.
        slow_factor: how many times the service time such a one takes.
        straggle: share of answers that take 100 ms more, anywhere.
        failing_replicas: replicas of each shard that fail each sub-request within 0.5 ms.
    """

    name: str
    load: float
    slow_replicas: int = 0
    slow_factor: float = 10.0
    straggle: float = 0.0
    failing_replicas: int = 0


@attrs.frozen(kw_only=True)
class Variant:
    """Which decisions are in force."""

    name: str
    chooses: bool = False
    ejects: bool = False
    hedges: bool = False
    drops: bool = True
    admits: bool = False
    groups: bool = False
    hedge_options: HedgeOptions = attrs.field(factory=HedgeOptions)


@attrs.define(eq=False)
class _Sub:
    """One sub-request of a search, with all its attempts."""

    search: Search
    shard: str
    order: tuple[ReplicaView, ...] = ()
    attempts: list[_Attempt] = attrs.field(factory=list)
    done: bool = False


@attrs.define(eq=False)
class Search:
    """One search and what has become of it."""

    started: float
    left: int = SHARDS
    ended: float = 0.0
    admitted: bool = True
    queued_ms: float = 0.0
    pressed: bool = False
    settled: bool = False
    retries: RequestRetries = attrs.field(factory=RequestRetries)


@attrs.define(eq=False)
class _Attempt:
    sub: _Sub
    entry: _Entry
    server: _Server
    sent: float
    began: float = 0.0
    running: bool = False
    over: bool = False


class _Server:
    """A backend server behind its owner's queue and limit."""

    def __init__(self, clock: EventClock, name: str, place: str, world: World) -> None:
        self.name = name
        self.place = place
        # Two VMs in each data centre share its backend servers.
        self.owner = f"{place}-{int(name[0]) // 2 % 2}"
        self.slow = 1.0
        self.fails = False
        self._clock = clock
        self._world = world
        self._queue: FairQueue[_Attempt] = FairQueue()
        self._limiter = ServerLimiter(SLOTS, 1)
        self._limiter.on_takeover(0.0, WarmUpState(cap=SLOTS, baseline_ms=None))

    def submit(self, attempt: _Attempt) -> None:
        now = self._clock.now
        deadline = attempt.sub.search.started + DEADLINE_S
        pushed = self._queue.push(now, attempt, caller=attempt.entry.name, deadline=deadline)
        if isinstance(pushed, Pushed):
            for victim in pushed.evicted:
                self._give_up(victim)
        else:
            self._give_up(attempt)
        self._pump()

    def cancel(self, attempt: _Attempt) -> None:
        if attempt.over:
            return
        attempt.over = True
        if attempt.running:
            self._limiter.on_cancelled(self._clock.now)
            self._pump()
        else:
            self._queue.remove(attempt)

    def _pump(self) -> None:
        now = self._clock.now
        while self._limiter.may_start(now):
            expected = SERVICE_MS / 1000 if self._world.variant.drops else 0.0
            popped = self._queue.pop(now, expected_service=expected)
            for late in popped.expired:
                self._give_up(late)
            if popped.item is None:
                return
            self._start(popped.item)

    def _start(self, attempt: _Attempt) -> None:
        attempt.running = True
        attempt.began = self._clock.now
        self._limiter.on_start(self._clock.now)
        self._world.runs += 1
        self._clock.after(self._world.service_s(self), lambda: self._finish(attempt))

    def _finish(self, attempt: _Attempt) -> None:
        if attempt.over:
            return
        attempt.over = True
        served_ms = (self._clock.now - attempt.began) * 1000
        if self.fails:
            self._limiter.on_failure(self._clock.now, FailureKind.ERROR)
            self._clock.after(ONE_WAY_S, lambda: attempt.entry.on_failed(attempt))
        else:
            self._limiter.on_success(self._clock.now, served_ms)
            self._clock.after(ONE_WAY_S, lambda: attempt.entry.on_reply(attempt, served_ms))
        self._pump()

    def _give_up(self, attempt: _Attempt) -> None:
        attempt.over = True
        self._clock.after(ONE_WAY_S, lambda: attempt.entry.on_refused(attempt))


class _Entry:
    """An entry with a view of its own."""

    def __init__(self, clock: EventClock, name: str, place: str, world: World) -> None:
        self.name = name
        self.hedges = HedgePolicy(world.variant.hedge_options)
        self.admission = Admission()
        self.retry_budget = RetryBudget()
        self._retries = RetryPolicy(self.retry_budget)
        self._clock = clock
        self._place = place
        self._world = world
        self._outstanding: dict[str, int] = {}
        self._latency_ms: dict[str, float] = {}
        self._ejector = Ejector({s: [r.name for r in rs] for s, rs in world.shards.items()})

    def search(self) -> None:
        search = Search(started=self._clock.now)
        self._world.searches.append(search)
        if self._world.variant.admits:
            verdict = self.admission.decide(
                self._clock.now, caller="c", deadline_left_ms=DEADLINE_S * 1000
            )
            if isinstance(verdict, Refusal):
                search.admitted = False
                return
            self.admission.on_start("c")
            self._clock.after(DEADLINE_S, lambda: self._settle(search))
        self.hedges.on_first_attempt(SHARDS)
        self.retry_budget.on_first_attempt(SHARDS)
        owners: set[str] = set()
        for shard, servers in self._world.shards.items():
            sub = _Sub(search, shard)
            sub.order = self._order(servers, owners)
            owners.add(sub.order[0].owner)
            self._send(sub, sub.order[0])
        self._world.messages += len(owners)

    def on_reply(self, attempt: _Attempt, served_ms: float) -> None:
        now, sub = self._clock.now, attempt.sub
        self._outstanding[attempt.server.name] -= 1
        elapsed_ms = (now - attempt.sent) * 1000
        old_ms = self._latency_ms.get(attempt.server.name, elapsed_ms)
        self._latency_ms[attempt.server.name] = old_ms + 0.2 * (elapsed_ms - old_ms)
        self._ejector.on_success(now, attempt.server.name, served_ms)
        if attempt is sub.attempts[0]:
            waited_ms = (attempt.began - attempt.sent) * 1000
            self.hedges.observe(now, elapsed_ms, queued_ms=waited_ms)
        if sub.done:
            return
        sub.done = True
        queued_ms = (attempt.began - attempt.sent) * 1000
        sub.search.queued_ms = max(sub.search.queued_ms, queued_ms)
        sub.search.left -= 1
        if sub.search.left == 0:
            sub.search.ended = now
            self._settle(sub.search)
        for other in sub.attempts:
            if other is not attempt and not other.over:
                self._cancel(other)

    def on_failed(self, attempt: _Attempt) -> None:
        now, sub = self._clock.now, attempt.sub
        self._outstanding[attempt.server.name] -= 1
        self._ejector.on_failure(now, attempt.server.name)
        again = self._retries.decide(
            sub.search.retries,
            shard=sub.shard,
            kind=ErrorKind.BACKEND_FAILED,
            run=RunState.RAN,
            repeatable=True,
            left_ms=(sub.search.started + DEADLINE_S - now) * 1000,
            expected_ms=SERVICE_MS,
        )
        tried = {each.server.name for each in sub.attempts}
        untried = [view for view in sub.order if view.server not in tried]
        if again is not RetryClass.NEVER and not sub.done and untried:
            self._send(sub, untried[0])

    def on_refused(self, attempt: _Attempt) -> None:
        self._outstanding[attempt.server.name] -= 1
        attempt.sub.search.pressed = True

    def _settle(self, search: Search) -> None:
        if search.settled or not self._world.variant.admits:
            return
        search.settled = True
        pressed = search.pressed or search.left > 0
        self.admission.on_done(self._clock.now, "c", queued_ms=search.queued_ms, overloaded=pressed)

    def _cancel(self, attempt: _Attempt) -> None:
        now = self._clock.now
        elapsed_ms = (now - attempt.sent) * 1000
        self._outstanding[attempt.server.name] -= 1
        if attempt is attempt.sub.attempts[0]:
            self.hedges.observe_cancelled(now, elapsed_ms)
            self._ejector.on_cancelled(attempt.server.name, elapsed_ms)
            old_ms = self._latency_ms.get(attempt.server.name, elapsed_ms)
            self._latency_ms[attempt.server.name] = old_ms + 0.2 * max(0.0, elapsed_ms - old_ms)
        self._clock.after(ONE_WAY_S, lambda: attempt.server.cancel(attempt))

    def _order(self, servers: list[_Server], owners: set[str]) -> tuple[ReplicaView, ...]:
        u = self._world.random.random()
        views = [self._view(server) for server in servers]
        if self._world.variant.chooses:
            grouped = owners if self._world.variant.groups else ()
            return choose(views, now=self._clock.now, uniform=u, owners=grouped)
        first = int(u * len(views))
        return tuple(views[first:] + views[:first])

    def _view(self, server: _Server) -> ReplicaView:
        ejects = self._world.variant.ejects
        return ReplicaView(
            server=server.name,
            data_centre=server.place,
            owner=server.owner,
            is_local=server.place == self._place,
            is_ejected=ejects and not self._ejector.may_use(self._clock.now, server.name),
            latency_ms=self._latency_ms.get(server.name),
            outstanding=self._outstanding.get(server.name, 0),
            slots=SLOTS,
        )

    def _send(self, sub: _Sub, view: ReplicaView) -> None:
        server = self._world.servers[view.server]
        attempt = _Attempt(sub, self, server, self._clock.now)
        sub.attempts.append(attempt)
        self._outstanding[server.name] = self._outstanding.get(server.name, 0) + 1
        self._ejector.on_use(self._clock.now, server.name)
        self._clock.after(ONE_WAY_S, lambda: server.submit(attempt))
        if self._world.variant.hedges and len(sub.attempts) == 1:
            self._clock.after(self.hedges.delay_ms / 1000, lambda: self._hedge(sub))

    def _hedge(self, sub: _Sub) -> None:
        if sub.done:
            return
        first = sub.attempts[0]
        tried = {attempt.server.name for attempt in sub.attempts}
        target = hedge_target(sub.order, tried, now=self._clock.now)
        if target is None:
            return
        verdict = self.hedges.decide(
            elapsed_ms=math.inf,
            left_ms=(first.sub.search.started + DEADLINE_S - self._clock.now) * 1000,
            repeatable=True,
        )
        if verdict is HedgeVerdict.GO:
            self._send(sub, target)


class World:
    """All that one trial has, and what it counts."""

    def __init__(self, scenario: Scenario, variant: Variant, seed: int) -> None:
        self.scenario = scenario
        self.variant = variant
        self.random = random.Random(seed)
        self.clock = EventClock()
        self.searches: list[Search] = []
        self.runs = 0
        self.messages = 0
        self.shards: dict[str, list[_Server]] = {}
        for s in range(SHARDS):
            self.shards[f"{s}"] = [
                _Server(self.clock, f"{s}-{r}", PLACES[(s + r) % len(PLACES)], self)
                for r in range(REPLICAS)
            ]
            for server in self.shards[f"{s}"][: scenario.slow_replicas]:
                server.slow = scenario.slow_factor
            for server in self.shards[f"{s}"][: scenario.failing_replicas]:
                server.fails = True
        self.servers = {server.name: server for row in self.shards.values() for server in row}
        self.entries = [
            _Entry(self.clock, f"vm{n}", PLACES[n % len(PLACES)], self) for n in range(ENTRIES)
        ]

    def service_s(self, server: _Server) -> float:
        """Return how long one sub-request takes at a server."""
        if server.fails:
            return 0.0005
        service_ms = self.random.lognormvariate(math.log(SERVICE_MS), SIGMA) * server.slow
        if self.random.random() < self.scenario.straggle:
            service_ms += 100.0
        return service_ms / 1000

    def run(self, seconds: float) -> None:
        """Send searches for some seconds and let the last ones end."""
        mean_ms = SERVICE_MS * math.exp(SIGMA**2 / 2)
        rate = self.scenario.load * REPLICAS * SLOTS * 1000 / mean_ms
        arrivals = random.Random(7)
        time = 0.0
        while time < seconds:
            time += arrivals.expovariate(rate)
            self.clock.at(time, arrivals.choice(self.entries).search)
        self.clock.run(seconds + 2 * DEADLINE_S)


def search_ms(search: Search) -> float:
    """Return the time of an admitted search; one that is not whole counts with its deadline."""
    if search.left:
        return DEADLINE_S * 1000
    return min((search.ended - search.started) * 1000, DEADLINE_S * 1000)
