"""A VM that is paused while it has dispatch rights, and resumed after others took them over."""

from __future__ import annotations

import asyncio
import re
import signal
from contextlib import AsyncExitStack
from pathlib import Path

from socket_helpers import (
    SERVICE,
    Load,
    fleet_status,
    open_caller,
    open_operator,
    start_small_cluster,
    wait_until,
)

from berylspindle_bench.cluster import Cluster, DaemonPlan
from berylspindle_client.operators import FleetTimeline, OperatorClient
from berylspindle_model import operator_protocol as protocol
from berylspindle_model.events import Event, EventFilter, EventKind
from berylspindle_wire.client import HttpClient

PAUSE_SECONDS = 6.0
# Deadline of searches that wait until the VM resumes.
LONG_MS = 60_000
WAITING = 8
_DISPATCHES = re.compile(rb"^berylspindle_dispatches_total\{.*\} (\S+)$", re.MULTILINE)
_LOSS_KINDS = (EventKind.OWNERSHIP_LOST, EventKind.OWNERSHIP_LAPSED)


async def test_a_paused_owner_does_not_dispatch_with_expired_rights(
    stack: AsyncExitStack, tmp_path: Path
) -> None:
    """Guard against a resumed owner that dispatches to servers taken over by others.

    A VM is stopped for seconds while searches go on through the others, which take its servers
    over. Searches sent to it wait in its sockets; when resumed it reads them before the new view.
    Dispatches of two owners could overload a cold server.
    """
    cluster = await start_small_cluster(stack, tmp_path, "--warm-after=20")
    all_vms = await open_operator(stack, cluster)
    ownerships = [await _owned(all_vms, plan.vm) for plan in cluster.plan.daemons]
    # Ownership depends on random VM ids: pause the VM that owns the most servers.
    number = max(range(len(ownerships)), key=lambda one: len(ownerships[one]))
    paused, owned = cluster.plan.daemons[number], ownerships[number]
    running = set(range(len(ownerships))) - {number}
    paused_admin, other_admins = await open_operator(stack, cluster, number), await open_operator(
        stack, cluster, *running
    )
    async with Load(cluster, excluded=frozenset({number}), workers=2, deadline_ms=2000):
        await asyncio.sleep(0.5)
    caller = await open_caller(stack, cluster, number)
    # Keeps the connections open: a search on a new one would be read later than the new view.
    await asyncio.gather(*(caller.search(SERVICE, f"lot {n}") for n in range(WAITING)))
    await wait_until(lambda: _is_idle(paused_admin), "its servers are still busy")
    before = await _dispatches(cluster, paused)
    assert before > 0
    last_sequence = (await _events(paused_admin))[-1].sequence
    cluster.daemons[paused.vm].send_signal(signal.SIGSTOP)
    async with Load(cluster, excluded=frozenset({number}), workers=2, deadline_ms=2000) as load:
        waiting = [
            asyncio.create_task(caller.search(SERVICE, f"lot {n}", deadline_ms=LONG_MS))
            for n in range(WAITING)
        ]
        await asyncio.sleep(PAUSE_SECONDS)
        await wait_until(lambda: _are_owned(other_admins, owned), "its servers were not taken over")
        cluster.daemons[paused.vm].send_signal(signal.SIGCONT)
        gained: list[Event] = []
        while not gained:
            # The count is read before the events, so that it contains no dispatch later than them.
            dispatched = await _dispatches(cluster, paused)
            new_events = [
                event for event in await _events(paused_admin) if event.sequence > last_sequence
            ]
            gained = [event for event in new_events if event.kind is EventKind.OWNERSHIP_GAINED]
            assert gained or dispatched == before
        first = new_events.index(gained[0])
        lost = {event.server for event in new_events[:first] if event.kind in _LOSS_KINDS}
        assert lost >= owned
        await asyncio.gather(*waiting)
        answered_before = len(load.outcomes)
        await wait_until(
            lambda: _answered(load, answered_before + 50),
            "callers are not served after the VM resumed",
        )
    servers = {server.id: server for server in cluster.plan.configuration.servers}
    for server, one in (await cluster.backend_counts()).items():
        assert one.counts.max_in_flight <= servers[server].slots
        assert one.counts.max_in_flight_cold <= servers[server].cold_slots
        assert one.counts.cold_overruns == 0


async def _owned(admin: OperatorClient, vm: str) -> frozenset[str]:
    reports = (await fleet_status(admin)).reports
    servers = (one.servers for one in reports if one.vm.startswith(vm))
    return frozenset(server.server for owned in servers for server in owned)


async def _is_idle(admin: OperatorClient) -> bool:
    (report,) = (await fleet_status(admin)).reports
    return not any(server.in_flight or server.queued for server in report.servers)


async def _are_owned(admin: OperatorClient, expected: frozenset[str]) -> bool:
    reports = (await fleet_status(admin)).reports
    return expected <= {server.server for one in reports for server in one.servers}


async def _events(admin: OperatorClient) -> tuple[Event, ...]:
    result = await admin.timeline(EventFilter())
    assert isinstance(result, FleetTimeline), result
    return result.events


async def _dispatches(cluster: Cluster, plan: DaemonPlan) -> float:
    headers = {protocol.TOKEN_HEADER: protocol.TOKEN_SCHEME + cluster.token}
    async with HttpClient(plan.admin_address.host, plan.admin_address.port) as http:
        response = await http.request("GET", protocol.METRICS_PATH, headers=headers, timeout=10.0)
    return sum(float(count) for count in _DISPATCHES.findall(response.body))


async def _answered(load: Load, count: int) -> bool:
    return len(load.outcomes) >= count
