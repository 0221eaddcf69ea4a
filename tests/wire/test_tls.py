"""Tests of TLS between HTTP server and client; the test CA's certificates expire in 2123."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure
from berylspindle_wire.http_server import serve
from berylspindle_wire.tls import TlsFiles, TlsSettingsError, client_context, server_context

DATA = Path(__file__).parent / "data"


def path(name: str) -> str:
    return str(DATA / f"test_{name}.pem")


SERVER = TlsFiles(certificate=path("server"), key=path("server_key"))
MUTUAL = TlsFiles(certificate=path("server"), key=path("server_key"), ca=path("ca"))
ANONYMOUS = TlsFiles(ca=path("ca"))
OPERATOR = TlsFiles(certificate=path("client"), key=path("client_key"), ca=path("ca"))
OTHER_CA = TlsFiles(ca=path("other_ca"))


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=request.body)


async def post_twice(server_files: TlsFiles, client_files: TlsFiles) -> bytes:
    async with (
        await serve(echo, host="127.0.0.1", port=0, tls=server_context(server_files)) as server,
        HttpClient("127.0.0.1", server.port, tls=client_context(client_files)) as client,
    ):
        for _ in range(2):
            reply = await client.post("/", body=b"x" * 100_000, timeout=10)
        return reply.body


@pytest.mark.parametrize(
    ("server_files", "client_files"), [(SERVER, ANONYMOUS), (SERVER, OPERATOR), (MUTUAL, OPERATOR)]
)
async def test_requests_over_tls(server_files, client_files):
    assert await post_twice(server_files, client_files) == b"x" * 100_000


async def test_server_certificate_of_another_ca_is_rejected():
    """Guard against an operator who confirms a plan to a server with an untrusted certificate."""
    with pytest.raises(HttpFailure) as caught:
        await post_twice(SERVER, OTHER_CA)
    assert caught.value.phase is FailurePhase.NOT_SENT


async def test_client_without_a_certificate_is_rejected():
    served = []

    async def handler(request: HttpRequest) -> HttpResponse:
        served.append(request)
        return HttpResponse(status=200)

    async with (
        await serve(handler, host="127.0.0.1", port=0, tls=server_context(MUTUAL)) as server,
        HttpClient("127.0.0.1", server.port, tls=client_context(ANONYMOUS)) as client,
    ):
        with pytest.raises(HttpFailure):
            await client.get("/", timeout=10)
    assert served == []


async def test_last_response_over_tls_is_complete():
    async def handler(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=b"y" * 300_000, close=True)

    async with (
        await serve(handler, host="127.0.0.1", port=0, tls=server_context(SERVER)) as server,
        HttpClient("127.0.0.1", server.port, tls=client_context(ANONYMOUS)) as client,
    ):
        replies = await asyncio.gather(*(client.get("/", timeout=10) for _ in range(4)))
    assert {len(reply.body) for reply in replies} == {300_000}


async def test_unfinished_tls_handshake_is_closed(until):
    """Guard against connections without a TLS handshake that accumulate and lock out operators."""
    limits = HttpLimits(read_timeout=0.2)
    tls = server_context(SERVER)
    async with await serve(echo, host="127.0.0.1", port=0, tls=tls, limits=limits) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        assert await asyncio.wait_for(reader.read(), 5) == b""
        writer.close()


def test_invalid_tls_files_raise_settings_errors():
    with pytest.raises(TlsSettingsError, match="needs a certificate"):
        server_context(ANONYMOUS)
    with pytest.raises(TlsSettingsError, match="needs the CA"):
        client_context(SERVER)
    for files in (
        TlsFiles(certificate=path("server"), key=path("client_key")),
        TlsFiles(certificate=path("missing")),
        TlsFiles(certificate=path("server"), key=path("server_key"), ca=path("server_key")),
    ):
        with pytest.raises(TlsSettingsError):
            server_context(files)
