"""Case 6: a request that crashes replicas goes on to do so once it has crashed all that are usable."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "target" / "review-2"))
try:
    from small_site import ZONES, Site, configuration, route, run_case
except ImportError:
    sys.exit(2)

HOST = "lots.example"
PATH = "/booking/7f"
CONTACT_S = 4.0
ALLOWED_RETRIES = 3
COMES_AGAIN_S = 4.0
PLAY_S = 45.0


async def case(site: Site, trouble: bool) -> bool:
    for number, zone in enumerate(ZONES[:3]):
        replica = await site.add_replica(f"i-booking-{number}", "booking", zone)
        replica.poison = PATH if trouble else ""
        replica.back_after_s = 3.0
    site.put_config(configuration(3, [route("booking", "/booking/", service="booking")]))
    site.store.put(f"op/evacuate/{ZONES[2]}", {})
    site.record.note(f"operator: {ZONES[2]} is evacuated")
    await site.start()
    await asyncio.sleep(5.0)

    machines = itertools.cycle(site.daemons)
    numbers = itertools.count(1)
    lost: list[tuple[str, int]] = []

    async def other_callers() -> None:
        """Sound requests to the same service, each with another path, one each 0.2 s."""
        for number in itertools.count(1):
            await asyncio.sleep(0.2)
            request = f"sound-{number}"
            status, _, _ = await site.ask(next(machines), request, HOST, f"/booking/sound{number}")
            if status != 200:
                lost.append((request, status))

    others = asyncio.create_task(other_callers())
    began = site.record.now()
    while site.record.now() - began < PLAY_S:
        # A caller and its one retry, at another machine after a failure, with a new id.
        for _ in range(2):
            request = f"again-{next(numbers)}"
            status, headers, _ = await site.ask(next(machines), request, HOST, PATH)
            if status == 200:
                break
            wait = min(float(headers.get("retry-after", "0")), 1.3)
            await asyncio.sleep(wait)
        await asyncio.sleep(COMES_AGAIN_S)
    others.cancel()

    crashes = sorted(crash for one in site.replicas.values() for crash in one.crashes)
    site.record.note(f"the request crashed replicas {len(crashes)} times")
    site.record.note(f"{len(lost)} sound requests of other callers were not served: {lost[:8]}")
    if len(crashes) < ALLOWED_RETRIES:
        return True
    counted_from = crashes[2][0] + CONTACT_S
    late = {request for _, request in crashes if site.requests[request][0] > counted_from}
    site.record.note(
        f"{len(late)} retries that were sent later than contact_ms after the third crash reached"
        f" replicas; {ALLOWED_RETRIES} are allowed"
    )
    return len(late) <= ALLOWED_RETRIES


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
