"""Simulate the quarantine: count the backend servers that a crashing request takes down.

Terms:
  bad request   a request that crashes each backend server that runs it, 2 ms after its start
  kill          a crash of a backend server; it restarts after 5 s and can crash again
  innocent      a harmless search that is refused because it was in flight with a bad request
  gossip        the delay until the quarantine records of a VM reach the others

Flow: a caller sends each bad request 16 times, 0.2 s apart and to eight VMs in turn, among harmless
searches. The baseline retries each lost sub-request on another replica.
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
SENDS_PER_REQUEST: Final = 16
SERVICE_S: Final = 0.005
CRASH_S: Final = 0.002
ONE_WAY_S: Final = 0.0005
RESTART_S: Final = 5.0
RESEND_S: Final = 0.2


@attrs.frozen(kw_only=True)
class Protection:
    """A protection against bad requests; `first_seen` None means no quarantine."""

    name: str
    first_seen: FirstSeenPolicy | None = None
    retries: bool = False
    gossip_s: float = 0.1
    owners: bool = False


PROTECTIONS: Final = (
    Protection(name="retry elsewhere", retries=True),
    Protection(name="no retry"),
    Protection(name="quarantine", first_seen=FirstSeenPolicy.NEVER),
    Protection(name="+ canary in alert", first_seen=FirstSeenPolicy.ALERT),
    Protection(name="+ canary always", first_seen=FirstSeenPolicy.ALWAYS),
    Protection(name="+ in alert, gossip 1 s", first_seen=FirstSeenPolicy.ALERT, gossip_s=1.0),
    Protection(name="+ in alert, no gossip", first_seen=FirstSeenPolicy.ALERT, gossip_s=1e9),
    Protection(name="+ owners too", first_seen=FirstSeenPolicy.ALERT, owners=True),
    Protection(
        name="+ owners too, gossip 1 s", first_seen=FirstSeenPolicy.ALERT, gossip_s=1.0, owners=True
    ),
    Protection(
        name="+ owners too, no gossip", first_seen=FirstSeenPolicy.ALERT, gossip_s=1e9, owners=True
    ),
)


@attrs.frozen(kw_only=True)
class CrashRow:
    """Results of one variant: kills by one bad request, and by three distinct ones in turn."""

    guard: str
    kills: int
    kills_of_three: int
    innocents: int
    canaries: int
    searches: int


@attrs.define(eq=False)
class _Server:
    name: str
    running: list[_SubRequest] = attrs.field(factory=list)
    restart_at: float = 0.0


@attrs.define(eq=False)
class _Search:
    fingerprint: str
    vm: int
    pending: int = 0
    lost: bool = False


@attrs.define(eq=False)
class _SubRequest:
    search: _Search
    shard: int
    is_canary: bool
    attempts: int = 1
    sent: float = 0.0


class _Simulation:
    """Servers, VMs with one quarantine each, and a caller of bad and harmless requests."""

    def __init__(self, protection: Protection, bad_requests: int) -> None:
        self.kills = 0
        self.innocents = 0
        self.canaries = 0
        self.searches = 0
        self._protection = protection
        self._clock = EventClock()
        self._rng = random.Random(3)
        self._servers = [[_Server(f"{s}-{r}") for r in range(REPLICAS)] for s in range(SHARDS)]
        options = QuarantineOptions(first_seen=protection.first_seen or FirstSeenPolicy.NEVER)
        self._quarantines = [Quarantine(options) for _ in range(VMS)]
        # An owner has its own quarantine: crashes of its own servers need no gossip.
        self._owners = [Quarantine(QuarantineOptions()) for _ in range(VMS)]
        self._bad_requests = bad_requests

    def run(self) -> None:
        """Send all bad requests, with 200 harmless searches per second."""
        end = 3.0 + self._bad_requests * SENDS_PER_REQUEST * RESEND_S + 2.0
        time = 0.0
        while time < end:
            time += self._rng.expovariate(200.0)
            # 30% of the searches repeat one of 20 queries, as interactive users do.
            number = self._rng.randrange(20 if self._rng.random() < 0.3 else 10**9)
            self._clock.at(time, partial(self._send, f"good-{number}", number % VMS))
        for n in range(self._bad_requests * SENDS_PER_REQUEST):
            name = f"bad-{n // SENDS_PER_REQUEST}"
            self._clock.at(3.0 + n * RESEND_S, partial(self._send, name, n % VMS))
        self._clock.run(end)

    def _send(self, fingerprint: str, vm: int) -> None:
        search = _Search(fingerprint, vm)
        is_bad = fingerprint.startswith("bad")
        self.searches += not is_bad
        mode: RunMode | Refusal = RunMode.PLAIN
        if self._protection.first_seen is not None:
            mode = self._quarantines[vm].decide(self._clock.now, fingerprint)
        if isinstance(mode, Refusal):
            self.innocents += not is_bad
            return
        if mode is RunMode.CANARY:
            self.canaries += not is_bad
            self._dispatch(_SubRequest(search, self._rng.randrange(SHARDS), is_canary=True))
            return
        for shard in range(SHARDS):
            self._dispatch(_SubRequest(search, shard, is_canary=False))

    def _dispatch(self, sub: _SubRequest) -> None:
        alive = [s for s in self._servers[sub.shard] if s.restart_at <= self._clock.now]
        if not alive:
            return
        server = self._rng.choice(alive)
        if self._protection.owners and self._is_refused(server, sub):
            return
        sub.search.pending += 1
        sub.sent = self._clock.now
        server.running.append(sub)
        if sub.search.fingerprint.startswith("bad"):
            self._clock.after(ONE_WAY_S + CRASH_S, lambda: self._crash(server, sub))
        else:
            self._clock.after(ONE_WAY_S + SERVICE_S, lambda: self._finish(server, sub))

    def _crash(self, server: _Server, sub: _SubRequest) -> None:
        if sub not in server.running:
            return
        self.kills += 1
        server.restart_at = self._clock.now + RESTART_S
        lost, server.running = server.running, []
        for lost_sub in lost:
            self._owner(server).on_connection_lost(
                self._clock.now,
                lost_sub.search.fingerprint,
                server.name,
                elapsed_ms=(self._clock.now - lost_sub.sent) * 1000,
                in_flight=len(lost),
            )
        for lost_sub in lost:
            self._clock.after(
                ONE_WAY_S, partial(self._on_connection_lost, lost_sub, server, len(lost))
            )

    def _finish(self, server: _Server, sub: _SubRequest) -> None:
        if sub not in server.running:
            return
        server.running.remove(sub)
        sub.search.pending -= 1
        self._owner(server).on_success(self._clock.now, sub.search.fingerprint)
        if self._protection.first_seen is None:
            return
        vm = sub.search.vm
        before = self._quarantines[vm].export(self._clock.now)
        self._quarantines[vm].on_success(self._clock.now, sub.search.fingerprint)
        if self._quarantines[vm].export(self._clock.now) != before:
            self._send_gossip(vm)
        if sub.is_canary:
            for shard in range(SHARDS):
                if shard != sub.shard:
                    self._dispatch(_SubRequest(sub.search, shard, is_canary=False))

    def _on_connection_lost(self, sub: _SubRequest, server: _Server, in_flight: int) -> None:
        if self._protection.first_seen is not None:
            self._quarantines[sub.search.vm].on_connection_lost(
                self._clock.now,
                sub.search.fingerprint,
                server.name,
                elapsed_ms=(self._clock.now - sub.sent) * 1000,
                in_flight=in_flight,
            )
            self._send_gossip(sub.search.vm)
        elif self._protection.retries and sub.attempts == 1:
            self._dispatch(_SubRequest(sub.search, sub.shard, is_canary=False, attempts=2))

    def _is_refused(self, server: _Server, sub: _SubRequest) -> bool:
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

    def _send_gossip(self, vm: int) -> None:
        records = self._quarantines[vm].export(self._clock.now)

        def merge_records() -> None:
            for other in self._quarantines:
                other.merge(records, self._clock.now)

        self._clock.after(self._protection.gossip_s, merge_records)


def crash_rows() -> Iterator[CrashRow]:
    """Run every variant and yield its results."""
    for protection in PROTECTIONS:
        one, three = _Simulation(protection, 1), _Simulation(protection, 3)
        one.run()
        three.run()
        yield CrashRow(
            guard=protection.name,
            kills=one.kills,
            kills_of_three=three.kills,
            innocents=one.innocents,
            canaries=one.canaries,
            searches=one.searches,
        )


def canary_latency_ms(*, seed: int = 1, searches: int = 20_000) -> tuple[float, ...]:
    """Return the median and 99th percentile of search latency without and with a canary, in ms.

    Service times are log-normal with a median of 5 ms as in the other trials, at low load, over
    ten shards.
    """
    rng = random.Random(seed)

    def shard_ms() -> float:
        return rng.lognormvariate(1.6094, 0.4) + 2 * ONE_WAY_S * 1000

    plain = sorted(max(shard_ms() for _ in range(SHARDS)) for _ in range(searches))
    canary = sorted(
        shard_ms() + max(shard_ms() for _ in range(SHARDS - 1)) for _ in range(searches)
    )
    median, p99_index = searches // 2, int(searches * 0.99)
    return plain[median], plain[p99_index], canary[median], canary[p99_index]
