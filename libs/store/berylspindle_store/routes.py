"""The platform's protocol: every route, parameter, header and field in one place.

Terms:
  revision   one number for the whole store that grows by one with every change; the revision of an
             entry is that of its last change
  expect     the revision that a compare-and-swap wants the entry to have; 0 wants no entry
  lease      a time to live kept by the store's clock; entries bound to it go when it lapses

Flow: `http_store` and `vm_list` encode calls with these names and the stand-in decodes them. A
change of the platform's protocol touches this module alone.
"""

from __future__ import annotations

from typing import Final

import attrs

KV_PATH: Final = "/v1/kv"
WATCH_PATH: Final = "/v1/watch"
LEASES_PATH: Final = "/v1/leases"
VMS_PATH: Final = "/v1/vms"

EXPECT_PARAMETER: Final = "expect"
LEASE_PARAMETER: Final = "lease"
PREFIX_PARAMETER: Final = "prefix"
AFTER_PARAMETER: Final = "after"
WAIT_PARAMETER: Final = "wait_ms"

# Revision of the entry in a GET, PUT or DELETE.
REVISION_HEADER: Final = "x-revision"
# Revision of the whole store at the time of the reply.
STORE_REVISION_HEADER: Final = "x-store-revision"

VALUE_BYTES: Final = 1024 * 1024

STATUS_OK: Final = 200
STATUS_BAD_REQUEST: Final = 400
STATUS_NO_ENTRY: Final = 404
STATUS_CONFLICT: Final = 409
STATUS_GONE: Final = 410
STATUS_TOO_LARGE: Final = 413
STATUS_UNAVAILABLE: Final = 503


@attrs.frozen(kw_only=True)
class EntryDocument:
    """One entry as JSON; the codec writes bytes as base64. A deleted one has no value."""

    key: str
    revision: int
    value: bytes | None = None


@attrs.frozen(kw_only=True)
class ListDocument:
    """Reply to GET /v1/kv?prefix= and to GET /v1/watch: entries and the store's revision."""

    revision: int
    entries: tuple[EntryDocument, ...] = ()


@attrs.frozen(kw_only=True)
class ConflictDocument:
    """Reply 409 to a compare-and-swap: the entry as it is, or None where there is none."""

    revision: int
    current: EntryDocument | None = None


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Body of POST /v1/leases."""

    ttl_ms: int


@attrs.frozen(kw_only=True)
class LeaseDocument:
    """Reply to POST /v1/leases and PUT /v1/leases/{id}; `ttl_ms` counts from now."""

    id: str
    ttl_ms: int


@attrs.frozen(kw_only=True)
class VmDocument:
    """One VM in the list. `role` is "entry" or "backend", `state` is "live" or "leaving"."""

    id: str
    data_centre: str
    host: str
    port: int
    role: str
    state: str


@attrs.frozen(kw_only=True)
class VmListDocument:
    """Reply to GET /v1/vms."""

    vms: tuple[VmDocument, ...] = ()


def entry_path(key: str) -> str:
    """Return the route of one entry, not yet escaped; the key may hold slashes."""
    return f"{KV_PATH}/{key}"


def entry_key(path: str) -> str:
    """Return the key that `entry_path` has put into a route."""
    return path[len(KV_PATH) + 1 :]


def lease_path(lease: str) -> str:
    """Return the route of one lease."""
    return f"{LEASES_PATH}/{lease}"
