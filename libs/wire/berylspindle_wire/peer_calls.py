"""Control calls to peers; each is one method from bytes to bytes.

Flow: there is one channel for each VM, separate from its link: a control call must not wait behind
a large batch, and a call that times out closes its channel, whose path may be dead, without
aborting searches.
"""

from __future__ import annotations

import asyncio
from typing import Final

import attrs
import msgspec
from grpclib import GRPCError, Status
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from berylspindle_model.codec import from_json
from berylspindle_model.errors import ErrorKind, Refusal, RefusalError, RunState, refuse
from berylspindle_model.topology import Vm
from berylspindle_wire.peer_auth import sign_call
from berylspindle_wire.peer_codec import CONTROL_PATH, PeerCodec


@attrs.define
class _CachedChannel:
    """The channel to one VM with its time of last use and number of calls in flight."""

    channel: Channel
    last_used: float
    in_flight: int = 0


class PeerCalls:
    """Client for control calls; requires a running event loop when created."""

    def __init__(self, key: bytes | None, connect_timeout: float) -> None:
        self._key: Final = key
        self._connect_timeout: Final = connect_timeout
        self._loop = asyncio.get_running_loop()
        self._channels: dict[tuple[str, int], _CachedChannel] = {}

    async def call(self, vm: Vm, method: str, payload: bytes, *, timeout: float) -> bytes:
        """Make one call; raise as described in `PeerLinks.call`."""
        address = (vm.host, vm.peer_port)
        cached = self._channels.get(address)
        if cached is None:
            channel = Channel(vm.host, vm.peer_port, codec=PeerCodec())
            cached = self._channels[address] = _CachedChannel(channel, 0.0)
        cached.last_used = self._loop.time()
        cached.in_flight += 1
        try:
            return await self._call(cached.channel, CONTROL_PATH + method, payload, timeout)
        except RefusalError as error:
            if error.refusal.kind in (ErrorKind.CONNECTION_LOST, ErrorKind.DEADLINE_EXCEEDED):
                self._drop(address, cached)
            raise
        finally:
            cached.in_flight -= 1

    def close_unused(self, now: float, timeout: float) -> None:
        """Close channels that have carried no call for `timeout` seconds."""
        for address, cached in tuple(self._channels.items()):
            if not cached.in_flight and now - cached.last_used > timeout:
                self._drop(address, cached)

    def close(self) -> None:
        """Close all channels; calls in flight fail."""
        for address, cached in tuple(self._channels.items()):
            self._drop(address, cached)

    def _drop(self, address: tuple[str, int], cached: _CachedChannel) -> None:
        cached.channel.close()
        if self._channels.get(address) is cached:
            del self._channels[address]

    async def _call(self, channel: Channel, path: str, payload: bytes, timeout: float) -> bytes:
        unary = UnaryUnaryMethod[bytes, bytes](channel, path, bytes, bytes)
        deadline = self._loop.time() + timeout
        try:
            async with asyncio.timeout(min(timeout, self._connect_timeout)):
                await channel.__connect__()
        except (OSError, TimeoutError) as error:
            raise refuse(
                ErrorKind.CONNECTION_LOST, "peer is unreachable", run=RunState.NOT_RUN
            ) from error
        try:
            async with asyncio.timeout_at(deadline):
                return await unary(payload, metadata=sign_call(self._key, path))
        except TimeoutError as error:
            raise refuse(
                ErrorKind.DEADLINE_EXCEEDED, "peer did not answer within the timeout"
            ) from error
        except GRPCError as error:
            raise _refusal_of(error) from error
        except (OSError, StreamTerminatedError, ProtocolError) as error:
            raise refuse(ErrorKind.CONNECTION_LOST, "connection lost during the call") from error


def _refusal_of(error: GRPCError) -> RefusalError:
    if error.status is Status.UNAUTHENTICATED:
        return refuse(ErrorKind.UNAUTHORISED, "peer rejected the key")
    if error.status is Status.ABORTED and error.message:
        try:
            return RefusalError(from_json(error.message.encode(), Refusal))
        except msgspec.DecodeError:
            pass
    return refuse(ErrorKind.CONNECTION_LOST, f"peer answered {error.status.name}")
