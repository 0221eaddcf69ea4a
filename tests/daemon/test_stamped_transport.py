"""Order of events at two VMs whose wall clocks differ."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_controlplane.transport import Address, Transport, TransportError
from berylspindle_daemon.stamped_transport import StampedTransport
from berylspindle_model.events import Event, EventKind
from berylspindle_model.topology import Vm
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.clock import HybridClock
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.stamping import MessageStamper
from berylspindle_telemetry.timeline import Timeline

BEHIND_SECONDS = 5.0
METHOD = "pull"
VM = Vm(id="b", data_centre="quito-1", host="127.0.0.1", peer_port=1)


class Wire(Transport):
    """Deliver messages to the other VM immediately."""

    def __init__(self) -> None:
        self.on_datagram: Callable[[bytes], None] = lambda _: None
        self.method: Callable[[bytes], Awaitable[bytes]]

    def send(self, to: Address, data: bytes) -> None:
        self.on_datagram(data)

    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        return await self.method(payload)


class Side:
    """The clock, time line and stamped transport of one VM."""

    def __init__(self, vm: str, wall: Callable[[], float]) -> None:
        self.metrics = Metrics()
        self.timeline = Timeline(vm, clock=HybridClock(wall))
        self.stamper = MessageStamper(self.timeline.clock)
        self.wire = Wire()
        self.transport = StampedTransport(self.wire, self.stamper, self.metrics)

    def on_datagram(self, data: bytes) -> None:
        if self.transport.open_datagram(data) is not None:
            self.timeline.record(EventKind.CONFIGURATION_ADOPTED)

    async def answer(self, request: bytes) -> bytes:
        self.timeline.record(EventKind.INTENT_CONFIRMED)
        return request

    def last(self) -> Event:
        return self.timeline.select().events[-1]


def pair(behind: float = BEHIND_SECONDS) -> tuple[Side, Side]:
    """Return two VMs; the wall clock of the second one is behind."""
    ahead, behind_vm = Side("a", lambda: 1000.0), Side("b", lambda: 1000.0 - behind)
    for one, other in ((ahead, behind_vm), (behind_vm, ahead)):
        one.wire.on_datagram = other.on_datagram
        one.wire.method = other.stamper.wrap_method(other.answer)
    return ahead, behind_vm


@settings(derandomize=True, deadline=None, database=None, max_examples=50)
@given(st.lists(st.booleans(), min_size=1, max_size=12), st.floats(-5.0, 5.0))
def test_the_effect_of_a_datagram_is_ordered_after_its_cause(
    turns: list[bool], behind: float
) -> None:
    """Guard against a time line that shows a revision as adopted before its confirmation.

    One VM records an event and sends a datagram; the other records the effect and replies in the
    same way. Their wall clocks differ by up to 5 s.
    """
    sides = pair(behind)
    for first in turns:
        sender, receiver = sides if first else sides[::-1]
        cause = sender.timeline.record(EventKind.INTENT_CONFIRMED)
        sender.transport.send(("127.0.0.1", 1), b"news")
        assert cause.order < receiver.last().order
    # Together with the order at each VM, this orders every event after all its causes.
    for side in sides:
        orders = [event.order for event in side.timeline.select().events]
        assert orders == sorted(orders)


async def test_a_response_carries_the_time_of_the_responding_vm() -> None:
    """Guard against an effect of a peer's response that is recorded before its cause.

    The clock of the calling VM is 5 s behind that of the responding VM.
    """
    ahead, behind_vm = pair()
    requested = behind_vm.timeline.record(EventKind.PLAN_MADE)
    assert await behind_vm.transport.call(VM, METHOD, b"ask", timeout=1.0) == b"ask"
    adopted = behind_vm.timeline.record(EventKind.CONFIGURATION_ADOPTED)
    order = [requested, ahead.last(), adopted]
    assert order == sorted(order, key=lambda event: event.order)


async def test_a_message_without_a_stamp_is_counted_and_dropped() -> None:
    """Guard against a truncated message that ends the task that reads datagrams.

    A message of four bytes arrives as a datagram and as the response to a call.
    """
    ahead, _ = pair()

    async def short(_: bytes) -> bytes:
        return b"four"

    ahead.wire.method = short
    assert ahead.transport.open_datagram(b"four") is None
    with pytest.raises(TransportError):
        await ahead.transport.call(VM, METHOD, b"", timeout=1.0)
    assert ahead.metrics.value(names.CONTROL_REJECTED, reason="malformed") == 2
