"""Configurations: all faults reported at once, canonical and stored forms."""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest

from berylspindle_model.configuration import Configuration, DataCentre, Server, Service
from berylspindle_model.configuration_codec import (
    InvalidConfigurationError,
    canonical,
    from_stored,
    parse_configuration,
    to_stored,
)

CONFIGURATION = Configuration(
    revision=3,
    deployment="kurabito",
    data_centres=(DataCentre(name="b", region="north"), DataCentre(name="a", region="north")),
    services=(Service(name="buyer-desk", epoch=1, shards=("0", "1")),),
    servers=tuple(
        Server(
            id=f"bd-{shard}",
            service="buyer-desk",
            shard=shard,
            data_centre="a",
            host="127.0.0.1",
            port=9000 + int(shard),
            slots=3,
            connections=30,
        )
        for shard in ("1", "0")
    ),
)


def valid_document() -> Any:
    return json.loads(canonical(CONFIGURATION))


def faults(document: Any) -> dict[str, str]:
    with pytest.raises(InvalidConfigurationError) as raised:
        parse_configuration(json.dumps(document).encode())
    return {fault.path: fault.text for fault in raised.value.faults}


def test_canonical_form_round_trips_and_ignores_order() -> None:
    parsed = parse_configuration(canonical(CONFIGURATION))
    assert canonical(parsed) == canonical(CONFIGURATION)
    assert [dc.name for dc in parsed.data_centres] == ["a", "b"]
    swapped = attrs.evolve(CONFIGURATION, data_centres=CONFIGURATION.data_centres[::-1])
    assert canonical(swapped) == canonical(CONFIGURATION)


def test_stored_form_round_trips_compressed_or_plain() -> None:
    assert canonical(from_stored(to_stored(CONFIGURATION))) == canonical(CONFIGURATION)
    assert canonical(from_stored(canonical(CONFIGURATION))) == canonical(CONFIGURATION)
    for invalid in (b"", b"\x00", to_stored(CONFIGURATION)[:-9]):
        with pytest.raises(InvalidConfigurationError):
            from_stored(invalid)


def test_all_type_errors_are_reported_with_their_paths() -> None:
    document = valid_document()
    document["servers"][0]["slots"] = "three"
    document["servers"][1]["port"] = 80.5
    document["servers"][1]["prot"] = 80
    document["data_centres"][0]["state"] = "away"
    document["services"][0]["shards"] = "01"
    del document["deployment"]
    fault_texts = faults(document)
    assert "an integer" in fault_texts["$.servers[0].slots"]
    assert "an integer" in fault_texts["$.servers[1].port"]
    assert "prot" in fault_texts["$.servers[1]"]
    assert "in, out" in fault_texts["$.data_centres[0].state"]
    assert "list" in fault_texts["$.services[0].shards"]
    assert "deployment" in "".join(fault_texts) + "".join(fault_texts.values())


def test_all_content_faults_are_reported_with_their_paths() -> None:
    document = valid_document()
    document["revision"] = 0
    document["data_centres"][1]["name"] = "c c"
    document["services"][0]["shards"] = ["0", "2"]
    document["services"][0]["policy"].update(min_coverage=1.5, patience_ms=900)
    document["servers"][0].update(data_centre="x", slots=0, connections=0, cold_slots=5, host="h")
    document["servers"][1].update(id="bd-0", port=70_000, service="nobody")
    fault_texts = faults(document)
    assert set(fault_texts) == {
        "$.revision",
        "$.data_centres[1]",
        "$.services[0].shards[0]",
        "$.services[0].shards[1]",
        "$.services[0].policy.min_coverage",
        "$.services[0].policy.patience_ms",
        "$.servers[0].data_centre",
        "$.servers[0].slots",
        "$.servers[0].cold_slots",
        "$.servers[0].connections",
        "$.servers[0].host",
        "$.servers[1]",
        "$.servers[1].port",
        "$.servers[1].service",
    } - {"$.services[0].shards[0]"}


def test_two_servers_with_the_same_address_are_rejected() -> None:
    document = valid_document()
    document["servers"][1]["port"] = document["servers"][0]["port"]
    assert "already used by bd-0" in faults(document)["$.servers[1].port"]


@pytest.mark.parametrize("text", [b"", b"[]", b"{", b"[" * 100_000, b"null", b'{"revision": 1}'])
def test_invalid_documents_are_rejected(text: bytes) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse_configuration(text)
