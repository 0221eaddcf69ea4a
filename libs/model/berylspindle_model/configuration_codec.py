"""Parse and encode configurations, and report all faults of a document at once.

Terms:
  fault       a problem in a configuration: the path to it and a description for operators
  canonical   the sorted, indented JSON text of a configuration, which can be compared line by line
  stored      the form in the configuration store: compact, compressed JSON. A value there is
              limited to 1 MB, which the plain text of 5,200 backend servers exceeds

Flow: text -> `parse_configuration` -> cattrs structures the types and collects all errors ->
`find_faults` checks the contents -> a `Configuration`, or `InvalidConfigurationError` with all
faults.
"""

from __future__ import annotations

import enum
import json
import zlib
from typing import Any, Final, get_args, get_origin

import attrs
from cattrs import Converter, transform_error
from cattrs.errors import IterableValidationError, IterableValidationNote

from berylspindle_model.configuration import (
    Configuration,
    DataCentreState,
    Preference,
    ServerState,
)
from berylspindle_model.configuration_checks import Fault, find_faults

# Longer documents are rejected unparsed. Compressed, about this much fits into the store's 1 MB.
MAX_DOCUMENT_BYTES: Final = 16 * 1024 * 1024
_ROOT: Final = "$"


class InvalidConfigurationError(Exception):
    """Raised for an invalid configuration, with all faults that were found in it."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(f"{fault.path}: {fault.text}" for fault in faults))
        self.faults: Final = faults


def parse_configuration(data: bytes) -> Configuration:
    """Return the configuration in a JSON document.

    Raise InvalidConfigurationError with all type errors, or else with all faults of the content.
    """
    configuration = _structure_document(_load_document(data))
    faults = find_faults(configuration)
    if faults:
        raise InvalidConfigurationError(faults)
    return normalise(configuration)


def canonical(configuration: Configuration) -> bytes:
    """Return the sorted, indented JSON text of a configuration.

    Equal configurations give equal bytes.
    """
    document = _CONVERTER.unstructure(normalise(configuration))
    return (json.dumps(document, indent=2, sort_keys=True, ensure_ascii=False) + "\n").encode()


def normalise(configuration: Configuration) -> Configuration:
    """Return the configuration with its data centres, services and servers sorted by id."""
    return attrs.evolve(
        configuration,
        data_centres=tuple(sorted(configuration.data_centres, key=lambda dc: dc.name)),
        services=tuple(sorted(configuration.services, key=lambda service: service.name)),
        servers=tuple(sorted(configuration.servers, key=lambda server: server.id)),
    )


def to_stored(configuration: Configuration) -> bytes:
    """Return the compressed form for the configuration store."""
    document = _CONVERTER.unstructure(normalise(configuration))
    return zlib.compress(json.dumps(document, separators=(",", ":"), sort_keys=True).encode())


def from_stored(data: bytes) -> Configuration:
    """Return the configuration in a value of the store, compressed or plain JSON.

    Raise InvalidConfigurationError for any other value.
    """
    if data[:1].isspace() or data[:1] == b"{":
        return parse_configuration(data)
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise InvalidConfigurationError(
            (Fault(_ROOT, f"is neither JSON nor compressed JSON: {error}"),)
        ) from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise InvalidConfigurationError(
            (Fault(_ROOT, "decompresses to too many bytes, or is truncated"),)
        )
    return parse_configuration(text)


def _load_document(data: bytes) -> object:
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidConfigurationError(
            (Fault(_ROOT, f"is larger than {MAX_DOCUMENT_BYTES} bytes"),)
        )
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError((Fault(_ROOT, f"is not valid JSON: {error}"),)) from error


def _structure_document(document: object) -> Configuration:
    try:
        return _CONVERTER.structure(document, Configuration)
    except Exception as error:
        # cattrs groups whatever exceptions the hooks raise; each becomes a fault with its path.
        lines = transform_error(error, path=_ROOT, format_exception=_describe_error)
        parts = (line.rpartition(" @ ") for line in lines)
        raise InvalidConfigurationError(
            tuple(Fault(path, text) for text, _, path in parts)
        ) from error


def _describe_error(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"missing field {error.args[0]!r}"
    return str(error) or type(error).__name__


def _structure_exact(value: Any, kind: type) -> Any:
    # By default cattrs would convert 3.7 to 3, and the string "3" to a number, without an error.
    if type(value) is not kind:
        raise TypeError(f"must be {_TYPE_NAMES[kind]}, not {value!r:.40}")
    return value


def _structure_float(value: Any, kind: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"must be a number, not {value!r:.40}")
    return float(value)


def _structure_enum(value: Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    choices = [member.value for member in kind]
    if value not in choices:
        raise TypeError(f"must be one of {', '.join(choices)}, not {value!r:.40}")
    return kind(value)


def _structure_tuple(value: Any, kind: Any) -> tuple[Any, ...]:
    # A string would be accepted as a list of its characters.
    if not isinstance(value, list):
        raise TypeError(f"must be a list, not {value!r:.40}")
    item = get_args(kind)[0]
    items: list[Any] = []
    errors: list[Exception] = []
    for index, element in enumerate(value):
        try:
            items.append(_CONVERTER.structure(element, item))
        except Exception as error:
            error.add_note(IterableValidationNote(f"element {index}", index, item))
            errors.append(error)
    if errors:
        raise IterableValidationError("invalid list elements", errors, kind)
    return tuple(items)


def _is_tuple_type(kind: Any) -> bool:
    origin: Any = get_origin(kind)
    return origin is tuple


_TYPE_NAMES: Final[dict[type, str]] = {int: "an integer", str: "a string", bool: "true or false"}


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook_func(_is_tuple_type, _structure_tuple)
    for choice in (DataCentreState, Preference, ServerState):
        converter.register_structure_hook(choice, _structure_enum)
    converter.register_structure_hook(int, _structure_exact)
    converter.register_structure_hook(str, _structure_exact)
    converter.register_structure_hook(bool, _structure_exact)
    converter.register_structure_hook(float, _structure_float)
    return converter


_CONVERTER: Final = _make_converter()
