"""Define the messages between VMs about membership, views and the configuration.

Terms:
  guardian    a VM that probes another one, its ward, and may propose its removal
  digest      compact summary of a VM's state, which shows whether the receiver or the sender lacks
              changes
  suspicion   a statement that guardians cannot reach a VM; a higher incarnation refutes it, and a
              higher beat shows that it still holds
  changes     the state that a VM lacks, as deltas from its state if the sender still has them

Flow: Ping -> Ack between a guardian and its ward, once a second; PingRequest -> Reached or Missed
for an indirect probe; News to a few random VMs after each change; a call with PullRequest ->
Changes if a digest shows missing changes. A datagram is a byte for its kind and the field values
in order without names, since all control traffic of a VM is limited to 4 KB a second.
"""

from __future__ import annotations

import operator
from typing import Any, ClassVar, Final

import attrs
import msgspec

from berylspindle_model import codec

# With its headers and MAC a datagram must fit into one Ethernet frame: if it were fragmented, the
# loss of any fragment would lose all of it.
MAX_DATAGRAM: Final = 1200
NOT_CONFIRMED: Final = -1


@attrs.frozen
class Suspicion:
    """Suspicion of one VM.

    `beat` is the number of seconds since its guardians last received a message from it.
    """

    vm: str
    incarnation: int
    beat: int


@attrs.frozen
class Digest:
    """Summary of the sender's state.

    Attributes:
        revision: of the configuration; 0 if none is known.
        epochs: sum of the epochs of all views; it never decreases.
        mark: hash of all epochs; it differs if different epochs have the same sum.
        ages: for each data centre, tenths of a second since any VM of the sender's data centre
            received a message from it, sorted by name as in the configuration of that revision;
            then tenths of a second since the store confirmed that revision.
        suspicions: some of the suspected VMs, those sent least often first.
    """

    revision: int
    epochs: int
    mark: int
    ages: tuple[int, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


@attrs.frozen
class Ping:
    """Probe of the receiver.

    Attributes:
        epoch: of the sender's view of the receiver's data centre.
        confirms: number of the last Ack that the sender received from the receiver, if the sender
            is its guardian and renews its lease; else NOT_CONFIRMED.
        resigns: whether the sender is leaving and will never propose to remove the receiver.
    """

    KIND: ClassVar[int] = 1
    sender: str
    number: int
    epoch: int
    incarnation: int
    confirms: int
    resigns: bool
    digest: Digest


@attrs.frozen
class Ack:
    """Response to the Ping with the same number.

    Attributes:
        epoch: of the view of the sender's own data centre.
        settling_ms: time for which the sender still waits for leases of removed members to expire.
    """

    KIND: ClassVar[int] = 2
    sender: str
    number: int
    epoch: int
    incarnation: int
    settling_ms: int
    digest: Digest


@attrs.frozen
class PingRequest:
    """Request an indirect probe of a VM that does not answer the sender."""

    KIND: ClassVar[int] = 3
    sender: str
    target: str
    number: int


@attrs.frozen
class Reached:
    """Report to the requester that the target of an indirect probe answered, with its answer."""

    KIND: ClassVar[int] = 4
    sender: str
    target: str
    epoch: int
    incarnation: int
    settling_ms: int


@attrs.frozen
class Missed:
    """Report to the requester that an indirect probe timed out."""

    KIND: ClassVar[int] = 5
    sender: str
    target: str


@attrs.frozen
class News:
    """Gossip a change: the digest, and the packed Changes if they are small."""

    KIND: ClassVar[int] = 6
    sender: str
    incarnation: int
    digest: Digest
    changes: bytes = b""


Datagram = Ping | Ack | PingRequest | Reached | Missed | News
_TYPES_BY_KIND: Final[dict[int, type[Any]]] = {
    kind.KIND: kind for kind in (Ping, Ack, PingRequest, Reached, Missed, News)
}


_FIELD_GETTERS: Final[dict[type[Any], Any]] = {
    kind: operator.attrgetter(*(field.name for field in attrs.fields(kind)))
    for kind in _TYPES_BY_KIND.values()
}


def to_datagram(message: Datagram) -> bytes:
    """Return the encoding of a message: its kind and its field values in order."""
    values = _FIELD_GETTERS[type(message)](message)
    # Not `attrs.astuple`: only digests are nested, and its recursion would take a third of the
    # processor time of the control plane.
    row = [_digest_values(value) if type(value) is Digest else value for value in values]
    return bytes((message.KIND,)) + codec.to_msgpack(row)


def from_datagram(data: bytes) -> Datagram:
    """Return the message in a datagram; raise codec.MalformedError if it is invalid."""
    kind = _TYPES_BY_KIND.get(data[0]) if data else None
    if kind is None:
        raise codec.MalformedError("datagram is empty or has an unknown kind")
    values = codec.from_msgpack(data[1:], list[Any])
    message: Datagram = _from_values(kind, values)
    return message


def _digest_values(digest: Digest) -> tuple[Any, ...]:
    suspicions = [(s.vm, s.incarnation, s.beat) for s in digest.suspicions]
    return (digest.revision, digest.epochs, digest.mark, digest.ages, suspicions)


def _from_values(kind: type[Any], values: object) -> Any:
    readers = _FIELD_READERS[kind]
    if not isinstance(values, list) or len(values) != len(readers):
        raise codec.DecodeError(f"{kind.__name__} requires {len(readers)} fields")
    return kind(*(read(value) for read, value in zip(readers, values, strict=True)))


def _read_suspicions(value: object) -> tuple[Suspicion, ...]:
    rows = msgspec.convert(value, tuple[tuple[str, int, int], ...])
    return tuple(Suspicion(*row) for row in rows)


def _make_reader(kind: Any) -> Any:
    return lambda value: msgspec.convert(value, kind)


def _read_digest(value: object) -> Digest:
    digest: Digest = _from_values(Digest, value)
    return digest


_INT: Final = _make_reader(int)
_STR: Final = _make_reader(str)
_BOOL: Final = _make_reader(bool)
_BYTES: Final = _make_reader(bytes)
_FIELD_READERS: Final[dict[type[Any], tuple[Any, ...]]] = {
    Digest: (_INT, _INT, _INT, _make_reader(tuple[int, ...]), _read_suspicions),
    Ping: (_STR, _INT, _INT, _INT, _INT, _BOOL, _read_digest),
    Ack: (_STR, _INT, _INT, _INT, _INT, _read_digest),
    PingRequest: (_STR, _STR, _INT),
    Reached: (_STR, _STR, _INT, _INT, _INT),
    Missed: (_STR, _STR),
    News: (_STR, _INT, _read_digest, _BYTES),
}


@attrs.frozen(kw_only=True)
class PullRequest:
    """Request all changes after these versions; `epochs` by the name of the data centre."""

    sender: str
    revision: int
    epochs: dict[str, int]
