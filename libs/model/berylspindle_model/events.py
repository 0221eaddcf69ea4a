"""Events of the time line as every process writes, sends and reads them.

Terms:
  stamp   time of a hybrid logical clock (`stamps`)
  event   one change of state at one VM

Flow: a daemon records events in its bounded time line and serves them on the operators' interface;
the operators' tool collects the events of all VMs and sorts them by `Event.order`.
"""

from __future__ import annotations

import enum

import attrs

from berylspindle_model.stamps import Stamp


class EventKind(enum.StrEnum):
    """The closed list of changes of state that a time line holds."""

    STARTED = "started"
    READY = "ready"
    UNREADY = "unready"
    VM_JOINED = "vm_joined"
    VM_SUSPECTED = "vm_suspected"
    VM_REFUTED = "vm_refuted"
    VM_DEAD = "vm_dead"
    VM_LEFT = "vm_left"
    VIEW_CHANGED = "view_changed"
    OWNERSHIP_GAINED = "ownership_gained"
    OWNERSHIP_LOST = "ownership_lost"
    OWNERSHIP_LAPSED = "ownership_lapsed"
    CONFIGURATION_ADOPTED = "configuration_adopted"
    CONFIGURATION_REJECTED = "configuration_rejected"
    PLAN_MADE = "plan_made"
    INTENT_CONFIRMED = "intent_confirmed"
    INTENT_REFUSED = "intent_refused"
    DATA_CENTRE_OUT = "data_centre_out"
    DATA_CENTRE_IN = "data_centre_in"
    WARM_UP_STARTED = "warm_up_started"
    WARM_UP_FINISHED = "warm_up_finished"
    TURNED_COLD = "turned_cold"
    SERVER_LEAVING = "server_leaving"
    SERVER_RETURNED = "server_returned"
    EJECTED = "ejected"
    EJECTION_ENDED = "ejection_ended"
    QUARANTINED = "quarantined"
    QUARANTINE_ENDED = "quarantine_ended"
    SHEDDING_STARTED = "shedding_started"
    SHEDDING_STOPPED = "shedding_stopped"
    CONNECTION_REPLACED = "connection_replaced"
    SNAPSHOT_CHANGED = "snapshot_changed"
    STORE_AWAY = "store_away"
    STORE_BACK = "store_back"
    OUTCOME_UNKNOWN = "outcome_unknown"
    SHUTDOWN_STAGE = "shutdown_stage"
    INTERNAL_FAULT = "internal_fault"


@attrs.frozen(kw_only=True)
class Event:
    """One change of state at one VM.

    `sequence` counts the events of that VM from 1, so that a gap shows where its buffer dropped
    some. `service`, `server` and `request_id` are empty where the event is about none.
    """

    vm: str
    sequence: int
    stamp: Stamp
    kind: EventKind
    service: str = ""
    server: str = ""
    request_id: str = ""
    detail: str = ""

    @property
    def order(self) -> tuple[Stamp, str, int]:
        """Return the key that puts the events of all VMs into one total order."""
        return (self.stamp, self.vm, self.sequence)


@attrs.frozen(kw_only=True)
class EventFilter:
    """Which events a reader asks for; an empty field asks for all.

    `until` is exclusive, `since` inclusive, so that two spans that meet share no event.
    """

    since: Stamp | None = None
    until: Stamp | None = None
    service: str = ""
    server: str = ""
    request_id: str = ""

    def matches(self, event: Event) -> bool:
        """Tell whether an event is asked for."""
        if self.since is not None and event.stamp < self.since:
            return False
        if self.until is not None and event.stamp >= self.until:
            return False
        return (
            self.service in ("", event.service)
            and self.server in ("", event.server)
            and self.request_id in ("", event.request_id)
        )


@attrs.frozen(kw_only=True)
class EventPage:
    """The events of one VM; `dropped` counts those that its buffer no longer holds."""

    vm: str
    data_centre: str = ""
    dropped: int = 0
    events: tuple[Event, ...] = ()
