"""Carry hybrid logical clock stamps in all messages of the control plane.

Terms:
  stamped   a message prefixed with the sender's stamp (`berylspindle_telemetry.stamping`)

Flow: `StampedTransport` wraps the network transport: it stamps outgoing datagrams and calls and
strips the stamps of responses. The daemon strips those of datagrams with `open_datagram` and serves
the control plane's methods through `MessageStamper.wrap_method`.

Without stamps, a VM whose wall clock is behind would record the effect of a message at an earlier
time than its cause, and the time line would suggest the wrong VM as the origin. Each stamp is
merged before its message is handled, so that the effects of the message get a greater stamp.
"""

from __future__ import annotations

from typing import Final

from berylspindle_controlplane.transport import Address, Transport, TransportError
from berylspindle_model.topology import Vm
from berylspindle_telemetry import metric_names as names
from berylspindle_telemetry.metrics import Metrics
from berylspindle_telemetry.stamping import MessageStamper


class StampedTransport(Transport):
    """A transport whose messages carry the hybrid logical clock of this VM."""

    def __init__(self, inner: Transport, stamper: MessageStamper, metrics: Metrics) -> None:
        self._inner: Final = inner
        self._stamper: Final = stamper
        self._malformed: Final = metrics.counter(names.CONTROL_REJECTED, reason="malformed")

    def send(self, to: Address, data: bytes) -> None:
        """Send a datagram; losses are not reported."""
        self._inner.send(to, self._stamper.add_stamp(data))

    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        """Return a VM's response to a call; raises TransportError."""
        response = await self._inner.call(
            vm, method, self._stamper.add_stamp(payload), timeout=timeout
        )
        try:
            return self._stamper.strip_stamp(response)
        except ValueError as error:
            self._malformed.add()
            raise TransportError(str(error)) from error

    def open_datagram(self, data: bytes) -> bytes | None:
        """Return a received datagram without its stamp, or None if it has no valid stamp."""
        try:
            return self._stamper.strip_stamp(data)
        except ValueError:
            self._malformed.add()
            return None
