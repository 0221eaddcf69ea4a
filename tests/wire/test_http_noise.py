"""Property test of the HTTP server with damaged requests."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_session import Admission, HttpSession, SessionRules

PIECES = [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"HEAD /%41?x=%42 HTTP/1.0\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n",
    b"OPTIONS * HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
    b"Content-Length: 7\r\n",
    b"\r\n",
    b"\n",
    b"\x00",
    b"\xff",
    b" ",
    b":",
    b"0\r\n\r\n",
]


class FakeTransport(asyncio.Transport):
    """Record what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:  # type: ignore[override]
        self.written += data

    def can_write_eof(self) -> bool:
        return False

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


@st.composite
def damaged_requests(draw) -> list[bytes]:
    data = bytearray(b"".join(draw(st.lists(st.sampled_from(PIECES), min_size=1, max_size=5))))
    for _ in range(draw(st.integers(0, 3))):
        place = draw(st.integers(0, max(0, len(data) - 1)))
        data[place : place + draw(st.integers(0, 2))] = draw(st.sampled_from(PIECES[7:]))
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=3)))
    return [bytes(data[a:b]) for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


async def feed(pieces: list[bytes]) -> tuple[FakeTransport, list[HttpRequest], list[object]]:
    served: list[HttpRequest] = []
    faults: list[object] = []

    async def handler(request: HttpRequest) -> HttpResponse:
        served.append(request)
        return HttpResponse(status=200, body=b"ok")

    limits = HttpLimits(header_bytes=300, body_bytes=5)
    rules = SessionRules(handler=handler, limits=limits, on_fault=faults.append)
    transport = FakeTransport()
    session = HttpSession(rules, lambda _: Admission.SERVE, lambda _: None)
    session.connection_made(transport)
    for piece in pieces:
        if piece and not transport.closed:
            session.data_received(piece)
        for _ in range(20):
            await asyncio.sleep(0)
    session.connection_lost(None)
    for _ in range(5):
        await asyncio.sleep(0)
    return transport, served, faults


@settings(derandomize=True, deadline=None, database=None, max_examples=400)
@given(damaged_requests())
def test_noise_is_answered_in_order_or_closed(pieces):
    """Guard against a damaged request that crashes its connection's task, so that no answer comes.

    Each handled request gets one answer, followed by at most one error, after which nothing is
    served. The result doesn't depend on the segmentation of the bytes, and no exception escapes.
    """
    transport, served, faults = asyncio.run(feed(pieces))
    assert faults == []
    statuses = statuses_of(transport)
    assert statuses[: len(served)] == [200] * len(served)
    assert len(statuses) <= len(served) + 1
    assert all(400 <= status < 500 for status in statuses[len(served) :])
    whole, served_whole, _ = asyncio.run(feed([b"".join(pieces)]))
    assert served_whole == served
    assert statuses_of(whole) == statuses


def statuses_of(transport: FakeTransport) -> list[int]:
    """Return the final statuses that were written, without informational 100."""
    answers = transport.written.split(b"HTTP/1.1 ")[1:]
    return [int(answer[:3]) for answer in answers if answer[:3] != b"100"]
