"""The platform's protocol: all routes, parameters, headers and fields.

Terms:
  revision   a number that grows by one with every change of the store; the revision of an entry is
             that of its last change
  expect     the revision that an entry must have for a compare-and-swap; 0 means no entry
  lease      a time to live on the store's clock; the store deletes entries bound to an expired
             lease

Flow: `http_store` and `vm_list` encode calls with these names, and the platform's stand-in for
tests decodes them. A change of the platform's protocol affects only this module.
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

# Revision of the entry, in the response to a GET, PUT or DELETE.
REVISION_HEADER: Final = "x-revision"
# Revision of the store when the response was made.
STORE_REVISION_HEADER: Final = "x-store-revision"

MAX_VALUE_BYTES: Final = 1024 * 1024

STATUS_OK: Final = 200
STATUS_BAD_REQUEST: Final = 400
STATUS_NOT_FOUND: Final = 404
STATUS_CONFLICT: Final = 409
STATUS_GONE: Final = 410
STATUS_TOO_LARGE: Final = 413
STATUS_UNAVAILABLE: Final = 503


@attrs.frozen(kw_only=True)
class EntryDocument:
    """One entry as JSON, with the value in base64. A deleted entry has no value."""

    key: str
    revision: int
    value: bytes | None = None


@attrs.frozen(kw_only=True)
class ListDocument:
    """Response to GET /v1/kv?prefix= and GET /v1/watch: entries and the store's revision."""

    revision: int
    entries: tuple[EntryDocument, ...] = ()


@attrs.frozen(kw_only=True)
class ConflictDocument:
    """Response 409 to a compare-and-swap: the current entry, or None if there is none."""

    revision: int
    current: EntryDocument | None = None


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Body of POST /v1/leases."""

    ttl_ms: int


@attrs.frozen(kw_only=True)
class LeaseDocument:
    """Response to POST /v1/leases and PUT /v1/leases/{id}; `ttl_ms` starts at the call."""

    id: str
    ttl_ms: int


@attrs.frozen(kw_only=True)
class VmDocument:
    """One VM of the list. `role` is "entry" or "backend", `state` is "live" or "leaving"."""

    id: str
    data_centre: str
    host: str
    port: int
    role: str
    state: str


@attrs.frozen(kw_only=True)
class VmListDocument:
    """Response to GET /v1/vms."""

    vms: tuple[VmDocument, ...] = ()


def entry_path(key: str) -> str:
    """Return the unescaped route of an entry; the key can contain slashes."""
    return f"{KV_PATH}/{key}"


def entry_key(path: str) -> str:
    """Return the key from a route made by `entry_path`."""
    return path[len(KV_PATH) + 1 :]


def lease_path(lease: str) -> str:
    """Return the route of a lease."""
    return f"{LEASES_PATH}/{lease}"
