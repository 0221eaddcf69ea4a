"""Quarantine requests that crash backend servers.

A request that crashes each server that runs it is retried by its caller. The first scatter-gather
crashes one replica of every shard; retries, hedged requests and the caller's next attempts crash
the second and third ones.

Terms:
  fingerprint   hash of what a backend server would run; equal searches have the same one
  strike        a connection that was lost during an attempt of this fingerprint
  crash         the end of one run of a server's process; all its strikes are one crash
  suspect       a fingerprint with strikes and no success since
  canary        a run on one shard first; the other shards follow after its response
  quarantined   refused, since it had another strike when it ran as a canary
  known good    a fingerprint that succeeded recently
  alert         the time after any strike in which first-seen fingerprints run as canaries too

Flow: `decide` is called before a scatter-gather; `on_connection_lost`, `on_success` and
`on_inconclusive` are called after attempts. `export` and `merge` exchange records between VMs.

Events: a scatter-gather gets strikes on all shards at once, and so do all other requests in flight
on these servers. A lost attempt that was dispatched before its VM knew of the fingerprint therefore
only makes it a suspect, whether the VM learnt of it by the strike or from a peer. A lost attempt of
a suspect is a later event.

Identity: a crash is told apart by the server and by the start of its process. A server that is back
under its id and crashes again has crashed twice, and a crash that two VMs see is one. Strikes of
two VMs are never compared by their times: clocks differ, and an age that is sent grows on the way
by an unknown time. Records of one generation are merged by uniting their crashes, which gives the
same evidence in any order, and however often a record arrives.

Thresholds: a crash weighs 1 over the number of attempts that were lost together, and a total weight
of 0.5 leads to quarantine. One later event is enough if the request was alone on the server or with
one other request; two are needed if it was with two or three others. Where other VMs send to the
same server, the other requests are not known, and a crash weighs less (`first_weight`,
`later_weight`). Another crash of a server that has crashed before may be its own doing
(`same_server_weight`). Crashes under a request that its VM did not know as a suspect are one event
for each VM, and the heaviest of these events does not count. The first quarantine lasts `base_s`,
and each further one `growth` times as long; after one, a single crash leads to the next. VMs end a
quarantine one after the other, within `end_spread_s`: the first one to run the request again stores
its crash or success before a retry reaches another VM that would run it too. A success clears a
suspect, since a request that crashes each server that runs it never succeeds. First-seen
fingerprints run as canaries only during an alert of 30 s. If they always did, most searches would
take another round trip; if they never did, the next bad request would crash a replica of each shard
again.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from berylspindle_model.errors import ErrorKind, Refusal, RunState

QUARANTINE_WEIGHT: Final = 0.5
MAX_GROWTHS: Final = 16
"""Quarantines after which each further one has the longest duration."""

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
        growth: factor from one quarantine to the next.
        max_s: seconds of the longest quarantine.
        end_spread_s: seconds within which all VMs end a quarantine.
        alert_s: seconds of alert after a strike.
        canary_s: seconds after which a canary without an outcome no longer blocks the next.
        max_known_good: number of fingerprints kept as known good.
        max_records: number of fingerprints kept as suspect or quarantined.
        first_weight: weight of a crash under a fingerprint that was no suspect yet.
        later_weight: weight of a crash under a suspect.
        same_server_weight: factor for a later crash of a server that has crashed under the
            fingerprint before, and may crash by itself.
    """

    first_seen: FirstSeenPolicy = FirstSeenPolicy.ALERT
    suspect_s: float = 300.0
    base_s: float = 60.0
    growth: float = 2.0
    max_s: float = 3600.0
    end_spread_s: float = 0.0
    alert_s: float = 30.0
    canary_s: float = 2.0
    max_known_good: int = 10_000
    max_records: int = 1000
    first_weight: float = 1.0
    later_weight: float = 1.0
    same_server_weight: float = 0.25


