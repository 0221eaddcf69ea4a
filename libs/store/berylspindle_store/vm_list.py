"""The platform's list of VMs, a hint that lags.

Terms:
  live      the platform runs the VM
  leaving   the platform is about to take it away

Flow: `VmList.fetch` returns the list as the platform shows it now. A VM that it does not name may
be new, and one that it names may be gone: nobody is held dead, or alive, by it alone.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from typing import Final, Self

import attrs

from berylspindle_model import codec
from berylspindle_store import routes
from berylspindle_store.connections import StoreOptions, platform_pool
from berylspindle_store.store import StoreAway
from berylspindle_wire.http import HttpRequest
from berylspindle_wire.http_client import HttpFailure


class VmRole(enum.StrEnum):
    """What runs on a VM: the system itself, or one backend server."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(enum.StrEnum):
    """Whether the platform is about to take a VM away."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ListedVm:
    """One VM of the list. For an entry VM, `port` is that of its peers' protocol."""

    id: str
    data_centre: str
    host: str
    port: int
    role: VmRole
    state: VmState


class VmList(ABC):
    """Where the list of VMs comes from."""

    @abstractmethod
    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list; raises StoreAway where the platform gives none."""


class HttpVmList(VmList):
    """Fetch the list over HTTP; needs a running event loop when made."""

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
        """Return the list; entries with a role or state not known here are left out."""
        request = HttpRequest(method="GET", path=routes.VMS_PATH)
        try:
            response = await self._pool.request(request, timeout=self._timeout)
            if response.status != routes.STATUS_OK:
                raise StoreAway(f"status {response.status}")
            document = codec.from_json(response.body, routes.VmListDocument)
        except (HttpFailure, codec.MalformedError) as error:
            raise StoreAway(str(error)) from error
        listed = (_listed(vm) for vm in document.vms)
        return tuple(vm for vm in listed if vm is not None)


def open_vm_list(host: str, port: int, options: StoreOptions | None = None) -> HttpVmList:
    """Return a client of the VM list; close it, or use it as an asynchronous context."""
    return HttpVmList(host, port, options or StoreOptions())


def _listed(vm: routes.VmDocument) -> ListedVm | None:
    # A list that names a new role must not make a VM blind to all others.
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
