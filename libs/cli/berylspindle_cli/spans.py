"""Read points of time as operators write them.

Either a time in UTC such as `2031-05-04T13:30:00Z`, or how long ago, such as `90s`, `10m` or `2h`.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime
from typing import Final

from berylspindle_model.stamps import Stamp

_AGO: Final = re.compile(r"(\d{1,6})(s|m|h|d)")
_UNIT_SECONDS: Final = {"s": 1, "m": 60, "h": 3600, "d": 86_400}


def parse_point(text: str, now_wall: float) -> Stamp:
    """Return the first stamp at a point of time; `now_wall` is seconds since 1970.

    Raises ValueError for a text that is neither form. A time without a zone is UTC.
    """
    if ago := _AGO.fullmatch(text):
        seconds = now_wall - int(ago[1]) * _UNIT_SECONDS[ago[2]]
    else:
        moment = datetime.fromisoformat(text)
        zoned = moment if moment.tzinfo is not None else moment.replace(tzinfo=UTC)
        seconds = zoned.timestamp()
    return Stamp(max(0, int(seconds * 1000)))
