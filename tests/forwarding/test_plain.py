"""Requests that go to one replica, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from forward_site import DIALECT, HOST, open_site, plain_route

from berylspindle_forwarding.vm_probe import Prober
from berylspindle_model.routing import ServiceRules, WeightedService
from berylspindle_standins.forward_replica import Spoil, answer_body, signature_of
from berylspindle_wire.http_server import serve

NOT_RUN = {429, 503}


async def test_a_request_is_passed_on_unchanged_and_its_answer_too():
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        site.route(plain_route())
        target = "/booking/7%2F8/?a=1&a=%20&b"
        told = await site.client.request(
            "POST",
            "/booking/raw",
            headers={"host": HOST, DIALECT.request_id.decode(): "id-1"},
            body=b"\x00raw\r\n",
        )
        assert (told.status, told.body) == (200, answer_body("booking", "/booking/raw"))
        assert told.headers[DIALECT.signature.decode()] == signature_of(
            "booking", "id-1", told.body
        )
        assert replica.counts.bodies == [b"\x00raw\r\n"]
        reader, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert replica.counts.targets == ["/booking/raw", target]


async def test_the_longest_prefix_wins_and_an_unknown_one_is_not_found():
    async with open_site() as site:
        await site.replica("r1", "booking")
        await site.replica("r2", "customs")
        site.route(
            plain_route(),
            plain_route("customs", name="inner", prefix="/booking/customs/"),
        )
        assert (await site.ask("/booking/1")).body == answer_body("booking", "/booking/1")
        inner = "/booking/customs/1"
        assert (await site.ask(inner)).body == answer_body("customs", inner)
        assert (await site.ask("/elsewhere/1")).status == 404
        assert (await site.ask("/booking/1", host="other.example")).status == 404
        assert (await site.ask("/booking/1", host=f"{HOST.upper()}:8080")).status == 200


async def test_before_any_table_a_request_is_not_run_and_not_unknown():
    """A caller's booking is told as "no such route" while a VM starts, and it gives up for good."""
    async with open_site() as site:
        told = await site.ask("/booking/1")
        assert told.status == 503
        assert 0 < float(told.headers["retry-after"]) < 1


async def test_a_request_that_comes_while_a_vm_starts_waits_for_its_first_table():
    """After a loss of power callers spend their one other try on VMs that answer "not ready"."""
    async with open_site() as site:
        asking = asyncio.create_task(site.ask("/booking/1"))
        await asyncio.sleep(0.1)
        await site.replica("r1", "booking")
        site.route(plain_route())
        assert (await asking).status == 200


async def test_what_a_replica_is_told_of_the_time_is_what_is_left():
    """A replica works for a caller that has long left, since each hop hands on its own time-out."""
    async with open_site() as site:
        first = await site.replica("r1", "booking")
        site.route(plain_route(timeout_ms=3000))
        await site.ask("/booking/1", left_ms=800)
        await site.ask("/booking/2", left_ms=90_000)
        await site.ask("/booking/3", left_ms=None)
        short, bounded, unsaid = first.counts.times_left
        assert 700 < short <= 800
        assert 2900 < bounded <= 3000
        assert 2900 < unsaid <= 3000


async def test_weights_hold_exactly_over_few_requests():
    async with open_site() as site:
        await site.replica("r1", "old")
        await site.replica("r2", "new")
        targets = (
            WeightedService(service="old", weight=3),
            WeightedService(service="new", weight=1),
        )
        site.route(plain_route(targets=targets))
        for number in range(40):
            assert (await site.ask(f"/booking/{number}")).status == 200
        runs = site.runs()
        assert abs(runs["r1"] - 30) <= 1
        assert runs["r1"] + runs["r2"] == 40


