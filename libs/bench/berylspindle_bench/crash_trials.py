"""Trials of the quarantine: how many backend servers does one request kill that crashes them.

Terms:
  bad request   crashes each backend server that runs it, 2 ms after it has started
  kill          one backend server that went down; it is back after 5 s and can be killed again
  innocent      a harmless search that was refused because of what it was in flight with
  gossip        the time after which what one VM has learnt is known to the others

Flow: a caller sends its bad request through eight VMs in turn, twice around, 0.2 s after each
answer, among harmless searches. The baseline tries each lost sub-request on another replica.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from functools import partial
from typing import Final

import attrs

from berylspindle_bench.event_clock import EventClock
from berylspindle_decisions.quarantine import (
    FirstSeenPolicy,
    Quarantine,
    QuarantineOptions,
    RunMode,
)
from berylspindle_model.errors import Refusal

VMS: Final = 8
SHARDS: Final = 10
REPLICAS: Final = 3
TRIES: Final = 16
SERVICE_S: Final = 0.005
CRASH_S: Final = 0.002
WAY_S: Final = 0.0005
DOWN_S: Final = 5.0
RESEND_S: Final = 0.2


@attrs.frozen(kw_only=True)
class Guard:
    """What a variant does against bad requests; `first_seen` None is no quarantine at all."""

    name: str
    first_seen: FirstSeenPolicy | None = None
    retries: bool = False
    gossip_s: float = 0.1
    owners: bool = False


GUARDS: Final = (
    Guard(name="retry elsewhere", retries=True),
    Guard(name="no retry"),
    Guard(name="quarantine", first_seen=FirstSeenPolicy.NEVER),
    Guard(name="+ canary in alert", first_seen=FirstSeenPolicy.ALERT),
    Guard(name="+ canary always", first_seen=FirstSeenPolicy.ALWAYS),
    Guard(name="+ in alert, gossip 1 s", first_seen=FirstSeenPolicy.ALERT, gossip_s=1.0),
    Guard(name="+ in alert, no gossip", first_seen=FirstSeenPolicy.ALERT, gossip_s=1e9),
    Guard(name="+ owners too", first_seen=FirstSeenPolicy.ALERT, owners=True),
    Guard(
        name="+ owners too, gossip 1 s", first_seen=FirstSeenPolicy.ALERT, gossip_s=1.0, owners=True
    ),
    Guard(
        name="+ owners too, no gossip", first_seen=FirstSeenPolicy.ALERT, gossip_s=1e9, owners=True
    ),
)


@attrs.frozen(kw_only=True)
class CrashRow:
    """Figures of one variant: kills by one bad request, and by three different ones in turn."""

    guard: str
    kills: int
    kills_of_three: int
    innocents: int
    canaries: int
    searches: int


@attrs.define(eq=False)
class _Server:
    name: str
    running: list[_Sub] = attrs.field(factory=list)
    back_at: float = 0.0


@attrs.define(eq=False)
class _Search:
    fingerprint: str
    vm: int
    pending: int = 0
    lost: bool = False


@attrs.define(eq=False)
class _Sub:
    search: _Search
    shard: int
    is_canary: bool
    tries: int = 1
    sent: float = 0.0


class _World:
    """Servers, VMs with a quarantine each, one caller with bad requests and harmless searches."""

    def __init__(self, guard: Guard, bad: int) -> None:
        self.kills = 0
        self.innocents = 0
        self.canaries = 0
        self.searches = 0
        self._guard = guard
        self._clock = EventClock()
        self._random = random.Random(3)
        self._servers = [[_Server(f"{s}-{r}") for r in range(REPLICAS)] for s in range(SHARDS)]
        options = QuarantineOptions(first_seen=guard.first_seen or FirstSeenPolicy.NEVER)
        self._quarantines = [Quarantine(options) for _ in range(VMS)]
        # An owner asks a quarantine of its own: what it saw crash its servers needs no gossip.
        self._owners = [Quarantine(QuarantineOptions()) for _ in range(VMS)]
        self._bad = bad

    def run(self) -> None:
        """Play all tries of all bad requests, with harmless searches at 200 a second."""
        end = 3.0 + self._bad * TRIES * RESEND_S + 2.0
        time = 0.0
        while time < end:
            time += self._random.expovariate(200.0)
            # A third of the searches have been asked before, as on a desk.
            number = self._random.randrange(20 if self._random.random() < 0.3 else 10**9)
            self._clock.at(time, partial(self._send, f"good-{number}", number % VMS))
        for n in range(self._bad * TRIES):
            name = f"bad-{n // TRIES}"
            self._clock.at(3.0 + n * RESEND_S, partial(self._send, name, n % VMS))
        self._clock.run(end)

    def _send(self, fingerprint: str, vm: int) -> None:
        search = _Search(fingerprint, vm)
        is_bad = fingerprint.startswith("bad")
        self.searches += not is_bad
        mode: RunMode | Refusal = RunMode.PLAIN
        if self._guard.first_seen is not None:
            mode = self._quarantines[vm].decide(self._clock.now, fingerprint)
        if isinstance(mode, Refusal):
            self.innocents += not is_bad
            return
        if mode is RunMode.CANARY:
            self.canaries += not is_bad
            self._dispatch(_Sub(search, self._random.randrange(SHARDS), is_canary=True))
            return
        for shard in range(SHARDS):
            self._dispatch(_Sub(search, shard, is_canary=False))

    def _dispatch(self, sub: _Sub) -> None:
        alive = [s for s in self._servers[sub.shard] if s.back_at <= self._clock.now]
        if not alive:
            return
        server = self._random.choice(alive)
        if self._guard.owners and self._is_refused(server, sub):
            return
        sub.search.pending += 1
        sub.sent = self._clock.now
        server.running.append(sub)
        if sub.search.fingerprint.startswith("bad"):
            self._clock.after(WAY_S + CRASH_S, lambda: self._crash(server, sub))
        else:
            self._clock.after(WAY_S + SERVICE_S, lambda: self._finish(server, sub))

    def _crash(self, server: _Server, sub: _Sub) -> None:
        if sub not in server.running:
            return
        self.kills += 1
        server.back_at = self._clock.now + DOWN_S
        lost, server.running = server.running, []
        for each in lost:
            self._owner(server).on_connection_lost(
                self._clock.now,
                each.search.fingerprint,
                server.name,
                elapsed_ms=(self._clock.now - each.sent) * 1000,
                in_flight=len(lost),
            )
        for each in lost:
            self._clock.after(WAY_S, partial(self._on_lost, each, server, len(lost)))

    def _finish(self, server: _Server, sub: _Sub) -> None:
        if sub not in server.running:
            return
        server.running.remove(sub)
        sub.search.pending -= 1
        self._owner(server).on_success(self._clock.now, sub.search.fingerprint)
        if self._guard.first_seen is None:
            return
        vm = sub.search.vm
        before = self._quarantines[vm].export(self._clock.now)
        self._quarantines[vm].on_success(self._clock.now, sub.search.fingerprint)
        if self._quarantines[vm].export(self._clock.now) != before:
            self._tell(vm)
        if sub.is_canary:
            for shard in range(SHARDS):
                if shard != sub.shard:
                    self._dispatch(_Sub(sub.search, shard, is_canary=False))

    def _on_lost(self, sub: _Sub, server: _Server, in_flight: int) -> None:
        if self._guard.first_seen is not None:
            self._quarantines[sub.search.vm].on_connection_lost(
                self._clock.now,
                sub.search.fingerprint,
                server.name,
                elapsed_ms=(self._clock.now - sub.sent) * 1000,
                in_flight=in_flight,
            )
            self._tell(sub.search.vm)
        elif self._guard.retries and sub.tries == 1:
            self._dispatch(_Sub(sub.search, sub.shard, is_canary=False, tries=2))

    def _is_refused(self, server: _Server, sub: _Sub) -> bool:
        now, fingerprint = self._clock.now, sub.search.fingerprint
        owner, entry = self._owner(server), self._quarantines[sub.search.vm]
        if owner.check_attempt(now, fingerprint, canary=sub.is_canary) is None:
            return False
        self.innocents += not fingerprint.startswith("bad")
        entry.on_suspected(now, fingerprint)
        return True

    def _owner(self, server: _Server) -> Quarantine:
        shard, replica = server.name.split("-")
        return self._owners[(int(shard) * REPLICAS + int(replica)) % VMS]

    def _tell(self, vm: int) -> None:
        records = self._quarantines[vm].export(self._clock.now)

        def arrive() -> None:
            for other in self._quarantines:
                other.merge(records, self._clock.now)

        self._clock.after(self._guard.gossip_s, arrive)


def crash_rows() -> Iterator[CrashRow]:
    """Run every variant."""
    for guard in GUARDS:
        one, three = _World(guard, 1), _World(guard, 3)
        one.run()
        three.run()
        yield CrashRow(
            guard=guard.name,
            kills=one.kills,
            kills_of_three=three.kills,
            innocents=one.innocents,
            canaries=one.canaries,
            searches=one.searches,
        )


def canary_latency_ms(*, seed: int = 1, searches: int = 20_000) -> tuple[float, ...]:
    """Return the median and 99th percentile of a search without and with a canary.

    Service times spread around 5 ms as in the other trials, at low load, over ten shards.
    """
    draws = random.Random(seed)

    def shard_ms() -> float:
        return draws.lognormvariate(1.6094, 0.4) + 2 * WAY_S * 1000

    plain = sorted(max(shard_ms() for _ in range(SHARDS)) for _ in range(searches))
    canary = sorted(
        shard_ms() + max(shard_ms() for _ in range(SHARDS - 1)) for _ in range(searches)
    )
    middle, high = searches // 2, int(searches * 0.99)
    return plain[middle], plain[high], canary[middle], canary[high]
