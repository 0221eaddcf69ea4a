"""Rendezvous hashing: equal owners on every VM, and few moves when a member leaves."""

from __future__ import annotations

from collections import Counter

import pytest

from berylspindle_decisions.rendezvous import owner_of, top_members
from berylspindle_model.topology import Vm

MEMBERS = [Vm(id=f"vm{n}", data_centre="a", host="127.0.0.1", peer_port=n) for n in range(1, 17)]
SERVERS = [f"server-{n}" for n in range(1600)]


def test_the_order_of_members_has_no_influence() -> None:
    for server in SERVERS[:100]:
        assert owner_of(server, MEMBERS) == owner_of(server, MEMBERS[::-1])


def test_only_the_keys_of_a_removed_member_move_and_they_spread() -> None:
    before = {server: owner_of(server, MEMBERS) for server in SERVERS}
    after = {server: owner_of(server, MEMBERS[1:]) for server in SERVERS}
    moved = {server for server in SERVERS if before[server] != after[server]}
    assert moved == {server for server in SERVERS if before[server] == MEMBERS[0]}
    assert len({after[server].id for server in moved}) > 10


def test_ownership_is_balanced() -> None:
    counts = Counter(owner_of(server, MEMBERS).id for server in SERVERS)
    assert len(counts) == len(MEMBERS)
    assert min(counts.values()) > 60
    assert max(counts.values()) < 150


def test_a_view_without_members_is_refused() -> None:
    with pytest.raises(ValueError, match="without members"):
        owner_of("s", [])


def test_first_of_starts_with_the_owner() -> None:
    assert top_members("s", MEMBERS, 3)[0] == owner_of("s", MEMBERS)
    assert len(top_members("s", MEMBERS[:2], 3)) == 2
