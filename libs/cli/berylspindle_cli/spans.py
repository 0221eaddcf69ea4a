"""Parse points in time given by operators.

A point is an ISO 8601 time such as `2031-05-04T13:30:00Z`, or an age such as `90s`, `10m` or `2h`.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Final

from berylspindle_model.stamps import Stamp

_AGE: Final = re.compile(r"(\d{1,6})(s|m|h|d)")
_UNIT_SECONDS: Final = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


def parse_time(text: str, now_wall: float) -> Stamp:
    """Return the first stamp at a point in time; `now_wall` is in seconds since the Unix epoch.

    A time without a zone is taken as UTC. Raises ValueError if the text is neither an ISO 8601 time
    nor an age.
    """
    if age := _AGE.fullmatch(text):
        seconds = now_wall - int(age[1]) * _UNIT_SECONDS[age[2]]
    else:
        moment = datetime.fromisoformat(text)
        zoned = moment if moment.tzinfo is not None else moment.replace(tzinfo=UTC)
        seconds = zoned.timestamp()
    return Stamp(max(0, int(seconds * 1000)))