@pytest.mark.parametrize("spoil", [s for s in Spoil if s is not Spoil.EARLY])
async def test_no_spoiled_answer_reaches_a_caller_as_a_success(spoil: Spoil):
    """A caller reads another caller's booking, or half of its own, as if it were whole.

    The replica breaks the framing of its answers; each way is a place where the tail of one answer
    can be taken for the next.
    """
    async with open_site() as site:
        bad = await site.replica("bad", "booking")
        bad.behaviour.spoil, bad.behaviour.spoiled = spoil, -1
        site.route(plain_route())
        for number in range(12):
            if number == 6:
                await site.replica("good", "booking")
            path = f"/booking/{number}"
            told = await site.ask(path, request_id=f"id-{number}")
            await asyncio.sleep(0.012)
            if told.status == 200:
                assert told.body == answer_body("booking", path)
                expected = signature_of("booking", f"id-{number}", told.body)
                assert told.headers[DIALECT.signature.decode()] == expected
            else:
                assert told.status in (502, 504)
        assert site.runs()["bad"] > 0


@pytest.mark.parametrize("spoil", [Spoil.LOST, Spoil.CUT, Spoil.GARBAGE, Spoil.FOREIGN])
async def test_what_may_not_be_repeated_runs_once_and_is_never_told_as_not_run(spoil: Spoil):
    """A pallet is booked twice, or a booking that stands is told as not made.

    The replica runs the booking and its answer is lost or spoiled.
    """
    async with open_site() as site:
        for name in ("r1", "r2", "r3"):
            replica = await site.replica(name, "booking")
            replica.behaviour.spoil, replica.behaviour.spoiled = spoil, -1
        site.route(plain_route(repeatable=False))
        for number in range(6):
            told = await site.ask(f"/booking/{number}", method="POST", body=b"{}")
            assert told.status not in NOT_RUN
            assert told.status >= 500
        assert sum(site.runs().values()) == 6


async def test_what_was_surely_not_run_goes_to_another_replica():
    async with open_site() as site:
        full = await site.replica("full", "booking")
        full.behaviour.refuse = -1
        gone = await site.replica("gone", "booking")
        gone.go_down()
        await site.replica("good", "booking")
        site.route(plain_route(repeatable=False))
        for number in range(10):
            assert (await site.ask(f"/booking/{number}", method="POST", body=b"{}")).status == 200
        assert site.runs() == {"full": 0, "gone": 0, "good": 10}


async def test_when_every_replica_refuses_the_caller_is_told_not_run_and_when_to_come_back():
    """A caller's confirmation stays open: nobody says whether it was made."""
    async with open_site() as site:
        for name in ("r1", "r2"):
            replica = await site.replica(name, "booking")
            replica.behaviour.refuse = -1
        site.route(plain_route(repeatable=False))
        told = await site.ask("/booking/1", method="POST", body=b"{}", left_ms=300)
        assert told.status == 503
        assert 0 <= float(told.headers["retry-after"]) <= 0.1
        assert sum(site.runs().values()) == 0


async def test_a_replica_s_own_failure_is_passed_on_when_no_other_does_better():
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.fail = -1
        site.route(plain_route())
        told = await site.ask("/booking/1")
        assert told.status == 500
        assert told.headers[DIALECT.signature.decode()] == "booking.failed"


async def test_an_address_that_belongs_to_another_replica_gets_nothing_more():
    """A booking runs at the wrong service: an address is used again by another replica."""
    async with open_site() as site:
        other = await site.replica("r1", "booking")
        other.behaviour.misplaced = True
        await site.replica("r2", "booking")
        site.route(plain_route())
        for number in range(8):
            assert (await site.ask(f"/booking/{number}")).status == 200
        assert other.counts.arrivals <= 1
        other.behaviour.misplaced = False
        site.withdraw(site.replicas["r2"])
        site.announce(other)
        assert (await site.ask("/booking/9")).status == 200


async def test_a_caller_that_leaves_ends_the_work_at_the_replica():
    """Replicas work for callers who have hung up, while others wait for the slots."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.work = 5.0
        site.route(plain_route())
        _, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
        writer.write(f"GET /booking/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        while not replica.counts.runs:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        writer.close()
        async with asyncio.timeout(2):
            while not replica.counts.ended_early:  # noqa: ASYNC110
                await asyncio.sleep(0.005)


async def test_an_early_answer_to_a_long_request_poisons_no_later_one():
    """A long request is answered before it is read, and the next one is read as its tail."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.spoil, replica.behaviour.spoiled = Spoil.EARLY, 1
        site.route(plain_route())
        told = await site.ask("/booking/1", method="POST", body=b"x" * 200_000)
        assert told.body == answer_body("booking", "/booking/1")
        for number in range(2, 6):
            path = f"/booking/{number}"
            assert (await site.ask(path)).body == answer_body("booking", path)


