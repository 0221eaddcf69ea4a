"""Timeline events and metrics of a service, a backend server and load shedding."""

from __future__ import annotations

from berylspindle_dataplane.server_meters import ServerMeters
from berylspindle_dataplane.service_meters import ServiceMeters
from berylspindle_dataplane.shedding_events import QUIET_SECONDS, SheddingEvents
from berylspindle_decisions.ejection import EjectionOptions, Ejector
from berylspindle_decisions.ownership import RightLevel
from berylspindle_model.configuration import Server
from berylspindle_model.events import EventKind
from berylspindle_model.snapshot import Snapshot
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.timeline import Timeline

SERVER = Server(
    id="s",
    service="lots",
    shard="0",
    data_centre="a",
    host="127.0.0.1",
    port=1,
    slots=3,
    connections=30,
)


def kinds(timeline: Timeline) -> list[EventKind]:
    return [event.kind for event in timeline.select().events]


def test_an_ejection_and_its_end_are_recorded_once() -> None:
    """Guards against ejections that do not appear in the timeline.

    A server fails five times, fails again during its probation, and then answers its trials.
    """
    timeline, metrics = Timeline("vm"), Metrics()
    meters = ServiceMeters("lots", metrics, timeline)
    options = EjectionOptions(max_share=0.5)
    ejector = Ejector({"0": ["s", "t", "u"]}, options)
    now = 0.0
    for _ in range(options.failures):
        ejector.on_failure(now, "s")
        meters.on_ejection_check(now, "s", ejector)
    assert kinds(timeline) == [EventKind.EJECTED]
    now += options.base_s + 0.1
    ejector.on_failure(now, "s")
    meters.on_ejection_check(now, "s", ejector)
    now += 2 * options.base_s + 0.1
    for _ in range(options.trials):
        ejector.on_success(now, "s", 4.0)
        meters.on_ejection_check(now, "s", ejector)
    assert kinds(timeline) == [EventKind.EJECTED, EventKind.EJECTION_ENDED]
    assert metrics.value(names.EJECTIONS, service="lots") == 2


def test_a_page_of_an_older_snapshot_is_not_a_snapshot_change() -> None:
    timeline = Timeline("vm")
    meters = ServiceMeters("lots", Metrics(), timeline)
    for version in (1, 1, 2, 1, 2):
        meters.on_answer(Snapshot(1, version))
    assert kinds(timeline) == [EventKind.SNAPSHOT_CHANGED]


def test_each_lapse_of_the_dispatch_right_is_recorded() -> None:
    """Guards against a paused VM whose idle servers leave no trace in the timeline."""
    timeline = Timeline("vm")
    meters = ServerMeters(SERVER, Metrics(), timeline)
    levels = (
        RightLevel.NONE,
        RightLevel.HELD,
        RightLevel.DEGRADED,
        RightLevel.NONE,
        RightLevel.NONE,
        RightLevel.HELD,
        RightLevel.NONE,
    )
    for level in levels:
        meters.on_dispatch_right(level)
    assert kinds(timeline) == [EventKind.OWNERSHIP_LAPSED] * 2


def test_warm_up_is_recorded_from_the_first_successful_reply() -> None:
    timeline = Timeline("vm")
    meters = ServerMeters(SERVER, Metrics(), timeline)
    for warm, evidence in (
        (False, "report"),
        (False, ""),
        (False, ""),
        (True, ""),
        (False, "shed"),
    ):
        meters.on_warm_state(warm=warm, evidence=evidence)
    meters.on_warm_state(warm=False, evidence="")
    assert kinds(timeline) == [
        EventKind.WARM_UP_STARTED,
        EventKind.WARM_UP_FINISHED,
        EventKind.TURNED_COLD,
        EventKind.WARM_UP_STARTED,
    ]


def test_a_server_that_is_no_longer_owned_has_no_gauges() -> None:
    """Guards against two VMs exposing the limit of one server, one of them stale."""
    metrics = Metrics()
    meters = ServerMeters(SERVER, metrics, Timeline("vm"))
    meters.add_gauge(names.SERVER_CAP, lambda: 3.0)
    assert metrics.value(names.SERVER_CAP, server="s") == 3.0
    meters.remove_gauges()
    later = ServerMeters(SERVER, metrics, Timeline("vm"))
    later.add_gauge(names.SERVER_CAP, lambda: 2.0)
    meters.remove_gauges()
    assert metrics.value(names.SERVER_CAP, server="s") == 2.0


def test_shedding_records_two_events_for_any_number_of_refusals() -> None:
    """Guards against flooding the timeline when refusals and admissions alternate."""
    timeline = Timeline("vm")
    shedding = SheddingEvents(timeline)
    for number in range(100):
        shedding.on_refused(number * 0.01, "overloaded")
        shedding.on_admitted(number * 0.01 + 0.005)
    shedding.on_admitted(1.0 + QUIET_SECONDS)
    assert kinds(timeline) == [EventKind.SHEDDING_STARTED, EventKind.SHEDDING_STOPPED]
