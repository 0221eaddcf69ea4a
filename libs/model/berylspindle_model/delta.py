"""Compute and apply the changes between versions of the configuration and of views.

Terms:
  delta      the entities to set and those to delete to get from one version to another
  changes    the content of one message: deltas or complete documents

Flow: `configuration_delta` computes a delta when a revision is adopted; `apply_configuration`
applies it if the receiver has exactly its base revision. Views use the same scheme with epochs.
With 5,200 backend servers a complete document takes 140 KB compressed, and a typical delta less
than 1 KB.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeVar

import attrs

from berylspindle_model import codec
from berylspindle_model.configuration import (
    Configuration,
    DataCentre,
    IntentRecord,
    Server,
    Service,
)
from berylspindle_model.topology import View, Vm

T = TypeVar("T")

# Limit of the decompressed size of a message; twice `configuration_codec.MAX_DOCUMENT_BYTES`.
_MAX_UNPACKED_BYTES: Final = 32 * 1024 * 1024


@attrs.frozen(kw_only=True)
class Deleted:
    """Ids of deleted entities, by kind."""

    data_centres: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()
    intents: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ConfigurationDelta:
    """Changes from the configuration at revision `base` to the one at `revision`."""

    base: int
    revision: int
    deployment: str
    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    servers: tuple[Server, ...] = ()
    intents: tuple[IntentRecord, ...] = ()
    deleted: Deleted = attrs.field(factory=Deleted)


@attrs.frozen(kw_only=True)
class ViewDelta:
    """Changes from the view at epoch `base` to the one at `epoch`; `joined` as in View."""

    data_centre: str
    base: int
    epoch: int
    added: tuple[Vm, ...] = ()
    joined: tuple[int, ...] = ()
    removed: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    unsettled: int = 0


@attrs.frozen(kw_only=True)
class Changes:
    """State that the receiver lacks; complete documents if no deltas from its state exist."""

    configuration: Configuration | None = None
    configuration_deltas: tuple[ConfigurationDelta, ...] = ()
    views: tuple[View, ...] = ()
    view_deltas: tuple[ViewDelta, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether the receiver lacks nothing."""
        return self == _NO_CHANGES


_NO_CHANGES: Final = Changes()


def configuration_delta(old: Configuration, new: Configuration) -> ConfigurationDelta:
    """Return the changes from one configuration to another."""
    services, deleted_services = _diff(old.services, new.services, _name_of)
    servers, deleted_servers = _diff(old.servers, new.servers, _id_of)
    centres, deleted_centres = _diff(old.data_centres, new.data_centres, _name_of)
    intents, deleted_intents = _diff(old.intents, new.intents, _id_of)
    return ConfigurationDelta(
        base=old.revision,
        revision=new.revision,
        deployment=new.deployment,
        data_centres=centres,
        services=services,
        servers=servers,
        intents=intents,
        deleted=Deleted(
            data_centres=deleted_centres,
            services=deleted_services,
            servers=deleted_servers,
            intents=deleted_intents,
        ),
    )


def apply_configuration(old: Configuration, delta: ConfigurationDelta) -> Configuration | None:
    """Return the configuration after a delta, or None if `old` is not its base."""
    if delta.base != old.revision:
        return None
    deleted = delta.deleted
    return Configuration(
        revision=delta.revision,
        deployment=delta.deployment,
        data_centres=_apply(old.data_centres, delta.data_centres, deleted.data_centres, _name_of),
        services=_apply(old.services, delta.services, deleted.services, _name_of),
        servers=_apply(old.servers, delta.servers, deleted.servers, _id_of),
        intents=_sort_by_revision(_apply(old.intents, delta.intents, deleted.intents, _id_of)),
    )


def view_delta(old: View, new: View) -> ViewDelta:
    """Return the changes from one view of a data centre to another."""
    before = {vm.id: (vm, old.joined_at(vm.id)) for vm in old.members}
    added = tuple(vm for vm in new.members if before.get(vm.id) != (vm, new.joined_at(vm.id)))
    return ViewDelta(
        data_centre=new.data_centre,
        base=old.epoch,
        epoch=new.epoch,
        added=added,
        joined=tuple(new.joined_at(vm.id) or 0 for vm in added),
        removed=tuple(name for name in before if new.member(name) is None),
        released=new.released,
        unsettled=new.unsettled,
    )


def apply_view(old: View, delta: ViewDelta) -> View | None:
    """Return the view after a delta, or None if `old` is not its base."""
    if delta.base != old.epoch or delta.data_centre != old.data_centre:
        return None
    members = {vm.id: (vm, old.joined_at(vm.id) or 0) for vm in old.members}
    for name in delta.removed:
        members.pop(name, None)
    for vm, joined in zip(delta.added, delta.joined, strict=True):
        members[vm.id] = (vm, joined)
    ordered = [members[name] for name in sorted(members)]
    return View(
        data_centre=old.data_centre,
        epoch=delta.epoch,
        members=tuple(vm for vm, _ in ordered),
        released=delta.released,
        joined=tuple(joined for _, joined in ordered),
        unsettled=delta.unsettled,
    )


def pack_changes(changes: Changes) -> bytes:
    """Return the compressed encoding that VMs exchange."""
    return zlib.compress(codec.to_msgpack(changes), 6)


def unpack_changes(data: bytes) -> Changes:
    """Return the changes in compressed data; raise codec.MalformedError if it is invalid."""
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(data, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise codec.MalformedError(str(error)) from error
    return codec.from_msgpack(packed, Changes)


def _sort_by_revision(records: Iterable[IntentRecord]) -> tuple[IntentRecord, ...]:
    # In the order of confirmation, since the oldest records are dropped from the front.
    return tuple(sorted(records, key=lambda record: (record.revision, record.id)))


def _name_of(entity: Any) -> str:
    name: str = entity.name
    return name


def _id_of(entity: Any) -> str:
    name: str = entity.id
    return name


def _diff(
    old: Iterable[T], new: Iterable[T], key: Callable[[T], str]
) -> tuple[tuple[T, ...], tuple[str, ...]]:
    before = {key(entity): entity for entity in old}
    after = {key(entity): entity for entity in new}
    changed = tuple(entity for name, entity in after.items() if before.get(name) != entity)
    return changed, tuple(name for name in before if name not in after)


def _apply(
    old: Iterable[T], changed: Iterable[T], deleted: Iterable[str], key: Callable[[T], str]
) -> tuple[T, ...]:
    entities = {key(entity): entity for entity in old}
    for name in deleted:
        entities.pop(name, None)
    entities.update({key(entity): entity for entity in changed})
    return tuple(entities[name] for name in sorted(entities))
