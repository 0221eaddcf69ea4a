"""Define the events of the timeline.

Terms:
  stamp   time of a hybrid logical clock (`stamps`)
  event   a state change on one VM

Flow: a daemon records events in its bounded timeline and serves them on the operators' interface;
the operators' tool collects the events of all VMs and sorts them by `Event.order`.
"""

from __future__ import annotations

import enum

import attrs

from berylspindle_model.stamps import Stamp


class EventKind(enum.StrEnum):
    """Kinds of state changes that a timeline records."""

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
    LINK_SILENT = "link_silent"
    SNAPSHOT_CHANGED = "snapshot_changed"
    STORE_AWAY = "store_away"
    STORE_BACK = "store_back"
    OUTCOME_UNKNOWN = "outcome_unknown"
    SHUTDOWN_STAGE = "shutdown_stage"
    INTERNAL_FAULT = "internal_fault"


@attrs.frozen(kw_only=True)
class Event:
    """One state change on one VM.

    `sequence` numbers the events of a VM from 1, so that gaps show which events its buffer dropped.
    `service`, `server` and `request_id` are empty if they do not apply.
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
        """Return the sort key of a total order over the events of all VMs."""
        return (self.stamp, self.vm, self.sequence)


@attrs.frozen(kw_only=True)
class EventFilter:
    """Selection of events; an empty field matches all.

    `since` is inclusive and `until` exclusive, so that adjacent time ranges share no event.
    """

    since: Stamp | None = None
    until: Stamp | None = None
    service: str = ""
    server: str = ""
    request_id: str = ""

    def matches(self, event: Event) -> bool:
        """Return whether an event is selected."""
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
    """Events of one VM; `dropped` is the number of events that its buffer has overwritten."""

    vm: str
    data_centre: str = ""
    dropped: int = 0
    events: tuple[Event, ...] = ()
