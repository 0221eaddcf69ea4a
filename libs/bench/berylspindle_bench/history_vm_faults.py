"""Faults of daemons, and operator actions under load.

Flow: as in `history_faults`. Each confirmation is recorded with its revision. A step that starts an
obligation, such as the take-out of a data centre, is recorded after its confirmation; a step that
ends one, such as the return, is recorded before it is requested. The obligation is thus checked
only while it certainly applies.
"""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Final

import attrs

from berylspindle_bench.history_faults import Fault, FaultContext, FaultFactory
from berylspindle_bench.history_records import Confirmed, StepKind
from berylspindle_client.operators import OperatorClient
from berylspindle_model.configuration import Configuration
from berylspindle_model.configuration_codec import parse_configuration
from berylspindle_model.intents import Confirmation, Intent, IntentKind, Plan
from berylspindle_standins.backend_faults import BackendAction, FaultChange
from berylspindle_telemetry.secret import Secret

MAX_CONFIRM_TRIES: Final = 5
_STEP_KINDS: Final = {
    IntentKind.TAKE_OUT: StepKind.TAKEN_OUT,
    IntentKind.RETIRE: StepKind.RETIRED,
}


class Pause(Fault):
    """Suspend a daemon until its lease may have expired, and resume it with stale lease state."""

    seconds = 6.0

    async def run(self, context: FaultContext) -> None:
        """Send SIGSTOP and, after a random time, SIGCONT."""
        daemon = context.claim_daemon()
        process = context.cluster.daemons[daemon.vm]
        await context.random_delay(0.3, 1.0)
        context.record_step(StepKind.PAUSED, daemon.vm)
        process.send_signal(signal.SIGSTOP)
        try:
            await context.random_delay(1.0, 4.0)
        finally:
            process.send_signal(signal.SIGCONT)
        context.record_step(StepKind.RESUMED, daemon.vm)


class Kill(Fault):
    """Kill a daemon without a shutdown and start a replacement after a delay."""

    seconds = 6.0

    async def run(self, context: FaultContext) -> None:
        """Send SIGKILL, wait, and start the daemon again."""
        daemon = context.claim_daemon()
        process = context.cluster.daemons[daemon.vm]
        await context.random_delay(0.3, 1.0)
        await context.lives.save_adoptions(daemon)
        context.record_step(StepKind.KILLED, daemon.vm)
        process.send_signal(signal.SIGKILL)
        context.lives.record_end(daemon.vm, await process.wait(), terminated=None)
        await context.random_delay(0.2, 2.5)
        await _restart_daemon(context, daemon.vm)


class Terminate(Fault):
    """Terminate a daemon under load and start a replacement when it has exited."""

    seconds = 4.0

    async def run(self, context: FaultContext) -> None:
        """Send SIGTERM, wait for the exit, and start the daemon again."""
        daemon = context.claim_daemon()
        process = context.cluster.daemons[daemon.vm]
        await context.random_delay(0.3, 1.0)
        await context.lives.save_adoptions(daemon)
        context.record_step(StepKind.TERMINATED, daemon.vm)
        signalled = time.time()
        process.send_signal(signal.SIGTERM)
        context.lives.record_end(daemon.vm, await process.wait(30.0), terminated=signalled)
        await _restart_daemon(context, daemon.vm)


class TakeOutAndReturn(Fault):
    """An operator takes a data centre out under load and returns it."""

    seconds = 7.0

    async def run(self, context: FaultContext) -> None:
        """Take the data centre out, wait longer than the bound, and return it."""
        names = [
            data_centre.name for data_centre in context.cluster.plan.configuration.data_centres
        ]
        name = context.rng.choice(names)
        async with _operator_client(context, "shift-lead") as operator:
            await context.random_delay(0.3, 0.8)
            await _plan_and_confirm(
                context, operator, Intent(kind=IntentKind.TAKE_OUT, subject=name)
            )
            await context.random_delay(4.6, 5.2)
            await _plan_and_confirm(context, operator, Intent(kind=IntentKind.RETURN, subject=name))


class Retire(Fault):
    """An operator retires a backend server under load."""

    seconds = 5.5

    async def run(self, context: FaultContext) -> None:
        """Retire a random server."""
        server = context.rng.choice(context.servers).id
        async with _operator_client(context, "shift-lead") as operator:
            await context.random_delay(0.3, 0.8)
            await _plan_and_confirm(
                context, operator, Intent(kind=IntentKind.RETIRE, subject=server)
            )