@attrs.frozen(kw_only=True)
class Crash:
    """One crash of a server during attempts of a fingerprint.

    Attributes:
        server: the server's id.
        start: identifies the start of its process; None if that is not known.
        repeat: number of crashes known before of the same server and start. It is above 0 where a
            suspect was sent to a server whose new start had not been announced yet.
        is_later: whether the fingerprint was a suspect when it was dispatched.
        event: which crashes without `is_later` are of one event; names the first of them.
        weight: evidence, from 0 to 1.
    """

    server: str
    start: int | None = None
    repeat: int = 0
    is_later: bool = False
    event: str = ""
    weight: float = 1.0

    @property
    def key(self) -> _CrashKey:
        """Return what tells it apart from other crashes under the same fingerprint."""
        return self.server, self.start, self.repeat


_CrashKey = tuple[str, int | None, int]


@attrs.frozen(kw_only=True)
class SuspectRecord:
    """The exchanged record of one fingerprint.

    A higher generation replaces a lower one; records of one generation are united. `left_ms` is the
    time until the record expires, and `times` the number of quarantines since the last success.
    """

    fingerprint: str
    level: QuarantineLevel
    generation: int
    times: int
    left_ms: int
    crashes: tuple[Crash, ...] = ()


@attrs.define(kw_only=True)
class _Record:
    """The record of a fingerprint, which this VM knows since `known_since`."""

    level: QuarantineLevel
    generation: int
    known_since: float
    until: float
    crashes: dict[_CrashKey, Crash] = attrs.field(factory=dict)
    local_event: str = ""
    times: int = 0
    canary_until: float = float("-inf")

    @property
    def servers(self) -> set[str]:
        """Return the ids of the servers that have crashed."""
        return {crash.server for crash in self.crashes.values()}

    @property
    def weight(self) -> float:
        """Return the evidence that the fingerprint crashes servers, apart from its first event."""
        later, first_events = 0.0, dict[str, float]()
        for crash in self.crashes.values():
            if crash.is_later:
                later += crash.weight
            else:
                known = first_events.get(crash.event, 0.0)
                first_events[crash.event] = max(known, crash.weight)
        return later + sum(first_events.values()) - max(first_events.values(), default=0.0)

    def add(self, crash: Crash) -> bool:
        """Add a crash, or what another report of it states; return whether that was new."""
        known = self.crashes.get(crash.key)
        if known is not None:
            is_later = known.is_later or crash.is_later
            crash = attrs.evolve(
                crash,
                is_later=is_later,
                event="" if is_later else max(known.event, crash.event),
                weight=max(known.weight, crash.weight),
            )
        self.crashes[crash.key] = crash
        return crash != known

    def next_repeat(self, server: str, start: int | None) -> int:
        """Return the number of crashes known of a server and start."""
        return sum((one.server, one.start) == (server, start) for one in self.crashes.values())


