"""Keep requests that crash backend servers from crashing more of them.

Pattern of load: one request that crashes each server that runs it, sent again by its caller. A
fan-out takes one replica of every shard down at once; retries, hedges and the caller's next
tries take the second and third ones.

Terms:
  fingerprint   hash of what a backend server would run; the same search has the same one
  strike        a connection was lost under an attempt of this fingerprint
  suspect       a fingerprint with strikes and no success since
  canary        a run on one shard first; the others follow when it has answered
  quarantined   refused, because it struck again when it ran as a canary
  known good    a fingerprint that has run without harm lately
  alert         the time after any strike, in which first-seen fingerprints run as canaries too

Flow: `decide` before a fan-out; `on_lost`, `on_success` and `on_unsettled` after attempts;
`export` and `merge` carry records between VMs, with the time left, since clocks differ.

Thresholds: a fan-out strikes on all shards at once, and so does all that was in flight on these
servers with it. Therefore attempts that were dispatched before the first strike make a suspect
and no more; only one dispatched after it counts as a second event, whichever VM sent it. An event
weighs 1 over the attempts that were lost together, and later events that weigh half quarantine:
alone on the server, or with one other, once; in a crowd, twice. Counting by a window of time
instead, the trials lost 21 servers to one request, as its caller came back within the window. A
quarantine lasts 60 s, then twice as long each time, to an hour. A success clears: a request that
crashes each server that runs it never has one. First-seen fingerprints run as canaries only in an
alert of 30 s: always would add a shard's round trip to most searches, never lets the next bad
one take a replica of each shard again. docs/LOAD.md has the figures.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from berylspindle_model.errors import ErrorKind, Refusal, RunState

ENOUGH_WEIGHT: Final = 0.5
# Taken for the age of an attempt where it isn't known: strikes of one fan-out come closer together.
UNKNOWN_ELAPSED_MS: Final = 1000.0
# Halves made of sixths and thirds do not sum up exactly in floating point.
_ROUNDING: Final = 1e-9


class FirstSeen(enum.StrEnum):
    """When fingerprints that were never seen to succeed run as canaries."""

    NEVER = "never"
    ALERT = "alert"
    ALWAYS = "always"


class Level(enum.StrEnum):
    """What is held against a fingerprint."""

    CLEARED = "cleared"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class RunMode(enum.Enum):
    """How a request may run."""

    PLAIN = "plain"
    CANARY = "canary"


@attrs.frozen(kw_only=True)
class QuarantineOptions:
    """Times and bounds.

    Attributes:
        first_seen: when first-seen fingerprints run as canaries.
        suspect_s: seconds until suspicion lapses.
        base_s: seconds of the first quarantine.
        max_s: seconds of the longest.
        alert_s: seconds of alert after a strike.
        canary_s: seconds after which a canary without an outcome no longer blocks the next.
        max_known_good: fingerprints remembered as good.
        max_records: fingerprints held as suspect or quarantined.
    """

    first_seen: FirstSeen = FirstSeen.ALERT
    suspect_s: float = 300.0
    base_s: float = 60.0
    max_s: float = 3600.0
    alert_s: float = 30.0
    canary_s: float = 2.0
    max_known_good: int = 10_000
    max_records: int = 1000


@attrs.frozen(kw_only=True)
class SuspectRecord:
    """What one VM tells others about one fingerprint; a higher generation replaces a lower one.

    `struck_ms` and `dispatched_ms` are the ages of the first strike and of the attempt in it.
    """

    fingerprint: str
    level: Level
    generation: int
    servers: tuple[str, ...]
    times: int
    left_ms: int
    struck_ms: int
    dispatched_ms: int
    weight: float


@attrs.define(kw_only=True)
class _Record:
    level: Level
    generation: int
    servers: set[str]
    struck: float
    dispatched: float
    until: float
    weight: float = 0.0
    times: int = 0
    canary_until: float = float("-inf")


class Quarantine:
    """The fingerprints that one VM holds as suspect, and those it knows to be good."""

    def __init__(self, options: QuarantineOptions | None = None) -> None:
        self._options = options or QuarantineOptions()
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._good: OrderedDict[str, None] = OrderedDict()
        self._alert_until = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is held against any fingerprint."""
        return not self._records

    def level(self, now: float, fingerprint: str) -> Level:
        """Return what is held against a fingerprint."""
        record = self._current(now, fingerprint)
        return record.level if record is not None else Level.CLEARED

    def servers(self, now: float, fingerprint: str) -> frozenset[str]:
        """Return the backend servers that were lost under a fingerprint."""
        record = self._current(now, fingerprint)
        return frozenset(record.servers) if record is not None else frozenset()

    def decide(self, now: float, fingerprint: str) -> RunMode | Refusal:
        """Return how a request may run; CANARY reserves the one canary of a suspect."""
        record = self._current(now, fingerprint)
        if record is None or record.level is Level.CLEARED:
            return self._decide_first_seen(now, fingerprint)
        if record.level is Level.QUARANTINED:
            return Refusal(ErrorKind.QUARANTINED, "it has crashed backend servers")
        if now < record.canary_until:
            # The caller asks again while its first try is still out. A second canary would
            # strike a second server before the first one has told us anything.
            wait_ms = max(1, int((record.canary_until - now) * 1000))
            return Refusal(ErrorKind.QUARANTINED, "it is being tried", RunState.NOT_RUN, wait_ms)
        record.canary_until = now + self._options.canary_s
        return RunMode.CANARY

    def allows(self, now: float, fingerprint: str, *, canary: bool) -> Refusal | None:
        """Return an owner's refusal of an attempt, or None where it may be dispatched.

        An owner has seen for itself which requests took its servers down. An entry that has
        not heard of it yet sends a whole fan-out; the owners stop it without waiting for gossip.
        """
        level = self.level(now, fingerprint)
        if level is Level.CLEARED or (level is Level.SUSPECT and canary):
            return None
        return Refusal(ErrorKind.QUARANTINED, "it has crashed backend servers")

    def on_suspected(self, now: float, fingerprint: str) -> None:
        """Note that an owner refused it as a suspect; it runs as a canary from here on."""
        record = self._current(now, fingerprint)
        self._alert_until = now + self._options.alert_s
        if record is None or record.level is Level.CLEARED:
            self._suspect(now, fingerprint, None, now, record)

    def on_success(self, now: float, fingerprint: str) -> None:
        """Note that a backend server ran it and lived."""
        self._good[fingerprint] = None
        self._good.move_to_end(fingerprint)
        if len(self._good) > self._options.max_known_good:
            self._good.popitem(last=False)
        record = self._current(now, fingerprint)
        if record is not None and record.level is Level.SUSPECT:
            record.level = Level.CLEARED
            record.generation += 1
            record.servers.clear()
            record.weight = 0.0

    def on_lost(
        self,
        now: float,
        fingerprint: str,
        server: str,
        *,
        elapsed_ms: float = UNKNOWN_ELAPSED_MS,
        in_flight: int = 1,
    ) -> None:
        """Note that the connection broke under it; `in_flight` attempts were lost together.

        `elapsed_ms` is how long ago the attempt was dispatched.
        """
        self._alert_until = now + self._options.alert_s
        dispatched = now - elapsed_ms / 1000
        record = self._current(now, fingerprint)
        if record is None or record.level is Level.CLEARED:
            self._suspect(now, fingerprint, server, dispatched, record)
            return
        record.canary_until = float("-inf")
        is_second_event = dispatched > record.struck and server not in record.servers
        record.servers.add(server)
        if not is_second_event:
            # Strikes of one event prove little, and neither does one server that keeps dying.
            return
        record.weight += 1.0 / max(1, in_flight)
        record.generation += 1
        self._judge(now, record)

    def on_unsettled(self, fingerprint: str) -> None:
        """Note that a canary ended with neither success nor loss, so that another may run."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.canary_until = float("-inf")

    def export(self, now: float, *, limit: int = 100) -> tuple[SuspectRecord, ...]:
        """Return the newest records for peers."""
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
        """Take peers' records; return whether anything was new and should be passed on."""
        changed = False
        for record in records:
            changed = self._merge_one(now, record) or changed
        return changed

    def _merge_one(self, now: float, news: SuspectRecord) -> bool:
        record = self._current(now, news.fingerprint)
        if record is not None and news.generation < record.generation:
            return False
        if record is not None and news.generation == record.generation:
            return self._merge_equal(now, record, news)
        if news.level is not Level.CLEARED:
            self._alert_until = max(self._alert_until, now + self._options.alert_s)
            self._good.pop(news.fingerprint, None)
        self._put(
            news.fingerprint,
            _Record(
                level=news.level,
                generation=news.generation,
                servers=set(news.servers),
                struck=now - news.struck_ms / 1000,
                dispatched=now - news.dispatched_ms / 1000,
                until=now + news.left_ms / 1000,
                weight=news.weight,
                times=news.times,
            ),
        )
        return True

    def _merge_equal(self, now: float, record: _Record, news: SuspectRecord) -> bool:
        # Two VMs struck at the same time. The shorter time is kept: with the longer one, each
        # exchange between two VMs would add its own transit time, and no record would lapse.
        had_struck = bool(record.servers)
        servers = record.servers | set(news.servers)
        changed = servers != record.servers
        record.servers = servers
        record.until = min(record.until, now + news.left_ms / 1000)
        if record.level is not Level.SUSPECT or news.level is Level.CLEARED:
            return changed
        struck, dispatched = now - news.struck_ms / 1000, now - news.dispatched_ms / 1000
        if not had_struck:
            # Made suspect here by an owner's refusal alone: the peer's strike is the first one,
            # and taken for a second one it would quarantine whatever a dying server ran.
            record.struck, record.dispatched = struck, dispatched
        elif (
            changed and news.servers and (dispatched > record.struck or record.dispatched > struck)
        ):
            # Neither VM knew of the other's strike, and one sent the request after it: the same
            # request has taken servers down twice.
            record.weight += 1.0
            record.generation += 1
        record.weight = max(record.weight, news.weight)
        self._judge(now, record)
        return changed

    def _decide_first_seen(self, now: float, fingerprint: str) -> RunMode:
        mode = self._options.first_seen
        wary = mode is FirstSeen.ALWAYS or (mode is FirstSeen.ALERT and now < self._alert_until)
        if wary and fingerprint not in self._good:
            return RunMode.CANARY
        return RunMode.PLAIN

    def _suspect(
        self,
        now: float,
        fingerprint: str,
        server: str | None,
        dispatched: float,
        old: _Record | None,
    ) -> None:
        self._good.pop(fingerprint, None)
        self._put(
            fingerprint,
            _Record(
                level=Level.SUSPECT,
                generation=old.generation + 1 if old is not None else 1,
                servers={server} if server is not None else set(),
                struck=now,
                dispatched=dispatched,
                until=now + self._options.suspect_s,
                times=old.times if old is not None else 0,
            ),
        )

    def _judge(self, now: float, record: _Record) -> None:
        if record.level is not Level.SUSPECT or record.weight < ENOUGH_WEIGHT - _ROUNDING:
            return
        seconds = min(self._options.base_s * 2**record.times, self._options.max_s)
        record.level = Level.QUARANTINED
        record.times += 1
        record.until = now + seconds

    def _current(self, now: float, fingerprint: str) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None or now < record.until:
            return record
        if record.level is Level.QUARANTINED:
            # Its time is over: one canary shows whether it still crashes.
            record.level = Level.SUSPECT
            record.generation += 1
            record.weight = 0.0
            record.struck = now
            record.servers.clear()
            record.until = now + self._options.suspect_s
            return record
        del self._records[fingerprint]
        return None

    def _put(self, fingerprint: str, record: _Record) -> None:
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(self._records) > self._options.max_records:
            self._records.popitem(last=False)


def _age_ms(now: float, time: float) -> int:
    return max(0, int((now - time) * 1000))
