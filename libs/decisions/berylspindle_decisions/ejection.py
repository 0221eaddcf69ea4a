"""Detect outliers among backend servers and eject them for a while.

Without ejection, each scatter-gather that includes a slow or failing server waits for it. Ejection
without a limit is worse: a common fault (a slow network, a bad version) would eject one server
after the other, and overload the last ones.

Terms:
  group       the replicas of one shard; the last active one is never ejected
  outlier     a server whose smoothed latency is far above the median of the others in its group
  probation   the state after an ejection: the server gets single trials until enough succeed

Flow: outcomes of attempts go to `on_success`, `on_cancelled` and `on_failure`. A success is
recorded with the latency that the owner observed, since the latency that the entry VM observes
includes the network and the queue. The choice of a replica reads `status` and `may_use`.

Thresholds: a server is ejected after 5 consecutive failures. After 20 responses it is also ejected
if its smoothed latency is over 4 times the median of the others and over 10 ms above that median.
The first ejection lasts 2 s, and each further one twice as long as the previous one, up to 60 s. At
most a third of a service is ejected at once, and one replica of each shard always stays active. In
probation, a trial starts every 200 ms; 5 successes end the probation, and one failure ejects the
server again.
"""

from __future__ import annotations

import enum
import statistics
from collections.abc import Iterable, Mapping

import attrs


class EjectionStatus(enum.Enum):
    """Whether a server gets traffic."""

    ACTIVE = "in"
    PROBATION = "probation"
    EJECTED = "ejected"


@attrs.frozen(kw_only=True)
class EjectionOptions:
    """Thresholds and durations of ejections.

    Attributes:
        failures: consecutive failures that eject a server.
        slow_factor: multiple of the others' median latency that ejects a server.
        slow_floor_ms: milliseconds over that median that must be exceeded as well.
        min_answers: responses before the latency counts.
        smoothing: weight of a new response in the smoothed latency, 0 to 1.
        max_share: largest share of a service's servers ejected at once, 0 to 1.
        base_s: seconds of the first ejection.
        max_s: seconds of the longest ejection.
        forgive_s: seconds in use after which the next ejection lasts `base_s` again.
        trial_s: seconds between trials in probation.
        trials: successful trials that end the probation.
    """

    failures: int = 5
    slow_factor: float = 4.0
    slow_floor_ms: float = 10.0
    min_answers: int = 20
    smoothing: float = 0.1
    max_share: float = 1 / 3
    base_s: float = 2.0
    max_s: float = 60.0
    forgive_s: float = 120.0
    trial_s: float = 0.2
    trials: int = 5


@attrs.define(kw_only=True)
class _Record:
    group: str
    status: EjectionStatus = EjectionStatus.ACTIVE
    latency_ms: float | None = None
    answers: int = 0
    failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = float("-inf")
    returned_at: float = float("-inf")
    next_trial_at: float = float("-inf")
    successful_trials: int = 0