class Quarantine:
    """The suspect, quarantined and known good fingerprints of one VM.

    `end_place` is the place of this VM in `end_spread_s`, from 0 to 1.
    """

    def __init__(self, options: QuarantineOptions | None = None, *, end_place: float = 0.0) -> None:
        self._options = options or QuarantineOptions()
        self._end_delay_s = end_place * self._options.end_spread_s
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
        return frozenset(record.servers if record is not None else ())

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

    def canary_end(self, now: float, fingerprint: str) -> float | None:
        """Return when the next canary of a suspect may run, or None if no canary is running."""
        record = self._unexpired(now, fingerprint)
        if record is None or record.level is not QuarantineLevel.SUSPECT:
            return None
        return record.canary_until if now < record.canary_until else None

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
            self._add_suspect(now, fingerprint, record)

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
            record.times = 0
            record.crashes.clear()
            record.local_event = ""

    def on_connection_lost(
        self,
        now: float,
        fingerprint: str,
        server: str,
        *,
        start: int | None = None,
        elapsed_ms: float = UNKNOWN_ELAPSED_MS,
        in_flight: int = 1,
    ) -> None:
        """Record a strike: the connection to a server was lost during an attempt.

        `start` tells the starts of the server's process apart; without it, all crashes of a server
        are one. `elapsed_ms` is the time since the request was admitted, `in_flight` the number of
        attempts that were lost together.
        """
        self._alert_until = now + self._options.alert_s
        record = self._unexpired(now, fingerprint)
        if record is None or record.level is QuarantineLevel.CLEARED:
            record = self._add_suspect(now, fingerprint, record)
        record.canary_until = float("-inf")
        is_later = now - elapsed_ms / 1000 > record.known_since
        repeat = record.next_repeat(server, start) if is_later and start is not None else 0
        weight = self._weight(record, server, is_later=is_later) / max(1, in_flight)
        if not is_later:
            record.local_event = record.local_event or f"{server} {start}"
        if start is None and server in record.servers:
            # Whether this is another crash is not known.
            return
        record.add(
            Crash(
                server=server,
                start=start,
                repeat=repeat,
                is_later=is_later,
                event="" if is_later else record.local_event,
                weight=weight,
            )
        )
        self._quarantine_if_due(now, record)

    def _weight(self, record: _Record, server: str, *, is_later: bool) -> float:
        if not is_later:
            return self._options.first_weight
        if record.times:
            # Quarantined before, and no success since.
            return 1.0
        is_known = server in record.servers
        return self._options.later_weight * (self._options.same_server_weight if is_known else 1.0)

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
                    times=record.times,
                    left_ms=int((record.until - now) * 1000),
                    crashes=tuple(record.crashes.values()),
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
                known_since=now,
                until=now + received.left_ms / 1000,
                crashes={crash.key: crash for crash in received.crashes},
                times=received.times,
                canary_until=record.canary_until if record is not None else float("-inf"),
            ),
        )
        return True

    def _merge_equal(self, now: float, record: _Record, received: SuspectRecord) -> bool:
        # The shorter remaining time is kept: with the longer one, each exchange would add its
        # transit time, and records would never expire.
        until = now + received.left_ms / 1000
        if QuarantineLevel.CLEARED in (record.level, received.level):
            return False
        added = [crash for crash in received.crashes if record.add(crash)]
        if record.level is received.level:
            record.until = min(record.until, until)
            self._quarantine_if_due(now, record)
            return bool(added)
        if record.level is QuarantineLevel.SUSPECT:
            record.level, record.until = received.level, until
            record.times = max(record.times, received.times)
            return True
        return bool(added)

    def _decide_first_seen(self, now: float, fingerprint: str) -> RunMode:
        mode = self._options.first_seen
        needs_canary = mode is FirstSeenPolicy.ALWAYS or (
            mode is FirstSeenPolicy.ALERT and now < self._alert_until
        )
        if needs_canary and fingerprint not in self._known_good:
            return RunMode.CANARY
        return RunMode.PLAIN

    def _add_suspect(self, now: float, fingerprint: str, old: _Record | None) -> _Record:
        self._known_good.pop(fingerprint, None)
        record = _Record(
            level=QuarantineLevel.SUSPECT,
            generation=old.generation + 1 if old is not None else 1,
            known_since=now,
            until=now + self._options.suspect_s,
        )
        self._store(fingerprint, record)
        return record

    def _quarantine_if_due(self, now: float, record: _Record) -> None:
        if (
            record.level is not QuarantineLevel.SUSPECT
            or record.weight < QUARANTINE_WEIGHT - _TOLERANCE
        ):
            return
        factor = self._options.growth ** min(record.times, MAX_GROWTHS)
        seconds = min(self._options.base_s * factor, self._options.max_s)
        record.level = QuarantineLevel.QUARANTINED
        record.times += 1
        record.until = now + seconds

    def _unexpired(self, now: float, fingerprint: str) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None or now < record.until:
            return record
        if record.level is QuarantineLevel.QUARANTINED:
            end = record.until + self._end_delay_s
            if now < end:
                return record
            # The quarantine has expired; one canary shows whether the request still crashes.
            record.level = QuarantineLevel.SUSPECT
            record.generation += 1
            record.known_since = end
            record.crashes.clear()
            record.local_event = ""
            record.until = now + self._options.suspect_s
            return record
        del self._records[fingerprint]
        return None

    def _store(self, fingerprint: str, record: _Record) -> None:
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(self._records) > self._options.max_records:
            self._records.popitem(last=False)
