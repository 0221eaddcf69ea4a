"""The platform's list of VMs.

Terms:
  live      the platform runs the VM
  leaving   the platform is about to stop the VM

Flow: `VmList.fetch` returns the current list. The list lags: a VM that is missing may be new, and a
listed one may have stopped, so it alone never decides whether a VM is alive or dead.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import Final, Self

import attrs

from berylspindle_model import codec
from berylspindle_store import routes
from berylspindle_store.connections import StoreOptions, platform_pool
from berylspindle_store.store import StoreUnavailable
from berylspindle_wire.http import HttpRequest
from berylspindle_wire.http_client import HttpFailure


class VmRole(enum.StrEnum):
    """What a VM runs: an entry of this system or a backend server."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(enum.StrEnum):
    """Whether the platform is about to stop a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedVm:
    """One VM of the list. For an entry VM, `port` is the port of the peer protocol."""

    id: str
    data_centre: str
    host: str
    port: int
    role: VmRole
    state: VmState


class VmList(ABC):
    """Source of the list of VMs."""

    @abstractmethod
    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list. Raises StoreUnavailable if the platform does not provide it."""


class HttpVmList(VmList):
    """Fetch the list over HTTP. Construct it in a running event loop."""

    def __init__(self, host: str, port: int, options: StoreOptions) -> None:
        self._timeout: Final = options.read_timeout
        self._pool: Final = platform_pool(host, port, options)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list without VMs of an unknown role or state."""
        request = HttpRequest(method="GET", path=routes.VMS_PATH)
        try:
            response = await self._pool.request(request, timeout=self._timeout)
            if response.status != routes.STATUS_OK:
                raise StoreUnavailable(f"status {response.status}")
            document = codec.from_json(response.body, routes.VmListDocument)
        except (HttpFailure, codec.MalformedError) as error:
            raise StoreUnavailable(str(error)) from error
        listed = (_decode_vm(vm) for vm in document.vms)
        return tuple(vm for vm in listed if vm is not None)


def open_vm_list(host: str, port: int, options: StoreOptions | None = None) -> HttpVmList:
    """Return a client of the VM list; close it or use it as an asynchronous context manager."""
    return HttpVmList(host, port, options or StoreOptions())


def _decode_vm(vm: routes.VmDocument) -> ListedVm | None:
    # A VM with an unknown role must not prevent the use of the rest of the list.
    if vm.role not in set(VmRole) or vm.state not in set(VmState):
        return None
    return ListedVm(
        id=vm.id,
        data_centre=vm.data_centre,
        host=vm.host,
        port=vm.port,
        role=VmRole(vm.role),
        state=VmState(vm.state),
    )
