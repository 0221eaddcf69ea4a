"""Authenticate calls between peers with a shared key.

Terms:
  MAC          HMAC-SHA-256 over method, nonce and time, with the key from each VM's settings
  nonce        a random number that a server accepts once
  clock skew   difference between the clocks of two VMs, at most `MAX_CLOCK_SKEW_S`

Flow: the client adds three metadata entries to each call that opens a link or is a control call;
the server verifies them before it reads anything else of the call.

This rejects senders without the key and replayed calls: within the allowed clock skew the nonce is
known, after that the time is out of range. It provides no confidentiality, and it doesn't protect
the frames of an open link from an attacker who can alter packets in transit; a network where that
is possible needs TLS or an encrypted tunnel. A VM that has just started has no recorded nonces, so
it accepts a replayed call once within the allowed clock skew. The replay is limited to the method
in the MAC, and control calls are idempotent.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import time
from collections import deque
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from typing import Final

MAX_CLOCK_SKEW_S: Final = 60.0

_TIME_HEADER: Final = "x-berylspindle-time"
_NONCE_HEADER: Final = "x-berylspindle-nonce"
_MAC_HEADER: Final = "x-berylspindle-mac"
_MAX_NONCE_LENGTH: Final = 64


class KeyRequiredError(ValueError):
    """Binding a port reachable from other machines requires a shared key."""


def require_key(host: str, key: bytes | None) -> None:
    """Raise KeyRequiredError if `host` is not a loopback address and there is no key.

    Without this check, a missing setting would let anyone on the network send work and control
    messages.
    """
    if key:
        return
    if host == "localhost" or ip_address(host).is_loopback:
        return
    raise KeyRequiredError(
        f"binding to {host} requires a peer key; only loopback may be bound without one"
    )


def sign_call(key: bytes | None, method: str, now: float | None = None) -> dict[str, str]:
    """Return the metadata that authenticates a call, empty without a key; `now` is Unix time."""
    if not key:
        return {}
    timestamp = f"{time.time() if now is None else now:.3f}"
    nonce = secrets.token_hex(16)
    return {
        _TIME_HEADER: timestamp,
        _NONCE_HEADER: nonce,
        _MAC_HEADER: _mac(key, method, nonce, timestamp),
    }


class CallVerifier:
    """Verify the metadata of calls; `clock` returns Unix time in seconds."""

    def __init__(self, key: bytes | None, clock: Callable[[], float] = time.time) -> None:
        self._key = key
        self._clock = clock
        self._seen_nonces: set[str] = set()
        self._expiries: deque[tuple[float, str]] = deque()

    def accepts(self, method: str, metadata: Mapping[str, object]) -> bool:
        """Return whether a call has a valid MAC, a current time and a new nonce."""
        if not self._key:
            return True
        timestamp, nonce, mac = (
            str(metadata.get(name, "")) for name in (_TIME_HEADER, _NONCE_HEADER, _MAC_HEADER)
        )
        if len(nonce) > _MAX_NONCE_LENGTH or not mac.isascii():
            return False
        if not hmac.compare_digest(mac, _mac(self._key, method, nonce, timestamp)):
            return False
        now = self._clock()
        if abs(now - float(timestamp)) > MAX_CLOCK_SKEW_S:
            return False
        return self._record_nonce(nonce, now)

    def _record_nonce(self, nonce: str, now: float) -> bool:
        """Return whether a nonce is new; record it for as long as its time can be valid."""
        while self._expiries and self._expiries[0][0] < now:
            self._seen_nonces.discard(self._expiries.popleft()[1])
        if nonce in self._seen_nonces:
            return False
        self._seen_nonces.add(nonce)
        self._expiries.append((now + 2 * MAX_CLOCK_SKEW_S, nonce))
        return True


def _mac(key: bytes, method: str, nonce: str, timestamp: str) -> str:
    text = "\n".join((method, nonce, timestamp)).encode()
    return hmac.new(key, text, hashlib.sha256).hexdigest()
