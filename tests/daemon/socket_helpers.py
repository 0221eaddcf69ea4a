"""Helpers of the tests over sockets: clusters, callers, operators and background load."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Final

from berylspindle_bench.cluster import Cluster, start_cluster
from berylspindle_bench.load import Balancer
from berylspindle_client.callers import CallerClient
from berylspindle_client.fleet import FleetStatus
from berylspindle_client.operators import OperatorClient
from berylspindle_client.outcomes import Failure
from berylspindle_model.configuration import Policy, Preference
from berylspindle_model.intents import Confirmation, Intent, IntentKind, Plan
from berylspindle_model.messages import SearchAnswer
from berylspindle_standins.backend_standin import ServerCounts
from berylspindle_telemetry.secret import Secret

SERVICE: Final = "lots"
# Long enough that a slow machine causes no refusals: the tests check order and counts, not speed.
DEADLINE_MS: Final = 10_000
# Time limit for new work to stop. The daemons need some tenths of a second; the rest allows for a
# machine that is busy with other tests.
STOP_WORK_LIMIT_S: Final = 5.0
# With this policy no answer omits a shard because of a straggler: a missing shard is a fault.
FULL_COVERAGE: Final = Policy(prefer=Preference.COVERAGE, deadline_ms=DEADLINE_MS)
_POLL_INTERVAL_S: Final = 0.05
_WORKERS: Final = 6


async def start_small_cluster(
    stack: AsyncExitStack,
    folder: Path,
    *flags: str,
    policy: Policy | None = None,
    settings: dict[str, str] | None = None,
) -> Cluster:
    """Start the small deployment; `flags` are passed to its backend servers."""
    cluster = start_cluster(
        "small",
        folder,
        settings={"BERYLSPINDLE_UNREADY_SECONDS": "0.2", **(settings or {})},
        backend_flags=flags,
        policy=policy,
    )
    return await stack.enter_async_context(cluster)


async def open_caller(stack: AsyncExitStack, cluster: Cluster, number: int = 0) -> CallerClient:
    """Open a caller's client of one VM."""
    address = cluster.plan.daemons[number].callers_address
    return await stack.enter_async_context(CallerClient([address], caller="test"))


async def open_operator(stack: AsyncExitStack, cluster: Cluster, *numbers: int) -> OperatorClient:
    """Open an operator's client of these VMs, or of all VMs if none is given."""
    chosen = numbers or range(len(cluster.plan.daemons))
    addresses = [cluster.plan.daemons[number].admin_address for number in chosen]
    name = f"operator-{'-'.join(map(str, numbers))}"
    opened = OperatorClient(addresses, token=Secret(cluster.token), operator=name, timeout=20.0)
    return await stack.enter_async_context(opened)


async def search_until_complete(caller: CallerClient, query: str = "lot") -> SearchAnswer:
    """Search until an answer covers all shards; a latency-first policy may omit a straggler."""
    for _ in range(20):
        result = await caller.search(SERVICE, query, deadline_ms=DEADLINE_MS)
        assert isinstance(result, SearchAnswer), result
        if not result.coverage.missing:
            return result
    raise AssertionError("no complete answer in 20 searches")


async def make_plan(admin: OperatorClient, kind: IntentKind, subject: str) -> Plan:
    plan = await admin.plan(Intent(kind=kind, subject=subject))
    assert isinstance(plan, Plan), plan
    return plan


async def plan_and_confirm(admin: OperatorClient, kind: IntentKind, subject: str) -> Confirmation:
    """Plan an intent, confirm the plan and return the confirmation."""
    result = await admin.confirm(await make_plan(admin, kind, subject))
    assert isinstance(result, Confirmation), result
    return result


async def fleet_status(admin: OperatorClient) -> FleetStatus:
    """Return the merged status of the VMs."""
    result = await admin.status()
    assert isinstance(result, FleetStatus), result
    return result


async def revisions_by_vm(admin: OperatorClient) -> dict[str, int]:
    """Return the revision in force at each VM."""
    return {report.vm: report.revision for report in (await fleet_status(admin)).reports}


async def wait_until(
    condition: Callable[[], Awaitable[bool]], failure: str, seconds: float = 20.0
) -> None:
    """Wait until a condition holds; fail with `failure` after `seconds`."""
    ends = asyncio.get_running_loop().time() + seconds
    while not await condition():
        assert asyncio.get_running_loop().time() < ends, failure
        await asyncio.sleep(_POLL_INTERVAL_S)


async def counts_in(cluster: Cluster, data_centre: str) -> list[ServerCounts]:
    """Return the counts of the backend servers of one data centre."""
    counts = await cluster.backend_counts()
    return [one for one in counts.values() if one.data_centre == data_centre]


class Load:
    """Background searches by a few callers, through VMs that a load balancer considers ready.

    The load is closed-loop: each caller waits for its answer before the next search, so that a busy
    machine gets less load instead of a queue. After "not run" the client tries the next VM.
    """

    def __init__(
        self,
        cluster: Cluster,
        *,
        excluded: frozenset[int] = frozenset(),
        workers: int = _WORKERS,
        pause: float = 0.01,
        deadline_ms: int = DEADLINE_MS,
    ) -> None:
        daemons = enumerate(cluster.plan.daemons)
        self._daemons: Final = [
            one.callers_address for number, one in daemons if number not in excluded
        ]
        self._balancer: Final = Balancer(self._daemons)
        self._workers: Final = workers
        self._pause: Final = pause
        self._deadline_ms: Final = deadline_ms
        self._stack: Final = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.outcomes: Final[list[SearchAnswer | Failure]] = []

    @property
    def unanswered(self) -> list[Failure]:
        """Return the failures of searches."""
        return [one for one in self.outcomes if not isinstance(one, SearchAnswer)]

    @property
    def partial(self) -> list[SearchAnswer]:
        """Return the answers with missing shards."""
        answers = (one for one in self.outcomes if isinstance(one, SearchAnswer))
        return [one for one in answers if one.coverage.missing]

    async def __aenter__(self) -> Load:
        loop = asyncio.get_running_loop()
        clients = {}
        for number, address in enumerate(self._daemons):
            order = self._daemons[number:] + self._daemons[:number]
            opened = CallerClient(order, caller="load")
            clients[address] = await self._stack.enter_async_context(opened)
        checking = loop.create_task(self._balancer.run_readiness_checks())
        self._stack.callback(checking.cancel)

        async def work(worker: int) -> None:
            while not self._stopping:
                caller = clients[self._balancer.next_daemon()]
                query = f"lot {worker} {len(self.outcomes)}"
                result = await caller.search(SERVICE, query, deadline_ms=self._deadline_ms)
                self.outcomes.append(result)
                await asyncio.sleep(self._pause)

        self._tasks = [loop.create_task(work(worker)) for worker in range(self._workers)]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopping = True
        await asyncio.gather(*self._tasks)
        await self._stack.aclose()
