"""Track which other data centres this VM reaches, and whether it is cut off from all of them.

Pattern of load: a data centre is cut off from the others for some seconds, and callers still reach
its VMs. A quarter of the shards have no replica in it. Its VMs send what they can't answer to
replicas that they can't reach, and callers wait until their deadlines; a balancer that saw the VMs
unready would have sent them to another data centre.

Terms:
  heard      a reply or a new connection of a replica or VM of a data centre
  dark       tried for some time, and not heard since
  silent     VMs of a data centre were probed, none has answered, and nothing else was heard
  quiet      an attempt elsewhere is overdue and nothing was heard from anywhere meanwhile
  cut off    two data centres are dark or silent, or the only other one, and none was heard
  suspected  another VM of the own data centre has said that it is cut off

Flow: `tried`, `probed` and `heard` follow every attempt; `is_dark` and `is_cut_off` are asked
before each choice and by the readiness of this VM. A VM that `is_quiet` probes the other data
centres; probes are answered in milliseconds whatever replicas do, so that their silence is believed
after `CUT_AFTER` in place of `DARK_AFTER`. A suspected VM counts as cut off until it hears another
data centre; it probes them while `should_probe`, so that its own evidence decides.

Guards: the VMs of a cut off data centre follow each other's mirrors, some of which have seen no cut
yet. Where their word ended a suspicion, VMs were ready and unready by turns each second, and the
balancer, which needs all of them unready, never sent callers elsewhere. A VM that has heard nothing
since its start does not trust probes: after a loss of power its peers have not started either.

Thresholds: `DARK_AFTER` is over twice a replica's pause; a data centre in which all replicas are
ten times as slow still answers within it. `TRIES` of 3 keeps a single lost packet, or one crashed
replica, from darkening a data centre. A wrong alarm ends with the next answer from outside, and a
balancer that asks every second and counts two misses does not see one that short.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

DARK_AFTER: Final = 0.4
TRIES: Final = 3

QUIET_AFTER: Final = 0.08
"""Seconds without a word from outside after which an attempt is overdue; most take half of it."""

SILENT_AFTER: Final = 0.1
CUT_AFTER: Final = 0.18
"""Seconds after which probes are overdue, and seconds without a word for which their silence has to
last."""


@attrs.define
class _Reached:
    heard_at: float = -math.inf
    tried_since: float = math.inf
    tries: int = 0
    probed_since: float = math.inf


class Reach:
    """What one VM knows of its ways to other data centres; times are seconds of its clock."""

    def __init__(self, own: str) -> None:
        self._own: Final = own
        self._others: dict[str, _Reached] = {}
        self._heard_at = -math.inf
        self._suspected_since = -math.inf
        self._suspected_until = -math.inf

    def tried(self, now: float, data_centre: str) -> None:
        """Note an attempt at something in a data centre."""
        if data_centre == self._own:
            return
        reached = self._others.setdefault(data_centre, _Reached())
        if not reached.tries:
            reached.tried_since = now
        reached.tries += 1

    def probed(self, now: float, data_centre: str) -> None:
        """Note a probe of VMs of a data centre."""
        self.tried(now, data_centre)
        reached = self._others[data_centre]
        reached.probed_since = min(reached.probed_since, now)

    def heard(self, now: float, data_centre: str) -> None:
        """Note a sign of life from a data centre."""
        if data_centre == self._own:
            return
        reached = self._others.setdefault(data_centre, _Reached())
        reached.heard_at = self._heard_at = now
        reached.tries = 0
        reached.tried_since = reached.probed_since = math.inf

    @property
    def is_waiting(self) -> bool:
        """Return whether an attempt elsewhere has not been followed by a word from there."""
        return any(one.tries for one in self._others.values())

    def is_quiet(self, now: float) -> bool:
        """Return whether an attempt elsewhere is overdue and nothing was heard since it began."""
        since = min((one.tried_since for one in self._others.values()), default=math.inf)
        return math.isfinite(self._heard_at) and now - max(since, self._heard_at) >= QUIET_AFTER

    def is_dark(self, now: float, data_centre: str) -> bool:
        """Tell whether a data centre has been tried for some time and not heard since."""
        reached = self._others.get(data_centre)
        if reached is None:
            return False
        return reached.tries >= TRIES and now - reached.tried_since >= DARK_AFTER

    def heard_since(self, data_centre: str, at: float) -> bool:
        """Return whether a data centre gave a sign of life since; the own one always has."""
        if data_centre == self._own:
            return True
        reached = self._others.get(data_centre)
        return reached is not None and reached.heard_at >= at

    def suspect(self, now: float, *, until: float) -> None:
        """Note that another VM of the own data centre has said that it is cut off."""
        if now >= self._suspected_until:
            self._suspected_since = now
        self._suspected_until = max(self._suspected_until, until)

    def end_suspicion(self) -> None:
        """Note that whoever raised the suspicion reaches other data centres again."""
        self._suspected_until = -math.inf

    def should_probe(self, now: float) -> bool:
        """Return whether to probe other data centres."""
        return now < self._suspected_until or self._sees_cut(now)

    def is_cut_off(self, now: float) -> bool:
        """Return whether no other data centre is reached, by own evidence or by suspicion."""
        suspected = self._heard_at < self._suspected_since and now < self._suspected_until
        return suspected or self._sees_cut(now)

    def _sees_cut(self, now: float) -> bool:
        # One that is dark may be the one that is cut off, while the others are seldom tried.
        enough = min(2, max(1, len(self._others)))
        unheard = now - self._heard_at
        dark = (self.is_dark(now, name) for name in self._others)
        if unheard >= DARK_AFTER and sum(dark) >= enough:
            return True
        silent = (now - one.probed_since >= SILENT_AFTER for one in self._others.values())
        return CUT_AFTER <= unheard < math.inf and sum(silent) >= enough

    @property
    def others(self) -> tuple[str, ...]:
        """Return the other data centres that were ever tried or heard."""
        return tuple(self._others)
