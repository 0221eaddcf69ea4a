"""The choice of replicas, last resorts, and the ejection of outliers with its limits."""

from __future__ import annotations

from collections import Counter

from berylspindle_decisions.ejection import EjectionStatus, Ejector
from berylspindle_decisions.replica_choice import ReplicaView, choose, hedge_target

UNIFORM = [n / 30 for n in range(30)]


def view(server: str, **known: object) -> ReplicaView:
    fields: dict[str, object] = {"data_centre": f"dc-{server}", "owner": f"vm-{server}"}
    return ReplicaView(server=server, **{**fields, **known})  # type: ignore[arg-type]


def first_choices(*views: ReplicaView, owners: tuple[str, ...] = ()) -> Counter[str]:
    """Count the first choices over evenly spread random numbers."""
    return Counter(choose(views, now=10.0, uniform=u, owners=owners)[0].server for u in UNIFORM)


def test_a_slow_replica_is_avoided_and_the_others_share_the_work() -> None:
    """Guard against a random choice, which sends a third to the slow one of three replicas.

    Over ten shards nearly every response would wait for a slow replica.
    """
    counts = first_choices(
        view("a", latency_ms=5.0), view("b", latency_ms=5.0), view("c", latency_ms=50.0)
    )
    assert counts["c"] == 0
    assert min(counts["a"], counts["b"]) >= 10


def test_outstanding_requests_count_as_queueing_and_outweigh_locality() -> None:
    near = view("near", is_local=True, latency_ms=5.0)
    far = view("far", latency_ms=5.0)
    busy = view("near", is_local=True, latency_ms=5.0, outstanding=2)
    assert first_choices(near, far)["near"] == 30
    assert first_choices(busy, far)["far"] == 30


def test_an_owner_that_gets_a_message_anyway_is_preferred() -> None:
    one, two = view("a", latency_ms=5.0), view("b", latency_ms=5.0)
    assert first_choices(one, two, owners=("vm-b",))["b"] == 30


def test_last_resorts_come_last_and_unusable_replicas_are_excluded() -> None:
    """Guard against new work for retired servers or data centres that are out."""
    views = (
        view("out", is_usable=False, latency_ms=0.1),
        view("ejected", is_ejected=True, latency_ms=0.1),
        view("shed", refused_until=11.0, latency_ms=0.1),
        view("stale", holds_snapshot=False, latency_ms=0.1),
        view("good", latency_ms=90.0),
    )
    order = [v.server for v in choose(views, now=10.0, uniform=0.9)]
    assert order == ["good", "stale", "shed", "ejected"]
    assert choose(views[:1], now=10.0, uniform=0.0) == ()


def test_a_hedge_goes_to_another_data_centre_and_to_no_last_resort() -> None:
    order = (
        view("a", data_centre="x"),
        view("b", data_centre="x"),
        view("c", data_centre="y"),
        view("d", data_centre="z", is_ejected=True),
    )
    target = hedge_target(order, {"a"}, now=0.0)
    assert target is not None
    assert target.server == "c"
    assert hedge_target(order, {"a", "b", "c"}, now=0.0) is None


def shards(count: int) -> dict[str, list[str]]:
    return {f"{s}": [f"{s}{r}" for r in "abc"] for s in range(count)}


def record_successes(ejector: Ejector, now: float, slow: set[str], servers: list[str]) -> None:
    for _ in range(40):
        for server in servers:
            ejector.on_success(now, server, 100.0 if server in slow else 5.0)


def ejected_servers(ejector: Ejector, now: float, servers: list[str]) -> list[str]:
    return [s for s in servers if ejector.status(now, s) is not EjectionStatus.ACTIVE]


def test_an_outlier_is_ejected_and_returns_after_trials() -> None:
    ejector = Ejector(shards(3))
    servers = [s for row in shards(3).values() for s in row]
    record_successes(ejector, 0.0, {"0a"}, servers)
    assert ejected_servers(ejector, 0.0, servers) == ["0a"]
    assert not ejector.may_use(1.9, "0a")
    now = 2.0
    for _ in range(5):
        assert ejector.may_use(now, "0a")
        ejector.on_use(now, "0a")
        assert not ejector.may_use(now + 0.1, "0a"), "one trial at a time"
        ejector.on_success(now, "0a", 5.0)
        now += 0.2
    assert ejected_servers(ejector, now, servers) == []


def test_a_slow_server_whose_attempts_are_all_hedged_is_ejected() -> None:
    """Guard against a slow server whose attempts are all cancelled after 30 ms for their hedges.

    Without responses, its latency on record would stay as good as before it became slow.
    """
    ejector = Ejector(shards(2))
    servers = [s for row in shards(2).values() for s in row]
    record_successes(ejector, 0.0, set(), servers)
    for _ in range(40):
        ejector.on_cancelled("0a", 30.0)
    latency_ms = ejector.latency_ms("0a")
    assert latency_ms is not None
    assert latency_ms > 25.0
    ejector.on_cancelled("0a", 1.0)
    assert ejector.latency_ms("0a") == latency_ms
    ejector.on_success(0.0, "0a", 30.0)
    assert ejected_servers(ejector, 0.0, servers) == ["0a"]


def test_a_failed_trial_doubles_the_ejection_time() -> None:
    ejector = Ejector(shards(3))
    for _ in range(5):
        ejector.on_failure(0.0, "0a")
    assert ejector.status(2.0, "0a") is EjectionStatus.PROBATION
    ejector.on_failure(2.0, "0a")
    assert ejector.status(5.9, "0a") is EjectionStatus.EJECTED
    assert ejector.status(6.0, "0a") is EjectionStatus.PROBATION


def test_a_common_fault_ejects_a_third_at_most_and_no_whole_shard() -> None:
    """Guard against ejecting all replicas of a bad release, which overloads the last ones.

    At most a third is ejected, and each shard keeps a replica.
    """
    ejector = Ejector(shards(4))
    servers = [s for row in shards(4).values() for s in row]
    for server in servers * 10:
        ejector.on_failure(0.0, server)
    assert len(ejected_servers(ejector, 0.0, servers)) == 4
    small = Ejector({"0": ["a", "b", "c"], "1": ["d"], "2": ["e"], "3": ["f"]})
    for server in ["d", "e", "f"] * 10:
        small.on_failure(0.0, server)
    assert ejected_servers(small, 0.0, ["d", "e", "f"]) == []


def test_equally_slow_servers_are_not_ejected() -> None:
    ejector = Ejector(shards(2))
    servers = [s for row in shards(2).values() for s in row]
    record_successes(ejector, 0.0, set(servers), servers)
    assert ejected_servers(ejector, 0.0, servers) == []
