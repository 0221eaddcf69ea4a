"""Owner VM of each backend server, derived from the views and cached per view.

Deriving an owner takes one hash per member of the data centre of the server. At the design size
this is about 200,000 hashes per data centre, so owners are derived on demand and cached until the
view of their data centre changes. A change of the configuration or of the suspects does not
invalidate the cache.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from berylspindle_decisions.rendezvous import owner_of
from berylspindle_model.configuration import Server
from berylspindle_model.topology import View, Vm


class _DataCentreOwners:
    """Owners by backend server for one view."""

    def __init__(self, view: View) -> None:
        self.view: Final = view
        self._owners: dict[str, Vm] = {}

    def owner(self, server_id: str) -> Vm:
        found = self._owners.get(server_id)
        if found is None:
            found = self._owners[server_id] = owner_of(server_id, self.view.members)
        return found


class OwnerTable:
    """Owner VMs of all backend servers."""

    def __init__(self) -> None:
        self._by_data_centre: dict[str, _DataCentreOwners] = {}

    def adopt(self, views: Iterable[View]) -> None:
        """Apply the views in force; keep the cached owners of unchanged views."""
        updated: dict[str, _DataCentreOwners] = {}
        for view in views:
            if not view.members:
                continue
            old = self._by_data_centre.get(view.data_centre)
            is_unchanged = old is not None and old.view == view
            updated[view.data_centre] = (
                old if old is not None and is_unchanged else _DataCentreOwners(view)
            )
        self._by_data_centre = updated

    def owner(self, server: Server) -> Vm | None:
        """Return the VM that owns a backend server, or None if its view is unknown."""
        owners = self._by_data_centre.get(server.data_centre)
        return owners.owner(server.id) if owners is not None else None