async def test_a_leaving_replica_and_a_data_centre_that_is_out_get_nothing_new():
    async with open_site() as site:
        leaving = await site.replica("leaving", "booking")
        out = await site.replica("out", "booking", data_centre="b")
        await site.replica("stays", "booking", data_centre="c")
        site.route(plain_route())
        site.announce(leaving, draining=True)
        site.take_out("b")
        for number in range(10):
            assert (await site.ask(f"/booking/{number}")).status == 200
        assert (leaving.counts.arrivals, out.counts.arrivals) == (0, 0)
        site.take_out("b", out=False)
        site.withdraw(site.replicas["stays"])
        assert (await site.ask("/booking/1")).status == 200
        assert out.counts.arrivals == 1


async def test_a_connection_past_the_replica_s_idle_time_is_not_used_again():
    """A booking is written into a connection that its replica is just closing."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.idle = 1.0
        site.route(plain_route(repeatable=False))
        assert (await site.ask("/booking/1", method="POST", body=b"{}")).status == 200
        await asyncio.sleep(0.85)
        assert (await site.ask("/booking/2", method="POST", body=b"{}")).status == 200
        assert replica.counts.connections == 2


async def test_what_waits_for_a_connection_is_not_sent_once_it_is_answered_elsewhere() -> None:
    """A replica gets a request long after its caller has been answered, with time that is over.

    A VM may hold one connection to each replica, and the first one's is busy with long work. A
    second request waits for it, is hedged, and answered by the other replica.
    """
    async with open_site() as site:
        slow = await site.replica("slow", "booking")
        rules = ServiceRules(name="booking", max_connections=1)
        site.route(plain_route(aim_ms=200), booking=rules)
        slow.behaviour.work = 0.6
        first = asyncio.create_task(site.ask("/booking/first"))
        await asyncio.sleep(0.05)
        await site.replica("quick", "booking", data_centre="b")
        # Known to be slow, so that the second request first waits for the other one.
        health = site.forwarder.registry.get("quick").health
        health._pace, health._pace_at = 9.0, asyncio.get_running_loop().time()
        told = await site.ask("/booking/second", left_ms=3000)
        assert told.status == 200
        assert (await first).status == 200
        await asyncio.sleep(0.8)
        assert slow.counts.targets == ["/booking/first"]


async def test_what_has_waited_for_a_connection_states_the_time_that_is_left_then() -> None:
    async with open_site() as site:
        only = await site.replica("only", "booking")
        site.route(plain_route(), booking=ServiceRules(name="booking", max_connections=1))
        only.behaviour.work = 1.0
        first = asyncio.create_task(site.ask("/booking/first"))
        await asyncio.sleep(0.05)
        assert (await site.ask("/booking/second", left_ms=2000)).status == 200
        assert (await first).status == 200
        assert only.counts.times_left[-1] <= 1500


async def test_what_may_not_be_repeated_avoids_a_replica_that_lost_an_answer_elsewhere() -> None:
    """Guards against a lost booking at each VM for each replica that loses answers."""
    async with open_site() as site, open_site(vm="vm-2") as other:
        lossy = await site.replica("lossy", "booking")
        lossy.behaviour.spoil, lossy.behaviour.spoiled = Spoil.LOST, 100
        for one in (site, other):
            one.route(plain_route())
        assert (await site.ask("/booking/1", method="POST")).status == 502
        other.announce(lossy)
        other.announce(await site.replica("sound", "booking"))
        mirror = await serve(site.forwarder.mirror.answer, host="127.0.0.1", port=0)
        prober = Prober(other.forwarder._introduction, other.forwarder._on_losses)
        assert await prober.answers("127.0.0.1", mirror.port, timeout=1.0)
        told = [await other.ask(f"/booking/{n}", method="POST") for n in range(20)]
        assert {one.status for one in told} == {200}
        await prober.close()
        await mirror.close(0.0)
