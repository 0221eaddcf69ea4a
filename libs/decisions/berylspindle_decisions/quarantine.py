"""Quarantine requests that crash backend servers.

A request that crashes each server that runs it is retried by its caller. The first scatter-gather
crashes one replica of every shard; retries, hedged requests and the caller's next attempts crash
the second and third ones.

Terms:
  fingerprint   hash of what a backend server would run; equal searches have the same one
  strike        a connection that was lost during an attempt of this fingerprint
  suspect       a fingerprint with strikes and no success since
  canary        a run on one shard first; the other shards follow after its response
  quarantined   refused, since it had another strike when it ran as a canary
  known good    a fingerprint that succeeded recently
  alert         the time after any strike in which first-seen fingerprints run as canaries too

Flow: `decide` is called before a scatter-gather; `on_connection_lost`, `on_success` and
`on_inconclusive` are called after attempts. `export` and `merge` exchange records between VMs; the
records contain ages and remaining times, since clocks differ.

Events: a scatter-gather gets strikes on all shards at once, and so do all other requests in flight
on these servers. A lost attempt that was dispatched before the first strike therefore only makes
its fingerprint a suspect. A lost attempt that any VM dispatched to another server after the first
strike counts as a later event. Counting all strikes within a time window as one event instead would
miss a caller that retries within the window, and one request would then crash 21 servers.

Thresholds: a later event weighs 1 over the number of attempts that were lost together, and a total
weight of 0.5 leads to quarantine. One later event is enough if the request was alone on the server
or with one other request; two are needed if it was with two or three others. The first quarantine
lasts 60 s, and each further one twice as long, up to an hour. A success clears a suspect, since a
request that crashes each server that runs it never succeeds. First-seen fingerprints run as
canaries only during an alert of 30 s. If they always did, most searches would take another round
trip; if they never did, the next bad request would crash a replica of each shard again.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from berylspindle_model.errors import ErrorKind, Refusal, RunState

QUARANTINE_WEIGHT: Final = 0.5
# Assumed age of an attempt if not known; the strikes of one scatter-gather come closer together.
UNKNOWN_ELAPSED_MS: Final = 1000.0
# Sums of thirds and sixths are not exact in floating point.
_TOLERANCE: Final = 1e-9


class FirstSeenPolicy(enum.StrEnum):
    """When fingerprints without a known success run as canaries."""

    NEVER = "never"
    ALERT = "alert"
    ALWAYS = "always"


class QuarantineLevel(enum.StrEnum):
    """The state of a fingerprint."""

    CLEARED = "cleared"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class RunMode(enum.Enum):
    """How an admitted request runs."""

    PLAIN = "plain"
    CANARY = "canary"


@attrs.frozen(kw_only=True)
class QuarantineOptions:
    """Durations and limits of the quarantine.

    Attributes:
        first_seen: when first-seen fingerprints run as canaries.
        suspect_s: seconds until a suspicion expires.
        base_s: seconds of the first quarantine.
        max_s: seconds of the longest quarantine.
        alert_s: seconds of alert after a strike.
        canary_s: seconds after which a canary without an outcome no longer blocks the next.
        max_known_good: number of fingerprints kept as known good.
        max_records: number of fingerprints kept as suspect or quarantined.
    """

    first_seen: FirstSeenPolicy = FirstSeenPolicy.ALERT
    suspect_s: float = 300.0
    base_s: float = 60.0
    max_s: float = 3600.0
    alert_s: float = 30.0
    canary_s: float = 2.0
    max_known_good: int = 10_000
    max_records: int = 1000


@attrs.frozen(kw_only=True)
class SuspectRecord:
    """The exchanged record of one fingerprint; a higher generation replaces a lower one.

    `struck_ms` is the age of the first strike, `dispatched_ms` that of the dispatch of its attempt,
    `left_ms` the time until the record expires.
    """

    fingerprint: str
    level: QuarantineLevel
    generation: int
    servers: tuple[str, ...]
    times: int
    left_ms: int
    struck_ms: int
    dispatched_ms: int
    weight: float


@attrs.define(kw_only=True)
class _Record:
    level: QuarantineLevel
    generation: int
    servers: set[str]
    struck: float
    dispatched: float
    until: float
    weight: float = 0.0
    times: int = 0
    canary_until: float = float("-inf")


class Quarantine:
    """The suspect, quarantined and known good fingerprints of one VM."""

    def __init__(self, options: QuarantineOptions | None = None) -> None:
        self._options = options or QuarantineOptions()
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._known_good: OrderedDict[str, None] = OrderedDict()
        self._alert_until = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Return whether there is no record of any fingerprint."""
        return not self._records

    def level(self, now: float, fingerprint: str) -> QuarantineLevel:
        """Return the state of a fingerprint."""
        record = self._unexpired(now, fingerprint)
        return record.level if record is not None else QuarantineLevel.CLEARED

    def servers(self, now: float, fingerprint: str) -> frozenset[str]:
        """Return the backend servers that were lost during attempts of a fingerprint."""
        record = self._unexpired(now, fingerprint)
        return frozenset(record.servers) if record is not None else frozenset()

    def decide(self, now: float, fingerprint: str) -> RunMode | Refusal:
        """Return how a request may run; CANARY reserves the one canary of a suspect."""
        record = self._unexpired(now, fingerprint)
        if record is None or record.level is QuarantineLevel.CLEARED:
            return self._decide_first_seen(now, fingerprint)
        if record.level is QuarantineLevel.QUARANTINED:
            return Refusal(ErrorKind.QUARANTINED, "it has crashed backend servers")
        if now < record.canary_until:
            # The caller retries while its first request is outstanding. A second canary could
            # crash another server before the outcome of the first is known.
            wait_ms = max(1, int((record.canary_until - now) * 1000))
            return Refusal(
                ErrorKind.QUARANTINED, "its canary is running", RunState.NOT_RUN, wait_ms
            )
        record.canary_until = now + self._options.canary_s
        return RunMode.CANARY

    def check_attempt(self, now: float, fingerprint: str, *, canary: bool) -> Refusal | None:
        """Return an owner's refusal of an attempt, or None if it may be dispatched.

        An owner records the strikes of its own servers. An entry VM that has not received these
        records by gossip sends the whole scatter-gather, and the owners refuse it.
        """
        level = self.level(now, fingerprint)
        if level is QuarantineLevel.CLEARED or (level is QuarantineLevel.SUSPECT and canary):
            return None
        return Refusal(ErrorKind.QUARANTINED, "it has crashed backend servers")

    def on_suspected(self, now: float, fingerprint: str) -> None:
        """Record that an owner refused a fingerprint as a suspect; it runs as a canary next."""
        record = self._unexpired(now, fingerprint)
        self._alert_until = now + self._options.alert_s
        if record is None or record.level is QuarantineLevel.CLEARED:
            self._add_suspect(now, fingerprint, None, now, record)

    def on_success(self, now: float, fingerprint: str) -> None:
        """Record that a backend server completed an attempt of a fingerprint."""
        self._known_good[fingerprint] = None
        self._known_good.move_to_end(fingerprint)
        if len(self._known_good) > self._options.max_known_good:
            self._known_good.popitem(last=False)
        record = self._unexpired(now, fingerprint)
        if record is not None and record.level is QuarantineLevel.SUSPECT:
            record.level = QuarantineLevel.CLEARED
            record.generation += 1
            record.servers.clear()
            record.weight = 0.0

    def on_connection_lost(
        self,
        now: float,
        fingerprint: str,
        server: str,
        *,
        elapsed_ms: float = UNKNOWN_ELAPSED_MS,
        in_flight: int = 1,
    ) -> None:
        """Record a strike: the connection to a server was lost during an attempt.

        `elapsed_ms` is the time since the attempt was dispatched, `in_flight` the number of
        attempts that were lost together.
        """
        self._alert_until = now + self._options.alert_s
        dispatched = now - elapsed_ms / 1000
        record = self._unexpired(now, fingerprint)
        if record is None or record.level is QuarantineLevel.CLEARED:
            self._add_suspect(now, fingerprint, server, dispatched, record)
            return
        record.canary_until = float("-inf")
        is_second_event = dispatched > record.struck and server not in record.servers
        record.servers.add(server)
        if not is_second_event:
            # Further strikes of one event are weak evidence, as are crashes of a single server.
            return
        record.weight += 1.0 / max(1, in_flight)
        record.generation += 1
        self._quarantine_if_due(now, record)

    def on_inconclusive(self, fingerprint: str) -> None:
        """Record that a canary ended with neither success nor loss; another one may run."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.canary_until = float("-inf")

    def export(self, now: float, *, limit: int = 100) -> tuple[SuspectRecord, ...]:
        """Return the latest records to send to peers, at most `limit`."""
        records: list[SuspectRecord] = []
        for fingerprint in reversed(self._records):
            record = self._records[fingerprint]
            if len(records) >= limit:
                break
            if now >= record.until:
                continue
            records.append(
                SuspectRecord(
                    fingerprint=fingerprint,
                    level=record.level,
                    generation=record.generation,
                    servers=tuple(sorted(record.servers)),
                    times=record.times,
                    left_ms=int((record.until - now) * 1000),
                    struck_ms=_age_ms(now, record.struck),
                    dispatched_ms=_age_ms(now, record.dispatched),
                    weight=record.weight,
                )
            )
        return tuple(records)

    def merge(self, records: Iterable[SuspectRecord], now: float) -> bool:
        """Merge peers' records; return whether any was new and should be passed on."""
        changed = False
        for record in records:
            changed = self._merge_one(now, record) or changed
        return changed

    def _merge_one(self, now: float, received: SuspectRecord) -> bool:
        record = self._unexpired(now, received.fingerprint)
        if record is not None and received.generation < record.generation:
            return False
        if record is not None and received.generation == record.generation:
            return self._merge_equal(now, record, received)
        if received.level is not QuarantineLevel.CLEARED:
            self._alert_until = max(self._alert_until, now + self._options.alert_s)
            self._known_good.pop(received.fingerprint, None)
        self._store(
            received.fingerprint,
            _Record(
                level=received.level,
                generation=received.generation,
                servers=set(received.servers),
                struck=now - received.struck_ms / 1000,
                dispatched=now - received.dispatched_ms / 1000,
                until=now + received.left_ms / 1000,
                weight=received.weight,
                times=received.times,
            ),
        )
        return True

    def _merge_equal(self, now: float, record: _Record, received: SuspectRecord) -> bool:
        # Two VMs had a strike at the same time. The shorter remaining time is kept: with the longer
        # one, each exchange would add its transit time, and records would never expire.
        had_strike = bool(record.servers)
        servers = record.servers | set(received.servers)
        changed = servers != record.servers
        record.servers = servers
        record.until = min(record.until, now + received.left_ms / 1000)
        if record.level is not QuarantineLevel.SUSPECT or received.level is QuarantineLevel.CLEARED:
            return changed
        struck, dispatched = now - received.struck_ms / 1000, now - received.dispatched_ms / 1000
        if not had_strike:
            # This record has no strike, only an owner's refusal, so the peer's strike is the first
            # one. If it counted as a later event, each request that was on a server during a single
            # crash would be quarantined.
            record.struck, record.dispatched = struck, dispatched
        elif (
            changed
            and received.servers
            and (dispatched > record.struck or record.dispatched > struck)
        ):
            # Neither VM had the other's record, and one dispatched its attempt after the other's
            # strike: these are two events.
            record.weight += 1.0
            record.generation += 1
        record.weight = max(record.weight, received.weight)
        self._quarantine_if_due(now, record)
        return changed

    def _decide_first_seen(self, now: float, fingerprint: str) -> RunMode:
        mode = self._options.first_seen
        needs_canary = mode is FirstSeenPolicy.ALWAYS or (
            mode is FirstSeenPolicy.ALERT and now < self._alert_until
        )
        if needs_canary and fingerprint not in self._known_good:
            return RunMode.CANARY
        return RunMode.PLAIN

    def _add_suspect(
        self,
        now: float,
        fingerprint: str,
        server: str | None,
        dispatched: float,
        old: _Record | None,
    ) -> None:
        self._known_good.pop(fingerprint, None)
        self._store(
            fingerprint,
            _Record(
                level=QuarantineLevel.SUSPECT,
                generation=old.generation + 1 if old is not None else 1,
                servers={server} if server is not None else set(),
                struck=now,
                dispatched=dispatched,
                until=now + self._options.suspect_s,
                times=old.times if old is not None else 0,
            ),
        )

    def _quarantine_if_due(self, now: float, record: _Record) -> None:
        if (
            record.level is not QuarantineLevel.SUSPECT
            or record.weight < QUARANTINE_WEIGHT - _TOLERANCE
        ):
            return
        seconds = min(self._options.base_s * 2**record.times, self._options.max_s)
        record.level = QuarantineLevel.QUARANTINED
        record.times += 1
        record.until = now + seconds

    def _unexpired(self, now: float, fingerprint: str) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None or now < record.until:
            return record
        if record.level is QuarantineLevel.QUARANTINED:
            # The quarantine has expired; one canary shows whether the request still crashes.
            record.level = QuarantineLevel.SUSPECT
            record.generation += 1
            record.weight = 0.0
            record.struck = now
            record.servers.clear()
            record.until = now + self._options.suspect_s
            return record
        del self._records[fingerprint]
        return None

    def _store(self, fingerprint: str, record: _Record) -> None:
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(self._records) > self._options.max_records:
            self._records.popitem(last=False)


def _age_ms(now: float, time: float) -> int:
    return max(0, int((now - time) * 1000))
