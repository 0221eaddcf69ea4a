"""Share a fleet of VMs in two data centres that lend each other quota tokens over sockets."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Collection
from contextlib import AsyncExitStack, asynccontextmanager

from forward_site import plain_route
from raw_server import open_raw_server

from berylspindle_decisions.quota_limits import ARRIVAL_LAG_S, QuotaBounds, quota_limit
from berylspindle_forwarding.attempt_policy import RequestTimes
from berylspindle_forwarding.boot_clock import boot_time
from berylspindle_forwarding.catalogue_changes import VmChange, VmEntry
from berylspindle_forwarding.quota_owners import QuotaOwners
from berylspindle_forwarding.quota_service import QuotaService
from berylspindle_model.quota_status import STATUS_PATH, OrganisationStatus
from berylspindle_model.routing import CallerLimits, Organisation, RoutingTable
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpRequest, HttpResponse
from berylspindle_wire.http_server import HttpServer, serve

BOUNDS = QuotaBounds(window_s=2.0, overshoot=0.1, slack=10.0)
ACME = Organisation(name="acme", rate=20.0, burst=20.0)
ROUTE = plain_route()


def table_of(version: int, *organisations: Organisation) -> RoutingTable:
    return RoutingTable(version, (ROUTE,), {}, CallerLimits(), organisations)


class VmOwners(QuotaOwners):
    """Owners whose addresses lead nowhere for VMs that this one is cut off from."""

    fleet: Fleet

    def address(self, vm: str) -> tuple[str, int] | None:
        known = super().address(vm)
        is_cut = self.fleet.cut_off and (vm[0] != self._vm[0])
        return self.fleet.nowhere if known and is_cut else known


class QuotaVm:
    """One VM: its service and its peers' edge."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self.fleet = fleet
        self.server: HttpServer | None = None
        self.port = 0
        self.metrics = Metrics()
        self.is_silent = False

    async def start(self) -> None:
        """Open the edge, on the port of the previous process if there was one."""
        self.server = await serve(self._answer, host="127.0.0.1", port=self.port)
        self.port = self.server.port
        self.owners = VmOwners(
            vm=self.name,
            data_centre=self.name[0],
            clock=self.fleet.clock,
            lease_valid_until=lambda: math.inf,
            announced_at=lambda: -math.inf,
        )
        self.owners.fleet = self.fleet
        self.service = QuotaService(
            vm=self.name,
            data_centre=self.name[0],
            bounds=self.fleet.bounds,
            owners=self.owners,
            clock=self.fleet.clock,
            metrics=self.metrics,
            rng=random.Random(self.name),
        )
        self.service.set_table(self.fleet.table)

    def list_vms(self) -> None:
        for vm in self.fleet.vms.values():
            entry = VmEntry(host="127.0.0.1", port=vm.port, data_centre=vm.name[0])
            self.owners.apply(VmChange(vm.name, entry))
        self.owners.on_listed()

    async def stop(self) -> None:
        """End the process: open connections are reset and new ones refused."""
        if self.server is not None:
            await self.server.close(0.0)
            await self.service.close()
        self.server = None

    async def ask(self, organisation: Organisation = ACME, left_s: float = 4.0) -> str:
        """Ask for one request, and return "admitted" or the kind of the refusal."""
        now = asyncio.get_running_loop().time()
        times = RequestTimes(
            started=now, aim_cutoff=now + 2.0, deadline=now + left_s, answer_by=now + left_s
        )
        refusal = await self.service.admit(organisation, ROUTE, times)
        if refusal is not None:
            assert refusal.retry_after_ms is not None
            assert refusal.retry_after_ms <= left_s * 1000 / 3
            return refusal.kind.value
        self.fleet.admitted.append(asyncio.get_running_loop().time())
        return "admitted"

    async def status(self, organisation: Organisation = ACME) -> OrganisationStatus:
        rows = (await self.service.status()).organisations
        return next(row for row in rows if row.name == organisation.name)

    @property
    def calls(self) -> Counter[str]:
        """Return the numbers of calls to other VMs, by result."""
        family = self.metrics._counters.get(names.QUOTA_CALLS, {})
        return Counter({result: int(one.value) for (_, result), one in family.items()})

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        response = await self.service.handle(request)
        if self.is_silent:
            await asyncio.Event().wait()
        return response


