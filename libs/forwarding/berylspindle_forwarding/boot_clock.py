"""Clock for ages and leases: it includes the time in which the machine is suspended."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since the machine was started, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
