"""Give each VM an even share of each quota, without messages (`ForwardPolicy.lends_tokens` off)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from berylspindle_decisions.even_share import EvenShare
from berylspindle_decisions.quota_limits import QuotaBounds
from berylspindle_forwarding.quota_admission import OverQuota, QuotaAdmission
from berylspindle_model.quota_status import OrganisationStatus
from berylspindle_model.routing import Organisation
from berylspindle_telemetry.metrics import Metrics


class EvenQuotaShares(QuotaAdmission):
    """Admit requests by this VM's even share; `vms` returns the number of VMs."""

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        bounds: QuotaBounds,
        vms: Callable[[], int],
        clock: Callable[[], float],
        metrics: Metrics,
        uniform: Callable[[], float],
    ) -> None:
        super().__init__(
            vm=vm, data_centre=data_centre, bounds=bounds, metrics=metrics, uniform=uniform
        )
        self._vms: Final = vms
        self._clock: Final = clock
        self._shares: Final[dict[str, EvenShare]] = {}

    async def _decide(self, name: str, until: float) -> OverQuota | None:
        now, vms = self._clock(), self._vms()
        share = self._shares.get(name)
        if share is None:
            share = self._shares[name] = EvenShare(self._limits[name], now, vms)
        return None if share.take(now, vms) else OverQuota(share.retry_after_s())

    def _on_limits(self) -> None:
        for name, share in tuple(self._shares.items()):
            limit = self._limits.get(name)
            if limit is not None:
                share.set_limit(limit)
            else:
                del self._shares[name]

    def _describe(self, organisation: Organisation) -> OrganisationStatus:
        quota = super()._describe(organisation)
        share = self._shares.get(organisation.name)
        return quota if share is None else attrs.evolve(quota, level=round(share.level, 3))