class Ejector:
    """Ejections of the servers of one service, as decided by one entry VM."""

    def __init__(
        self, groups: Mapping[str, Iterable[str]], options: EjectionOptions | None = None
    ) -> None:
        self._options = options or EjectionOptions()
        self._records: dict[str, _Record] = {}
        self._groups: dict[str, tuple[str, ...]] = {}
        self._ejections = 0
        self.set_groups(groups)

    @property
    def ejections(self) -> int:
        """Return the number of ejections so far."""
        return self._ejections

    def set_groups(self, groups: Mapping[str, Iterable[str]]) -> None:
        """Set a new shard map; servers that stay in their shard keep their state."""
        old = self._records
        self._records = {}
        self._groups = {group: tuple(servers) for group, servers in groups.items()}
        for group, servers in self._groups.items():
            for server in servers:
                kept = old.get(server)
                is_same_group = kept is not None and kept.group == group
                self._records[server] = kept if kept and is_same_group else _Record(group=group)

    def latency_ms(self, server: str) -> float | None:
        """Return the smoothed latency of a server, or None without a response so far."""
        record = self._records.get(server)
        return record.latency_ms if record is not None else None

    def status(self, now: float, server: str) -> EjectionStatus:
        """Return the status of a server; the end of an ejection starts the probation."""
        record = self._records.get(server)
        if record is None:
            return EjectionStatus.ACTIVE
        if record.status is EjectionStatus.EJECTED and now >= record.ejected_until:
            record.status = EjectionStatus.PROBATION
            record.successful_trials = 0
            record.next_trial_at = now
        return record.status

    def may_use(self, now: float, server: str) -> bool:
        """Return whether a server may get a sub-request; only `on_use` counts it as a trial."""
        status = self.status(now, server)
        if status is EjectionStatus.PROBATION:
            return now >= self._records[server].next_trial_at
        return status is EjectionStatus.ACTIVE

    def on_use(self, now: float, server: str) -> None:
        """Record a sub-request to a server; in probation, the next may follow after `trial_s`."""
        record = self._records.get(server)
        if record is not None and record.status is EjectionStatus.PROBATION:
            record.next_trial_at = now + self._options.trial_s

    def on_success(self, now: float, server: str, latency_ms: float) -> None:
        """Record a response and the latency of the server."""
        record = self._records.get(server)
        if record is None:
            return
        record.failures = 0
        record.answers += 1
        self._update_latency(record, latency_ms)
        if self.status(now, server) is EjectionStatus.PROBATION:
            self._on_trial_success(now, server, record, latency_ms)
        elif self._is_outlier(server, record):
            self._eject(now, server, record)

    def on_cancelled(self, server: str, elapsed_ms: float) -> None:
        """Record an attempt that was cancelled after `elapsed_ms`, since its hedge was faster.

        Otherwise a slow server whose attempts are all hedged would have no latency on record: it
        would be chosen repeatedly, and each time cost a hedge and its delay.
        """
        record = self._records.get(server)
        if record is None:
            return
        # Within the usual latency a cancellation is no evidence; the caller may have disconnected.
        reference_ms = record.latency_ms
        if reference_ms is None:
            reference_ms = self._others_median_ms(server, record)
        if reference_ms is None or elapsed_ms <= reference_ms:
            return
        record.answers += 1
        self._update_latency(record, elapsed_ms)

    def on_failure(self, now: float, server: str) -> None:
        """Record a failed attempt: a lost connection, a timeout or an error, but not a shed."""
        record = self._records.get(server)
        if record is None:
            return
        record.failures += 1
        in_probation = self.status(now, server) is EjectionStatus.PROBATION
        if in_probation or record.failures >= self._options.failures:
            self._eject(now, server, record)

    def _update_latency(self, record: _Record, latency_ms: float) -> None:
        if record.latency_ms is None:
            record.latency_ms = latency_ms
            return
        record.latency_ms += self._options.smoothing * (latency_ms - record.latency_ms)

    def _on_trial_success(
        self, now: float, server: str, record: _Record, latency_ms: float
    ) -> None:
        if self._is_slow(latency_ms, self._others_median_ms(server, record)):
            self._eject(now, server, record)
            return
        record.successful_trials += 1
        if record.successful_trials < self._options.trials:
            return
        record.status = EjectionStatus.ACTIVE
        record.returned_at = now
        record.answers = 0
        # The old smoothed latency caused the ejection and would cause the next one at once.
        record.latency_ms = latency_ms

    def _is_outlier(self, server: str, record: _Record) -> bool:
        if record.status is not EjectionStatus.ACTIVE or record.answers < self._options.min_answers:
            return False
        if record.latency_ms is None:
            return False
        return self._is_slow(record.latency_ms, self._others_median_ms(server, record))

    def _is_slow(self, latency_ms: float, others_ms: float | None) -> bool:
        if others_ms is None:
            return False
        exceeds_factor = latency_ms > others_ms * self._options.slow_factor
        return exceeds_factor and latency_ms > others_ms + self._options.slow_floor_ms

    def _others_median_ms(self, server: str, record: _Record) -> float | None:
        others = (self._records[n] for n in self._groups[record.group] if n != server)
        known_ms = [other.latency_ms for other in others if other.latency_ms is not None]
        # Of two others, the faster one: the slower may be an outlier too.
        return statistics.median_low(known_ms) if known_ms else None

    def _eject(self, now: float, server: str, record: _Record) -> None:
        if record.status is EjectionStatus.EJECTED or not self._may_eject(server, record):
            return
        if now - record.returned_at > self._options.forgive_s and record.returned_at > float(
            "-inf"
        ):
            record.consecutive_ejections = 0
        seconds = min(self._options.base_s * 2**record.consecutive_ejections, self._options.max_s)
        record.consecutive_ejections += 1
        record.status = EjectionStatus.EJECTED
        record.ejected_until = now + seconds
        record.failures = 0
        self._ejections += 1

    def _may_eject(self, server: str, record: _Record) -> bool:
        if record.status is EjectionStatus.PROBATION:
            return True  # It counts as ejected already.
        ejected = sum(1 for r in self._records.values() if r.status is not EjectionStatus.ACTIVE)
        if ejected + 1 > self._options.max_share * len(self._records):
            return False
        # Without its last replica a shard is missing from every result; a bad replica is better.
        others = (self._records[n] for n in self._groups[record.group] if n != server)
        return any(other.status is EjectionStatus.ACTIVE for other in others)