class Fleet:
    """VMs whose names start with the name of their data centre.

    While `cut_off` is set, VMs reach only those of their own data centre. `skip_ahead` lets time
    pass that nothing waits for.
    """

    def __init__(self, vms: Collection[str], table: RoutingTable, bounds: QuotaBounds) -> None:
        self.bounds = bounds
        self.table = table
        self.cut_off = False
        self.nowhere = ("127.0.0.1", 0)
        self.admitted: list[float] = []
        self.offset = 0.0
        self.vms = {name: QuotaVm(name, self) for name in vms}

    def clock(self) -> float:
        return boot_time() + self.offset

    def skip_ahead(self, seconds: float) -> None:
        self.offset += seconds

    def owner(self, organisation: Organisation = ACME) -> QuotaVm:
        first = next(iter(self.vms.values()))
        return self.vms[first.owners.rank(organisation.name).owner or ""]

    def lenders(self, data_centre: str, organisation: Organisation = ACME) -> list[QuotaVm]:
        """Return the VMs of a data centre, the first lender first."""
        vm = next(vm for name, vm in self.vms.items() if name[0] == data_centre)
        return [self.vms[name] for name in vm.owners.rank(organisation.name).lenders]

    def remote_data_centre(self) -> str:
        """Return the data centre without the owner."""
        return "b" if self.owner().name[0] == "a" else "a"

    def set_table(self, table: RoutingTable, *, skipped: Collection[QuotaVm] = ()) -> None:
        self.table = table
        for vm in self.vms.values():
            if vm not in skipped:
                vm.service.set_table(table)

    def depth(self) -> float:
        limit = quota_limit(ACME.rate, ACME.burst, self.bounds)
        assert limit is not None
        return limit.depth

    async def read_status_page(self, vm: QuotaVm) -> bytes:
        async with HttpClient("127.0.0.1", vm.port) as client:
            return (await client.get(STATUS_PATH)).body

    async def load(
        self,
        rate: float,
        seconds: float,
        vms: Collection[QuotaVm] = (),
        *,
        organisation: Organisation = ACME,
    ) -> Counter[str]:
        """Send requests to VMs in turn, at `rate` altogether, and return the results."""
        targets = list(vms or self.vms.values())
        async with asyncio.TaskGroup() as group:
            tasks = []
            for number in range(int(rate * seconds)):
                tasks.append(group.create_task(targets[number % len(targets)].ask(organisation)))
                await asyncio.sleep(1 / rate)
        return Counter(task.result() for task in tasks)

    def check_bound(self, organisation: Organisation = ACME) -> None:
        """Check that no window has more admitted requests than the bounds allow."""
        allowed = self.bounds.allowed(organisation.rate, organisation.burst)
        window = self.bounds.window_s + ARRIVAL_LAG_S
        times = sorted(self.admitted)
        counts = [sum(start <= at < start + window for at in times) for start in times]
        assert max(counts, default=0) <= allowed


@asynccontextmanager
async def open_fleet(
    *organisations: Organisation,
    vms: Collection[str] = ("a1", "a2", "a3", "b1", "b2", "b3"),
    bounds: QuotaBounds = BOUNDS,
) -> AsyncIterator[Fleet]:
    """Open a fleet whose owners are not fresh."""
    async with AsyncExitStack() as stack:
        fleet = Fleet(vms, table_of(1, *(organisations or (ACME,))), bounds)
        fleet.nowhere = ("127.0.0.1", await stack.enter_async_context(open_raw_server()))
        for vm in fleet.vms.values():
            await vm.start()
            stack.push_async_callback(vm.stop)
        for vm in fleet.vms.values():
            vm.list_vms()
        fleet.skip_ahead(60.0)
        yield fleet