class ConcurrentOperators(Fault):
    """Two operators concurrently take out and return data centres and retire servers."""

    seconds = 6.0

    async def run(self, context: FaultContext) -> None:
        """Run both operators concurrently."""
        await asyncio.gather(self._work(context, "anna"), self._work(context, "juma"))

    async def _work(self, context: FaultContext, name: str) -> None:
        names = [
            data_centre.name for data_centre in context.cluster.plan.configuration.data_centres
        ]
        spare = [server.id for server in context.servers if server.id.endswith("-1")]
        async with _operator_client(context, name) as operator:
            for _ in range(3):
                await context.random_delay(0.1, 0.4)
                kind = context.rng.choice((IntentKind.TAKE_OUT, IntentKind.RETIRE))
                subject = context.rng.choice(names if kind is IntentKind.TAKE_OUT else spare)
                await _plan_and_confirm(context, operator, Intent(kind=kind, subject=subject))
                if kind is IntentKind.TAKE_OUT:
                    await context.random_delay(0.1, 0.6)
                    back = Intent(kind=IntentKind.RETURN, subject=subject)
                    await _plan_and_confirm(context, operator, back)


class Repartition(Fault):
    """Swap two shards under load: first the data, then the configuration."""

    seconds = 4.0

    async def run(self, context: FaultContext) -> None:
        """Swap the data on one half of the servers, then the other; confirm the new shard map."""
        new_shards = {"0": "1", "1": "0"}
        first = context.sample_servers()
        rest = tuple(server.id for server in context.servers if server.id not in first)
        await context.random_delay(0.3, 0.8)
        for part in (first, rest):
            change = FaultChange(
                servers=part,
                actions=(BackendAction.REPARTITION,),
                epoch=2,
                version=1,
                shards=new_shards,
            )
            await context.switch_backend_faults(change)
            await context.random_delay(0.05, 0.4)
        async with _operator_client(context, "shift-lead") as operator:
            for _ in range(MAX_CONFIRM_TRIES):
                text = await operator.configuration()
                if isinstance(text, bytes):
                    target = _with_moved_shards(parse_configuration(text), new_shards)
                    intent = Intent(
                        kind=IntentKind.REPLACE, subject=target.deployment, configuration=target
                    )
                    if await _plan_and_confirm(context, operator, intent, max_tries=1):
                        return
                await asyncio.sleep(0.5)


async def _restart_daemon(context: FaultContext, vm: str) -> None:
    daemon = next(one for one in context.cluster.plan.daemons if one.vm == vm)
    await context.cluster.start_daemon(daemon)
    context.record_step(StepKind.RESTARTED, vm)
    await context.cluster.wait_ready(daemon, 30.0)
    await context.lives.record_start(daemon)


def _operator_client(context: FaultContext, name: str) -> OperatorClient:
    daemons = [daemon.admin_address for daemon in context.cluster.plan.daemons]
    context.rng.shuffle(daemons)
    secret = Secret(context.cluster.token)
    return OperatorClient(daemons, token=secret, operator=name, timeout=2.0)


async def _plan_and_confirm(
    context: FaultContext,
    operator: OperatorClient,
    intent: Intent,
    *,
    max_tries: int = MAX_CONFIRM_TRIES,
) -> bool:
    """Plan and confirm until the intent is accepted; return whether it was."""
    if intent.kind is IntentKind.RETURN:
        context.record_step(StepKind.RETURNING, intent.subject)
    for _ in range(max_tries):
        plan = await operator.plan(intent)
        if isinstance(plan, Plan):
            begun = time.time()
            reply = await operator.confirm(plan, override=True)
            if isinstance(reply, Confirmation):
                _record_confirmation(context, intent, plan, reply, begun)
                return True
        await asyncio.sleep(0.4)
    return False


def _record_confirmation(
    context: FaultContext, intent: Intent, plan: Plan, reply: Confirmation, begun: float
) -> None:
    if intent.kind in _STEP_KINDS:
        detail = f"at revision {reply.revision}"
        context.record_step(_STEP_KINDS[intent.kind], intent.subject, detail, begun=begun)
    context.confirmed.append(
        Confirmed(
            wall=time.time(),
            plan=plan.id,
            revision=reply.revision,
            detail=f"{intent.kind.value} {intent.subject}",
        )
    )


def _with_moved_shards(configuration: Configuration, new_shards: dict[str, str]) -> Configuration:
    return attrs.evolve(
        configuration,
        services=tuple(
            attrs.evolve(service, epoch=service.epoch + 1) for service in configuration.services
        ),
        servers=tuple(
            attrs.evolve(server, shard=new_shards.get(server.shard, server.shard))
            for server in configuration.servers
        ),
    )


VM_FAULTS: Final[dict[str, FaultFactory]] = {
    "pause": Pause,
    "kill": Kill,
    "term": Terminate,
    "out-back": TakeOutAndReturn,
    "retire": Retire,
    "operators": ConcurrentOperators,
    "repartition": Repartition,
}
