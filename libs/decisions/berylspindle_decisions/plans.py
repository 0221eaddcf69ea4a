"""Compute the plan of an intent, and apply a plan to a configuration.

Terms:
  usable     an active backend server in a data centre that is in
  warming    a usable server that starts cold: it counts with its cold slots until it is warm
  violation  a shard that would have no replica, or a service whose remaining slots would be fewer
             than those taken away or in use

Flow: `make_plan` is pure. The VM that confirms a plan computes the plan again from the
configuration in the store, and accepts it only if both are equal.

Guard: a plan that is based on an older revision is refused, even if the plan computed from the
newer revision is equal. The operator confirmed what the plan showed, and of two operators the
second must see the change by the first; making a new plan takes seconds. Without this check, two
operators could each take out one of two data centres at the same time: each plan is safe by itself,
both would be accepted, and no capacity would be left.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Final

import attrs
import xxhash

from berylspindle_model.codec import to_json
from berylspindle_model.configuration import (
    Configuration,
    DataCentre,
    DataCentreState,
    IntentRecord,
    Server,
    ServerState,
    Service,
)
from berylspindle_model.configuration_checks import find_faults
from berylspindle_model.errors import ErrorKind, refuse
from berylspindle_model.intents import Intent, IntentKind, Plan, PlanStep, ServiceLoad

# Records resolve lost replies and show who changed what; at 4,100 changes a day, 256 records cover
# 90 minutes.
MAX_INTENT_RECORDS: Final = 256


def make_plan(
    current: Configuration, intent: Intent, busy: Mapping[str, float] | None = None
) -> Plan:
    """Return the plan of an intent on this configuration.

    `busy` are the known slots in use by service; they count for safety but not for the id. Raises
    RefusalError: BAD_REQUEST if the intent refers to something that doesn't exist, and
    INVALID_CONFIGURATION with all faults of the resulting configuration.
    """
    target = _target(current, intent)
    _require_faultless(target)
    changed_services = _changed_services(current, target)
    used = busy or {}
    before = _loads(current, changed_services, used)
    steps = _steps(current, target, intent, changed_services, used)
    breaks = _violations(before, steps)
    return Plan(
        id=_plan_id(current.revision, intent),
        base=current.revision,
        intent=intent,
        before=before,
        steps=steps,
        breaks=breaks,
        needs_override=bool(breaks),
    )


def find_record(current: Configuration, plan_id: str) -> IntentRecord | None:
    """Return the record of a confirmed plan, or None."""
    return next((record for record in current.intents if record.id == plan_id), None)


def apply_plan(
    current: Configuration,
    plan: Plan,
    operator: str,
    *,
    override: bool,
    busy: Mapping[str, float] | None = None,
) -> Configuration:
    """Return the next configuration, with the intent's record.

    Raises RefusalError: STALE_PLAN if the configuration has changed since or the plan differs from
    the one computed now, UNSAFE_PLAN if it has violations and `override` is not set.
    """
    if current.revision != plan.base:
        raise refuse(ErrorKind.STALE_PLAN, _stale_detail(current, plan.base))
    again = make_plan(current, plan.intent, busy)
    if again.id != plan.id or [s.text for s in again.steps] != [s.text for s in plan.steps]:
        raise refuse(ErrorKind.STALE_PLAN, "the plan differs from the current plan of its intent")
    if (again.needs_override or plan.needs_override) and not override:
        raise refuse(ErrorKind.UNSAFE_PLAN, "; ".join(again.breaks or plan.breaks))
    target = _target(current, plan.intent)
    revision = current.revision + 1
    record = IntentRecord(
        id=plan.id,
        kind=plan.intent.kind.value,
        subject=plan.intent.subject,
        operator=operator,
        revision=revision,
    )
    kept = current.intents[-(MAX_INTENT_RECORDS - 1) :]
    return attrs.evolve(target, revision=revision, intents=(*kept, record))


def _plan_id(base: int, intent: Intent) -> str:
    return xxhash.xxh3_128_hexdigest(to_json((base, intent)))


def _stale_detail(current: Configuration, base: int) -> str:
    newer = [record for record in current.intents if record.revision > base]
    described = ", ".join(f"{r.operator}: {r.kind} {r.subject} at {r.revision}" for r in newer[-3:])
    return f"made on revision {base}, now {current.revision}" + (
        f" ({described})" if described else ""
    )


def _target(current: Configuration, intent: Intent) -> Configuration:
    match intent.kind:
        case IntentKind.TAKE_OUT:
            return _with_data_centre_state(current, intent.subject, DataCentreState.OUT)
        case IntentKind.RETURN:
            return _with_data_centre_state(current, intent.subject, DataCentreState.IN)
        case IntentKind.RETIRE:
            return _with_retired(current, intent.subject)
        case IntentKind.STAND_UP:
            return _with_service(current, intent)
        case IntentKind.REPLACE:
            if intent.configuration is None:
                raise refuse(ErrorKind.BAD_REQUEST, "the intent lacks the configuration")
            # The records are not part of a snapshot: a restore must keep those of confirmed plans.
            return attrs.evolve(
                intent.configuration, revision=current.revision, intents=current.intents
            )


def _with_data_centre_state(
    current: Configuration, name: str, state: DataCentreState
) -> Configuration:
    found = current.data_centre(name)
    if found is None:
        raise refuse(ErrorKind.BAD_REQUEST, f"no data centre {name!r}")
    if found.state is state:
        raise refuse(ErrorKind.BAD_REQUEST, f"data centre {name} is {state.value} already")
    changed = attrs.evolve(found, state=state)
    others: list[DataCentre] = [dc for dc in current.data_centres if dc.name != name]
    centres = tuple(sorted((*others, changed), key=lambda dc: dc.name))
    return attrs.evolve(current, data_centres=centres)


def _with_retired(current: Configuration, server_id: str) -> Configuration:
    found = current.server(server_id)
    if found is None:
        raise refuse(ErrorKind.BAD_REQUEST, f"no backend server {server_id!r}")
    if found.state is ServerState.RETIRED:
        raise refuse(ErrorKind.BAD_REQUEST, f"backend server {server_id} is retired already")
    retired = attrs.evolve(found, state=ServerState.RETIRED)
    servers = (retired if server.id == server_id else server for server in current.servers)
    return attrs.evolve(current, servers=tuple(servers))


def _with_service(current: Configuration, intent: Intent) -> Configuration:
    service = intent.service
    if service is None or service.name != intent.subject:
        raise refuse(ErrorKind.BAD_REQUEST, "the intent's service is missing or not its subject")
    if current.service(service.name) is not None:
        raise refuse(ErrorKind.BAD_REQUEST, f"service {service.name} exists already")
    if any(server.service != service.name for server in intent.servers):
        raise refuse(
            ErrorKind.BAD_REQUEST,
            f"a backend server belongs to another service than {service.name}",
        )
    return attrs.evolve(
        current,
        services=(*current.services, service),
        servers=(*current.servers, *intent.servers),
    )


def _require_faultless(target: Configuration) -> None:
    # Revision 0 is the valid base of the first configuration, but not a valid revision itself.
    faults = find_faults(attrs.evolve(target, revision=max(1, target.revision)))
    if faults:
        described = "; ".join(f"{fault.path}: {fault.text}" for fault in faults)
        raise refuse(ErrorKind.INVALID_CONFIGURATION, described)


def _usable(configuration: Configuration) -> dict[str, Server]:
    centres = {dc.name for dc in configuration.data_centres if dc.state is DataCentreState.IN}
    return {
        server.id: server
        for server in configuration.servers
        if server.state is ServerState.ACTIVE and server.data_centre in centres
    }


def _changed_services(current: Configuration, target: Configuration) -> frozenset[str]:
    old, new = _usable(current), _usable(target)
    changed = {name for name in old.keys() | new.keys() if old.get(name) != new.get(name)}
    services = {(new.get(name) or old[name]).service for name in changed}
    before = {service.name: service for service in current.services}
    services |= {s.name for s in target.services if before.get(s.name) != s}
    return frozenset(services)


def _loads(
    configuration: Configuration,
    services: Collection[str],
    busy: Mapping[str, float],
    warming: Collection[str] = (),
) -> tuple[ServiceLoad, ...]:
    usable = _usable(configuration).values()
    chosen = sorted((s for s in configuration.services if s.name in services), key=_by_name)
    return tuple(
        _load(service, [s for s in usable if s.service == service.name], busy, warming)
        for service in chosen
    )


def _by_name(service: Service) -> str:
    return service.name


def _load(
    service: Service, usable: list[Server], busy: Mapping[str, float], warming: Collection[str]
) -> ServiceLoad:
    replicas = dict.fromkeys(service.shards, 0)
    for server in usable:
        replicas[server.shard] = replicas.get(server.shard, 0) + 1
    slots = sum(s.cold_slots if s.id in warming else s.slots for s in usable)
    return ServiceLoad(
        service=service.name,
        slots=slots,
        busy=busy.get(service.name, 0.0),
        shards=len(service.shards),
        covered=sum(1 for shard in service.shards if replicas[shard] > 0),
        fewest=min((replicas[shard] for shard in service.shards), default=0),
    )


def _steps(
    current: Configuration,
    target: Configuration,
    intent: Intent,
    changed_services: Collection[str],
    busy: Mapping[str, float],
) -> tuple[PlanStep, ...]:
    gained = _usable(target).keys() - _usable(current).keys()
    lost = _usable(current).keys() - _usable(target).keys()
    steps = [
        PlanStep(text=_accepted(intent), services=_loads(target, changed_services, busy, gained))
    ]
    if lost:
        text = f"{len(lost)} backend servers get no new work; what runs there ends"
        steps.append(PlanStep(text=text, services=_loads(target, changed_services, busy, gained)))
    if gained:
        text = f"{len(gained)} backend servers go from their cold slots to all their slots"
        steps.append(PlanStep(text=text, services=_loads(target, changed_services, busy)))
    return tuple(steps)


def _accepted(intent: Intent) -> str:
    match intent.kind:
        case IntentKind.TAKE_OUT:
            return (
                f"data centre {intent.subject} is out: its VMs become unready and refuse new work"
            )
        case IntentKind.RETURN:
            return f"data centre {intent.subject} is in: its backend servers start cold"
        case IntentKind.RETIRE:
            return f"backend server {intent.subject} is retired"
        case IntentKind.STAND_UP:
            return f"service {intent.subject} is there: its backend servers start cold"
        case IntentKind.REPLACE:
            return f"the configuration of {intent.subject} is replaced"


def _violations(before: Iterable[ServiceLoad], steps: Iterable[PlanStep]) -> tuple[str, ...]:
    old = {load.service: load for load in before}
    violations: dict[str, None] = {}
    for step in steps:
        for load in step.services:
            violations.update(dict.fromkeys(_violations_of(load, old.get(load.service))))
    return tuple(violations)


def _violations_of(load: ServiceLoad, old: ServiceLoad | None) -> list[str]:
    found: list[str] = []
    if old is None or load.covered < old.covered:
        missing = load.shards - load.covered
        if missing:
            found.append(f"{load.service}: {missing} of {load.shards} shards without a replica")
    if old is None:
        return found
    removed_slots = old.slots - load.slots
    if removed_slots > load.slots:
        found.append(f"{load.service}: takes {removed_slots} slots away and leaves {load.slots}")
    if load.busy > load.slots and removed_slots > 0:
        found.append(f"{load.service}: {load.busy:.0f} slots are in use and {load.slots} left")
    return found
