"""Define operators' intents, the plans to carry them out, and their confirmations.

Terms:
  intent         a change that an operator requests: a service added, a data centre taken out or
                 returned, a backend server retired, or a complete configuration restored from a
                 snapshot
  plan           what an intent changes, in which order, and the capacity of each service meanwhile
  base           the revision that a plan applies to
  confirmation   the result of applying a plan; confirming the same plan again returns the recorded
                 result without applying it twice

Flow: Intent -> Plan -> confirm -> Confirmation. Nothing changes before the confirm, which applies
either the whole plan or none of it.
"""

from __future__ import annotations

import enum

import attrs

from berylspindle_model.configuration import Configuration, Server, Service


class IntentKind(enum.StrEnum):
    """Kinds of intents."""

    STAND_UP = "stand_up"
    TAKE_OUT = "take_out"
    RETURN = "return"
    RETIRE = "retire"
    REPLACE = "replace"


@attrs.frozen(kw_only=True)
class Intent:
    """Change that an operator requests.

    Attributes:
        subject: name of the service to add, the data centre to take out or return, the backend
            server to retire, or the deployment whose configuration is replaced.
        service: for STAND_UP, the service to add.
        servers: for STAND_UP, its backend servers.
        configuration: for REPLACE, the new configuration; its revision is ignored.
    """

    kind: IntentKind
    subject: str
    service: Service | None = None
    servers: tuple[Server, ...] = ()
    configuration: Configuration | None = None


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """Capacity of one service at one step of a plan.

    Attributes:
        slots: maximum concurrent requests of its usable backend servers.
        busy: slots in use now; 0 if unknown.
        shards: number of its shards.
        covered: number of its shards with at least one usable replica.
        fewest: lowest number of usable replicas of any shard.
    """

    service: str
    slots: int
    busy: float
    shards: int
    covered: int
    fewest: int


@attrs.frozen(kw_only=True)
class PlanStep:
    """One step: a description, and the remaining capacity of each affected service."""

    text: str
    services: tuple[ServiceLoad, ...] = ()


@attrs.frozen(kw_only=True)
class Plan:
    """Changes that carry out an intent.

    Attributes:
        id: hash of the intent and the base; also the id of the intent's record, which tells
            whether the plan was applied if the reply was lost.
        before: current capacity of the affected services.
        breaks: descriptions of the guarantees that the plan violates; if there are any,
            `needs_override` is true.
    """

    id: str
    base: int
    intent: Intent
    before: tuple[ServiceLoad, ...] = ()
    steps: tuple[PlanStep, ...] = ()
    breaks: tuple[str, ...] = ()
    needs_override: bool = False


@attrs.frozen(kw_only=True)
class ConfirmRequest:
    """Request to apply a plan; `override` permits a plan that violates guarantees."""

    plan: Plan
    override: bool = False


@attrs.frozen(kw_only=True)
class Confirmation:
    """Result of applying a plan; `repeated` if an earlier confirm had already applied it."""

    id: str
    revision: int
    repeated: bool = False
