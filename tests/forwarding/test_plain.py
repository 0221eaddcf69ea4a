"""Test requests to a single service, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from forward_site import DIALECT, HOST, open_site, plain_route

from berylspindle_decisions.forward_policy import ForwardPolicy
from berylspindle_forwarding.vm_probe import Prober
from berylspindle_model.routing import ServiceRules, WeightedService
from berylspindle_standins.forward_replica import ReplyFault, answer_body, signature_of
from berylspindle_wire.http_server import serve

NOT_RUN = {429, 503}


async def test_request_and_response_are_forwarded_unchanged():
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        site.route(plain_route())
        target = "/booking/7%2F8/?a=1&a=%20&b"
        response = await site.client.request(
            "POST",
            "/booking/raw",
            headers={"host": HOST, DIALECT.request_id.decode(): "id-1"},
            body=b"\x00raw\r\n",
        )
        assert (response.status, response.body) == (200, answer_body("booking", "/booking/raw"))
        assert response.headers[DIALECT.signature.decode()] == signature_of(
            "booking", "id-1", response.body
        )
        assert replica.counts.bodies == [b"\x00raw\r\n"]
        reader, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert replica.counts.targets == ["/booking/raw", target]


async def test_longest_prefix_matches_and_unknown_prefix_is_not_found():
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


async def test_request_before_first_table_is_refused_with_retry_after():
    """Guard against a 404 from a VM that is still starting, which callers treat as final."""
    async with open_site() as site:
        response = await site.ask("/booking/1")
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) < 1


async def test_request_during_start_up_waits_for_first_table():
    """Guard against callers that spend their only retry on a VM that is still starting."""
    async with open_site() as site:
        asking = asyncio.create_task(site.ask("/booking/1"))
        await asyncio.sleep(0.1)
        await site.replica("r1", "booking")
        site.route(plain_route())
        assert (await asking).status == 200


async def test_replica_gets_the_remaining_time():
    """Guard against replicas that work for callers that have left.

    They do so if a hop forwards its own timeout in place of the time left.
    """
    async with open_site() as site:
        first = await site.replica("r1", "booking")
        site.route(plain_route(timeout_ms=3000))
        await site.ask("/booking/1", left_ms=800)
        await site.ask("/booking/2", left_ms=90_000)
        await site.ask("/booking/3", left_ms=None)
        short, bounded, unsaid = first.counts.remaining_ms
        assert 700 < short <= 800
        assert 2900 < bounded <= 3000
        assert 2900 < unsaid <= 3000


async def test_weights_are_exact_over_few_requests():
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


@pytest.mark.parametrize("reply_fault", [s for s in ReplyFault if s is not ReplyFault.EARLY])
async def test_malformed_reply_never_reaches_a_caller_as_a_success(reply_fault: ReplyFault):
    """Guard against a caller that gets another caller's answer, or a truncated one, as a success.

    The replica breaks the framing of its replies so that the tail of one can be taken for the next.
    """
    async with open_site() as site:
        bad = await site.replica("bad", "booking")
        bad.behaviour.reply_fault, bad.behaviour.faulty_replies = reply_fault, -1
        site.route(plain_route())
        for number in range(12):
            if number == 6:
                await site.replica("good", "booking")
            path = f"/booking/{number}"
            response = await site.ask(path, request_id=f"id-{number}")
            await asyncio.sleep(0.012)
            if response.status == 200:
                assert response.body == answer_body("booking", path)
                expected = signature_of("booking", f"id-{number}", response.body)
                assert response.headers[DIALECT.signature.decode()] == expected
            else:
                assert response.status in (502, 504)
        assert site.runs()["bad"] > 0


@pytest.mark.parametrize(
    "reply_fault",
    [
        ReplyFault.CONNECTION_RESET,
        ReplyFault.TRUNCATED,
        ReplyFault.GARBAGE,
        ReplyFault.WRONG_REQUEST_ID,
    ],
)
async def test_non_repeatable_request_runs_once_and_is_never_reported_as_not_run(
    reply_fault: ReplyFault,
):
    """Guard against a booking that runs twice, or that has run but is reported as not run.

    The replica runs the booking, and its reply is lost or malformed.
    """
    async with open_site() as site:
        for name in ("r1", "r2", "r3"):
            replica = await site.replica(name, "booking")
            replica.behaviour.reply_fault, replica.behaviour.faulty_replies = reply_fault, -1
        site.route(plain_route(repeatable=False))
        for number in range(6):
            response = await site.ask(f"/booking/{number}", method="POST", body=b"{}")
            assert response.status not in NOT_RUN
            assert response.status >= 500
        assert sum(site.runs().values()) == 6


async def test_request_that_was_not_run_is_retried_on_another_replica():
    async with open_site() as site:
        full = await site.replica("full", "booking")
        full.behaviour.refused_requests = -1
        gone = await site.replica("gone", "booking")
        gone.crash()
        await site.replica("good", "booking")
        site.route(plain_route(repeatable=False))
        for number in range(10):
            assert (await site.ask(f"/booking/{number}", method="POST", body=b"{}")).status == 200
        assert site.runs() == {"full": 0, "gone": 0, "good": 10}


async def test_refusal_by_every_replica_is_reported_as_not_run_with_retry_after():
    """Guard against an unknown outcome for a request that certainly was not run."""
    async with open_site() as site:
        for name in ("r1", "r2"):
            replica = await site.replica(name, "booking")
            replica.behaviour.refused_requests = -1
        site.route(plain_route(repeatable=False))
        response = await site.ask("/booking/1", method="POST", body=b"{}", left_ms=300)
        assert response.status == 503
        assert 0 <= float(response.headers["retry-after"]) <= 0.1
        assert sum(site.runs().values()) == 0


async def test_failure_of_a_replica_is_forwarded_if_no_other_succeeds():
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.failed_requests = -1
        site.route(plain_route())
        response = await site.ask("/booking/1")
        assert response.status == 500
        assert response.headers[DIALECT.signature.decode()] == "booking.failed"


async def test_address_of_another_replica_gets_no_more_requests():
    """Guard against running a request at the wrong service after an address is reused."""
    async with open_site() as site:
        other = await site.replica("r1", "booking")
        other.behaviour.misdirected = True
        await site.replica("r2", "booking")
        site.route(plain_route())
        for number in range(8):
            assert (await site.ask(f"/booking/{number}")).status == 200
        assert other.counts.arrivals <= 1
        other.behaviour.misdirected = False
        site.withdraw(site.replicas["r2"])
        site.announce(other)
        assert (await site.ask("/booking/9")).status == 200


async def test_caller_disconnect_stops_the_work_at_the_replica():
    """Guard against replica slots held by requests whose callers have disconnected."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.service_time_s = 5.0
        site.route(plain_route())
        _, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
        writer.write(f"GET /booking/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        while not replica.counts.runs:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        writer.close()
        async with asyncio.timeout(2):
            while not replica.counts.cancelled:  # noqa: ASYNC110
                await asyncio.sleep(0.005)


async def test_early_answer_to_a_long_request_does_not_affect_later_ones():
    """Guard against a request read as the tail of a long one that was answered before its end."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.reply_fault, replica.behaviour.faulty_replies = ReplyFault.EARLY, 1
        site.route(plain_route())
        response = await site.ask("/booking/1", method="POST", body=b"x" * 200_000)
        assert response.body == answer_body("booking", "/booking/1")
        for number in range(2, 6):
            path = f"/booking/{number}"
            assert (await site.ask(path)).body == answer_body("booking", path)


async def test_draining_replica_and_data_centre_out_of_service_get_no_requests():
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


@pytest.mark.parametrize("reason", ["draining", "removed", "data centre out", "misdirected"])
async def test_request_that_waits_for_a_connection_is_not_sent_to_a_replica_that_leaves(
    reason: str,
) -> None:
    """Guard against requests that reach a replica long after it has announced that it drains."""
    async with open_site() as site:
        leaving = await site.replica("r1", "booking", slots=1)
        site.route(
            plain_route(repeatable=False), booking=ServiceRules(name="booking", max_connections=1)
        )
        leaving.behaviour.service_time_s = 0.5
        requests = [asyncio.create_task(site.ask(f"/booking/{n}")) for n in range(3)]
        while not leaving.counts.runs:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        other = await site.replica("r2", "booking", data_centre="b")
        if reason == "draining":
            site.announce(leaving, slots=1, draining=True)
        elif reason == "removed":
            site.withdraw(leaving)
        elif reason == "data centre out":
            site.take_out("a")
        else:
            registry = site.forwarder.registry
            registry.mark_misplaced(registry.usable("booking")[0])
        assert [(await request).status for request in requests] == [200, 200, 200]
        assert (leaving.counts.runs.total(), other.counts.runs.total()) == (1, 2)


async def test_connection_past_the_idle_timeout_of_the_replica_is_not_reused():
    """Guard against a booking written to a connection that the replica is closing."""
    async with open_site() as site:
        replica = await site.replica("r1", "booking")
        replica.behaviour.idle_timeout_s = 1.0
        site.route(plain_route(repeatable=False))
        assert (await site.ask("/booking/1", method="POST", body=b"{}")).status == 200
        await asyncio.sleep(0.85)
        assert (await site.ask("/booking/2", method="POST", body=b"{}")).status == 200
        assert replica.counts.connections == 2


async def test_waiting_attempt_is_withdrawn_after_the_request_is_answered() -> None:
    """Guard against a request that reaches a replica after its caller has been answered.

    The only connection to the first replica is busy with a long request. A second request waits for
    it, is hedged, and is answered by the other replica.
    """
    async with open_site() as site:
        slow = await site.replica("slow", "booking")
        rules = ServiceRules(name="booking", max_connections=1)
        site.route(plain_route(aim_ms=200), booking=rules)
        slow.behaviour.service_time_s = 0.6
        first = asyncio.create_task(site.ask("/booking/first"))
        await asyncio.sleep(0.05)
        await site.replica("quick", "booking", data_centre="b")
        # Marked as slow, so that the first attempt of the second request goes to the other replica.
        health = site.forwarder.registry.get("quick").health
        health._slowdown, health._slowdown_at = 9.0, asyncio.get_running_loop().time()
        response = await site.ask("/booking/second", left_ms=3000)
        assert response.status == 200
        assert (await first).status == 200
        await asyncio.sleep(0.8)
        assert slow.counts.targets == ["/booking/first"]


async def test_request_that_waited_for_a_connection_states_the_time_left_then() -> None:
    async with open_site() as site:
        only = await site.replica("only", "booking")
        site.route(plain_route(), booking=ServiceRules(name="booking", max_connections=1))
        only.behaviour.service_time_s = 1.0
        first = asyncio.create_task(site.ask("/booking/first"))
        await asyncio.sleep(0.05)
        assert (await site.ask("/booking/second", left_ms=2000)).status == 200
        assert (await first).status == 200
        assert only.counts.remaining_ms[-1] <= 1500


async def test_non_repeatable_request_avoids_a_replica_with_losses_at_another_vm() -> None:
    """Guard against one lost booking per VM for each replica that loses replies."""
    async with open_site() as site, open_site(vm="vm-2") as other:
        lossy = await site.replica("lossy", "booking")
        lossy.behaviour.reply_fault, lossy.behaviour.faulty_replies = (
            ReplyFault.CONNECTION_RESET,
            100,
        )
        for one in (site, other):
            one.route(plain_route())
        assert (await site.ask("/booking/1", method="POST")).status == 502
        other.announce(lossy)
        other.announce(await site.replica("sound", "booking"))
        mirror = await serve(site.forwarder.mirror.handle, host="127.0.0.1", port=0)
        prober = Prober(other.forwarder._upstream_report, other.forwarder._on_losses)
        assert await prober.is_responding("127.0.0.1", mirror.port, timeout=1.0)
        responses = [await other.ask(f"/booking/{n}", method="POST") for n in range(20)]
        assert {one.status for one in responses} == {200}
        await prober.close()
        await mirror.close(0.0)


async def test_restarted_replica_has_no_losses_of_its_earlier_process() -> None:
    """Guard against bookings that avoid a replica for what a process under its id has lost."""
    async with open_site() as site:
        restarted = await site.replica("restarted", "booking", born=1)
        restarted.behaviour.reply_fault, restarted.behaviour.faulty_replies = (
            ReplyFault.CONNECTION_RESET,
            1,
        )
        site.route(plain_route())
        assert (await site.ask("/booking/1", method="POST")).status == 502
        await site.replica("other", "booking")
        site.announce(restarted, born=2)
        picked = [
            site.forwarder.registry.pick(
                "booking", tried=frozenset(), is_hedge=False, non_repeatable=True
            )
            for _ in range(40)
        ]
        assert {one.replica.id for one in picked if one is not None} == {"restarted", "other"}


@pytest.mark.parametrize(
    ("suffix", "pace", "counts"),
    [
        ("", 1.0, True),
        (", 250", 2.5, True),
        (",0", 0.1, True),
        (",\xb2", 1.0, True),
        ("," + "9" * 5000, 1.0, True),
        (",250,1", 1.0, False),
    ],
)
async def test_load_report_may_state_a_pace(suffix: str, pace: float, counts: bool) -> None:
    """Guard against dropping a whole report because of its fourth figure."""
    async with open_site(policy=ForwardPolicy(uses_pace=True)) as site:
        replica = await site.replica("only", "booking")
        site.route(plain_route())
        replica.behaviour.load_suffix = suffix
        assert (await site.ask("/booking/1")).status == 200
        health = site.forwarder.registry.get("only").health
        assert health.pace(health._pace_at) == pytest.approx(pace)
        assert (health._remote_load._reported_at > 0.0) is counts
