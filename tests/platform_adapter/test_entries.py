"""Decoding of store entries and of the settings file, well-formed and malformed."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspindle_adapter import wire_names as wire
from berylspindle_adapter.entry_reader import PlatformReader
from berylspindle_adapter.node_file import SettingsError, callers_address, read_fields
from berylspindle_adapter.node_settings import NodeSettings, parse_settings
from berylspindle_decisions.quota_limits import QuotaBounds
from berylspindle_forwarding.catalogue_changes import (
    DataCentreExclusionChange,
    ReplicaChange,
    TableChange,
    UnreadableEntry,
    VmChange,
    VmEntry,
)
from berylspindle_forwarding.forward_daemon import Endpoint
from berylspindle_forwarding.relay import RelayPort
from berylspindle_model.routing import Organisation, Replica, WeightedService
from berylspindle_store.store import StoredValue

CONFIGURATION = {
    "version": 7,
    "later": {"unknown": True},
    "routes": [
        {
            "name": "merged",
            "host": "Lots.Example",
            "prefix": "/lots/",
            "kind": "idempotent",
            "timeout_ms": 1200,
            "target_latency_ms": 144,
            "priority": 1,
            "gather": ["s1", "s2"],
            "attempts": 2,
            "top_k": 20,
            "min_version": 0.89,
        },
        {
            "name": "split",
            "host": "lots.example",
            "prefix": "/lots/old/",
            "kind": "non_idempotent",
            "timeout_ms": 5000,
            "target_latency_ms": 500,
            "split": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}],
        },
    ],
    "services": [
        {"name": "s1", "max_conns": 31, "warmup_s": 3.0, "warmup_per_s": 0.0},
        {"name": "s2", "max_conns": 31, "warmup_s": 3.0, "warmup_per_s": 20.0},
    ],
    "limits": {
        "max_header_bytes": 100,
        "max_body_bytes": 200,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
ANNOUNCEMENT = {
    "service": "s1",
    "addr": "10.1.2.3:8080",
    "zone": "north",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup_left_ms": 250,
    "sequence": 4,
    "born": 1796253024000,
}


def read_change(key: str, value: object):
    data = None if value is None else value if isinstance(value, bytes) else json.dumps(value)
    if isinstance(data, str):
        data = data.encode()
    return PlatformReader().decode(StoredValue(key=key, value=data, revision=9))


def test_configuration_entry_yields_a_routing_table():
    change = read_change("op/config", CONFIGURATION)
    assert isinstance(change, TableChange)
    table = change.table
    assert table.version == 7
    merged, split = table.find("lots.example", "/lots/x"), table.find("lots.example", "/lots/old/x")
    assert merged is not None
    assert merged.shard_set is not None
    assert (merged.repeatable, merged.shard_set.top, merged.shard_set.min_shards) == (True, 20, 2)
    assert split is not None
    assert split.targets[1] == WeightedService(service="b", weight=1)
    assert (split.repeatable, split.max_replicas) == (False, 1)
    assert table.rules("s1").cold_rate is None
    assert table.rules("s2").cold_rate == 20.0
    assert table.limits.idle_timeout == 15.0


DECODED_KEYS = (
    wire.CONFIGURATION_KEY,
    *(
        f"{prefix}s1/north"
        for prefix in (
            wire.REPLICA_PREFIX,
            wire.VM_PREFIX,
            wire.SUSPECT_PREFIX,
            wire.ROLLOUT_PREFIX,
            wire.ROLLOUT_STATUS_PREFIX,
            wire.ROLLOUT_SHIFT_PREFIX,
            wire.ROLLOUT_ANSWERS_PREFIX,
        )
    ),
)
VALUES = st.recursive(
    st.none() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=9),
    lambda values: st.lists(values, max_size=2) | st.dictionaries(st.text(), values, max_size=2),
    max_leaves=4,
)
ENTRIES = st.builds(
    lambda fields, name, value: {**fields, name: value},
    st.sampled_from([ANNOUNCEMENT, CONFIGURATION]),
    st.sampled_from(sorted({**ANNOUNCEMENT, **CONFIGURATION})),
    VALUES
    | st.text(max_size=9).map(lambda port: f"10.1.2.3:{port}")
    | st.text(max_size=9).map(lambda host: f"{host}:8080"),
)
"""Announcements and configurations with another value in one field."""


def test_announcement_entry_yields_a_replica():
    change = read_change("servers/i-1", ANNOUNCEMENT)
    assert change == ReplicaChange(
        "i-1",
        Replica(
            id="i-1",
            service="s1",
            host="10.1.2.3",
            port=8080,
            data_centre="north",
            slots=3,
            cold_ms=250,
            born=1796253024000,
            version="v1",
        ),
    )
    assert read_change("servers/i-1", None) == ReplicaChange("i-1", None)
    draining = read_change("servers/i-1", {**ANNOUNCEMENT, "state": "draining"})
    assert isinstance(draining, ReplicaChange)
    assert draining.replica is not None
    assert draining.replica.draining


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe\x00",
        b"[]",
        b"",
        {**ANNOUNCEMENT, "slots": "three"},
        {**ANNOUNCEMENT, "state": "asleep"},
        {**ANNOUNCEMENT, "addr": "nowhere"},
        {**ANNOUNCEMENT, "addr": "10.1.2.3:²"},
        {**ANNOUNCEMENT, "addr": "10.1.2.3:٣"},
        {**ANNOUNCEMENT, "addr": "10.1.2.3:" + 5000 * "9"},
        {**ANNOUNCEMENT, "addr": "10.1.2.3:65536"},
        {**ANNOUNCEMENT, "addr": "10..3:8080"},
        {**ANNOUNCEMENT, "addr": ":8080"},
        {**ANNOUNCEMENT, "service": None},
        {**ANNOUNCEMENT, "born": 1.5},
        {key: value for key, value in ANNOUNCEMENT.items() if key != "zone"},
    ],
)
def test_malformed_announcement_is_unreadable(value: object):
    """Guard against a malformed entry that stops a VM from processing later entries."""
    change = read_change("servers/i-1", value)
    assert isinstance(change, UnreadableEntry)
    assert change.key == "servers/i-1"
    assert change.reason


@pytest.mark.parametrize("name", ["", " i-1", "i-1\r\nx: 1", "i-\x7f", "i-日"])
def test_announcement_whose_id_no_header_can_carry_is_unreadable(name: str):
    """Guard against requests that are never sent, as each names its replica in a header."""
    assert isinstance(read_change(f"servers/{name}", ANNOUNCEMENT), UnreadableEntry)


NESTED = 3000 * b'{"last":' + b"0" + 3000 * b"}"


@pytest.mark.parametrize("key", DECODED_KEYS)
@pytest.mark.parametrize(
    "value", [NESTED, b'{"last":%b}' % NESTED, 3000 * b"[", 3000 * b"[" + 3000 * b"]"]
)
def test_deeply_nested_entry_is_unreadable(key: str, value: bytes):
    """Guard against an entry that ends the task which follows the store."""
    assert isinstance(read_change(key, value), UnreadableEntry)


@given(key=st.sampled_from(DECODED_KEYS), value=st.one_of(st.binary(), ENTRIES))
def test_entry_of_another_writer_is_decoded_or_unreadable(key: str, value: object):
    """Guard against an entry that ends the task which follows the store."""
    change = read_change(key, value)
    if isinstance(change, ReplicaChange) and change.replica is not None:
        assert 0 < change.replica.port < 65536


def test_evacuation_vm_and_unknown_entries():
    assert read_change("op/evacuate/north", {}) == DataCentreExclusionChange("north", True)
    assert read_change("op/evacuate/north", None) == DataCentreExclusionChange("north", False)
    entry = VmEntry(host="10.0.0.1", port=7740, data_centre="north")
    document = {"host": "10.0.0.1", "port": 7740, "data_centre": "north"}
    assert read_change("berylspindle/vms/vm-1", document) == VmChange("vm-1", entry)
    assert isinstance(read_change("berylspindle/vms/vm-1", b"10.0.0.1"), UnreadableEntry)
    assert read_change("somebody/else", {}) is None
    assert isinstance(read_change("op/config", {"version": "7"}), UnreadableEntry)


def configuration_with(*tenants: object) -> dict[str, object]:
    return {**CONFIGURATION, "tenants": list(tenants)}


def test_configuration_with_tenants_yields_organisations():
    rows = [
        {"name": "a", "api_keys": ["k1", "k2"], "priority": 2, "rate_per_s": 1e308, "burst": 3},
        {"name": "b", "api_keys": ["k2"], "rate_per_s": None},
        {"name": "c"},
    ]
    change = read_change("op/config", configuration_with(*rows))
    assert isinstance(change, TableChange)
    table = change.table
    assert table.find_organisation("k1") == Organisation(
        name="a", keys=("k1", "k2"), priority=2, rate=1e308, burst=3.0
    )
    assert table.find_organisation("k2") is None
    assert table.organisations["b"].priority is None
    assert table.organisations["c"] == Organisation(name="c")
    assert table.requires_key
    empty = read_change("op/config", configuration_with())
    assert isinstance(empty, TableChange)
    assert not empty.table.requires_key


@pytest.mark.parametrize(
    "row",
    [
        {"name": ""},
        {"name": "a\r\nx-forged: b"},
        {"name": " a"},
        {"name": "a", "rate_per_s": -1},
        {"name": "a", "burst": -0.5},
        {"name": "a", "rate_per_s": float("nan")},
        {"name": "a", "burst": float("inf")},
        {"name": "a", "rate_per_s": 10**400},
        {"name": "a", "api_keys": ["s3cr3t", 5]},
        {"name": "a", "api_keys": "s3cr3t"},
        {"name": "b"},
        {},
    ],
)
def test_configuration_with_a_malformed_tenant_is_unreadable(row: dict[str, object]):
    """Guard against organisations without their limit, and against keys in the reason."""
    change = read_change("op/config", configuration_with({"name": "b"}, row))
    assert isinstance(change, UnreadableEntry)
    assert "s3cr3t" not in change.reason


SETTINGS = """
node = "front-1"
zone = "north"
ip = "127.0.0.1"
internal_ports = [7740, 7755]
unknown = 1
[listen]
front = "127.0.0.1:8226"
ready = "127.0.0.1:8227"
[bounds]
grace_s = 5
retry_budget = 0.25
[platform]
addr = "127.0.0.1:8229"
"""


def load_settings(path: Path) -> NodeSettings:
    fields = read_fields({"BERYLSPINDLE_NODE_FILE": str(path)})
    callers_address(fields)
    return parse_settings(fields)


def test_settings_file_yields_options(tmp_path: Path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.edges.callers.port == 8226
    assert (settings.forward.vm, settings.forward.data_centre) == ("front-1", "north")
    assert settings.forward.extra.ratio == 0.25
    assert settings.edges.grace_s == 5
    assert settings.store.port == 8229
    assert settings.edges.relays is None
    assert settings.forward.callers_port == 8226
    assert settings.forward.relay_port is RelayPort.CALLERS


def test_contract_for_organisations_opens_the_first_free_internal_port(tmp_path: Path):
    """Guard against relayed requests on the callers' port, and a port that is already in use."""
    path = tmp_path / "node.toml"
    text = SETTINGS.replace("unknown = 1", 'contracts = ["other", "tenants"]')
    text = text.replace("[bounds]", 'control = "127.0.0.2:7740"\n[bounds]\nquota_slack = 7')
    path.write_text(text)
    settings = load_settings(path)
    assert settings.edges.relays == Endpoint("127.0.0.2", 7741)
    assert settings.forward.callers_port == 7741
    assert settings.forward.relay_port is RelayPort.SEPARATE
    assert settings.forward.quota == QuotaBounds(window_s=5.0, overshoot=0.1, slack=7.0)
    path.write_text(text.replace("quota_slack", "other_slack"))
    assert load_settings(path).forward.quota is None
    path.write_text(text.replace("internal_ports", "other_ports"))
    settings = load_settings(path)
    assert (settings.edges.relays, settings.forward.callers_port) == (None, 0)
    assert settings.forward.relay_port is RelayPort.NONE


@pytest.mark.parametrize(
    ("text", "matched"),
    [
        ("node = ", "node.toml"),
        (SETTINGS.replace('zone = "north"', ""), "zone"),
        (SETTINGS.replace("127.0.0.1:8229", "nowhere"), "missing or malformed"),
        (SETTINGS.replace("127.0.0.1:8226", "nowhere"), "listen.front"),
        (SETTINGS.replace("[7740, 7755]", "[7740]"), "missing or malformed"),
    ],
)
def test_unusable_settings_are_reported_in_one_line(tmp_path: Path, text: str, matched: str):
    path = tmp_path / "node.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=matched) as raised:
        load_settings(path)
    assert "\n" not in str(raised.value)
    with pytest.raises(SettingsError):
        read_fields({})
