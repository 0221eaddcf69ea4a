"""Play a request that crashes replicas at several VMs in virtual time, without sockets.

VMs exchange the records of their quarantines over a store that answers late. A caller sends the
crashing request again and again, with one retry at another VM, while other callers send a sound
request with one path to the same service. Replicas are back under their ids after some seconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from berylspindle_decisions.quarantine import (
    QuarantineLevel,
    RunMode,
    SuspectRecord,
)
from berylspindle_forwarding.crash_watch import make_quarantine

POISON, SOUND = "poison", "sound"
VMS = 8
CONTACT_S = 4.0
BACK_AFTER_S = 3.0
COMES_AGAIN_S = 4.0
SERVICE_S = 0.06
SOUND_INTERVAL_S = 0.07
RECORD_DELAY_S = 0.1
MAX_STORE_DELAY_S = 2.0
MAX_ANNOUNCEMENT_DELAY_S = 1.5


@attrs.define
class Replica:
    name: str
    start: int = 1
    is_up: bool = True
    running: list[Attempt] = attrs.field(factory=list)
    announced: dict[int, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Request:
    fingerprint: str
    vm: int
    admitted_at: float
    attempts_left: int
    tried: list[str] = attrs.field(factory=list)
    is_canary: bool = False
    on_end: Callable[[bool], None] = lambda served: None


@attrs.define(eq=False)
class Attempt:
    request: Request
    replica: Replica


class CrashModel:
    """One service and its callers."""

    def __init__(self, *, replicas: int, attempts: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._attempts = attempts
        self._replicas = [Replica(f"i-{number}") for number in range(replicas)]
        self.vms = [make_quarantine(f"vm-{number}") for number in range(VMS)]
        self._stored: dict[str, SuspectRecord] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0
        self.crashes: list[tuple[float, float]] = []
        self.sound: list[bool] = []
        self.sound_quarantined = False

    @property
    def late_retries(self) -> int:
        """Return the number of the caller's attempts that crashed a replica and came late."""
        if len(self.crashes) < 3:
            return 0
        counted_from = self.crashes[2][0] + CONTACT_S
        return len({sent for _, sent in self.crashes if sent > counted_from})

    def play(self, seconds: float) -> None:
        self._after(0.5, lambda: self._send(POISON, self._on_poison_end))
        self._after(0.0, self._send_sound)
        while self._due and self._due[0][0] < seconds:
            self.now, _, action = heapq.heappop(self._due)
            action()

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), action))

    def _send_sound(self) -> None:
        self._send(SOUND, self.sound.append)
        self._after(SOUND_INTERVAL_S, self._send_sound)

    def _on_poison_end(self, served: bool) -> None:
        def retry() -> None:
            self._send(POISON, lambda served: None)

        self._after(self._rng.choice((0.003, 0.2, 1.0)), retry)
        self._after(COMES_AGAIN_S, lambda: self._send(POISON, self._on_poison_end))

    def _send(self, fingerprint: str, on_end: Callable[[bool], None]) -> None:
        vm = self._rng.randrange(VMS)
        mode = self.vms[vm].decide(self.now, fingerprint)
        if not isinstance(mode, RunMode):
            on_end(False)
            return
        request = Request(fingerprint, vm, self.now, self._attempts, on_end=on_end)
        if mode is RunMode.CANARY:
            request.attempts_left, request.is_canary = 1, True
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        untried = [one for one in self._replicas if one.is_up and one.name not in request.tried]
        avoided = self.vms[request.vm].servers(self.now, request.fingerprint)
        preferred = [one for one in untried if not request.is_canary or one.name not in avoided]
        if not untried or not request.attempts_left:
            self._end(request, served=False)
            return
        replica = self._rng.choice(preferred or untried)
        request.attempts_left -= 1
        request.tried.append(replica.name)
        attempt = Attempt(request, replica)
        replica.running.append(attempt)
        if request.fingerprint == POISON:
            self._after(0.001, lambda: self._crash(attempt))
        else:
            self._after(SERVICE_S, lambda: self._finish(attempt))

    def _finish(self, attempt: Attempt) -> None:
        if attempt in attempt.replica.running:
            attempt.replica.running.remove(attempt)
            vm, fingerprint = attempt.request.vm, attempt.request.fingerprint
            was_suspect = self.vms[vm].level(self.now, fingerprint) is QuarantineLevel.SUSPECT
            self.vms[vm].on_success(self.now, fingerprint)
            if was_suspect:
                self._write(vm, fingerprint)
            self._end(attempt.request, served=True)

    def _end(self, request: Request, *, served: bool) -> None:
        if request.is_canary and not served:
            self.vms[request.vm].on_inconclusive(request.fingerprint)
        request.on_end(served)

    def _crash(self, cause: Attempt) -> None:
        replica = cause.replica
        if cause not in replica.running:
            return
        self.crashes.append((self.now, cause.request.admitted_at))
        lost, replica.running, replica.is_up = replica.running, [], False
        for attempt in lost:
            self._record_loss(attempt)
            self._attempt(attempt.request)

        def restart() -> None:
            replica.start += 1
            replica.is_up = True
            for vm in range(VMS):
                delay = self._rng.uniform(0.0, MAX_ANNOUNCEMENT_DELAY_S)
                started = {vm: replica.start}
                self._after(delay, lambda started=started: replica.announced.update(started))

        self._after(BACK_AFTER_S, restart)

    def _record_loss(self, attempt: Attempt) -> None:
        request, replica = attempt.request, attempt.replica
        self.vms[request.vm].on_connection_lost(
            self.now,
            request.fingerprint,
            replica.name,
            start=replica.announced.get(request.vm, 1),
            elapsed_ms=(self.now - request.admitted_at) * 1000,
        )
        self._after(RECORD_DELAY_S, lambda: self._write(request.vm, request.fingerprint))

    def _write(self, vm: int, fingerprint: str) -> None:
        if (stored := self._stored.get(fingerprint)) is not None:
            self.vms[vm].merge((stored,), self.now)
        for record in self.vms[vm].export(self.now):
            if record.fingerprint != fingerprint:
                continue
            self._stored[fingerprint] = record
            if fingerprint == SOUND and record.level is QuarantineLevel.QUARANTINED:
                self.sound_quarantined = True
            for reader in self.vms:
                delay = self._rng.uniform(0.05, MAX_STORE_DELAY_S)
                self._after(
                    delay,
                    lambda reader=reader, record=record: reader.merge((record,), self.now),
                )
