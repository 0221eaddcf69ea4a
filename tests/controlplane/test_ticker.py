"""Test that the control plane's ticker continues after a failed tick."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from berylspindle_controlplane.documents import CONFIGURATION_KEY
from berylspindle_controlplane.gossip import Gossip
from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.configuration import Configuration, DataCentre
from berylspindle_model.configuration_codec import to_stored


async def test_a_failed_tick_does_not_end_the_ticker(
    cluster: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against idle servers after an error in one tick.

    If the ticker ended, the VM's dispatch rights would expire until it is restarted.
    """
    configuration = Configuration(
        revision=1, deployment="d", data_centres=(DataCentre(name="a", region="n"),)
    )
    cluster.store.write(CONFIGURATION_KEY, to_stored(configuration), 0)
    vms = [await cluster.start(name, "a") for name in ("a1", "a2")]
    plane = cluster.plane(vms[0])

    def holds_any_right() -> bool:
        now = asyncio.get_running_loop().time()
        levels = [plane.rights.level(f"server-{n}", now) for n in range(20)]
        return RightLevel.HELD in levels

    await cluster.until(holds_any_right)
    tick, failures_left = Gossip.tick, [5]

    def failing_tick(self: Gossip, now: float) -> None:
        if failures_left[0]:
            failures_left[0] -= 1
            raise RuntimeError("injected error")
        tick(self, now)

    monkeypatch.setattr(Gossip, "tick", failing_tick)
    await asyncio.sleep(10.0)
    assert failures_left == [0]
    assert holds_any_right()
