"""The operators' edge over TLS, with the test certificates of the wire library."""

from __future__ import annotations

from pathlib import Path

import pytest

from berylspindle_client.addresses import Address
from berylspindle_client.operators import OperatorClient
from berylspindle_client.outcomes import Unreachable
from berylspindle_daemon.admin import AdminBackend, AdminEdge
from berylspindle_daemon.daemon import _operators_tls
from berylspindle_daemon.exit_codes import DaemonError, ExitCode
from berylspindle_daemon.options import Options, complete_options
from berylspindle_model.errors import Refusal
from berylspindle_model.events import EventFilter, EventPage
from berylspindle_model.intents import Confirmation, ConfirmRequest, Intent, Plan
from berylspindle_model.operator_protocol import StatusReport
from berylspindle_wire.http_server import serve
from berylspindle_wire.tls import TlsFiles, client_context

DATA = Path(__file__).parents[1] / "wire" / "data"


def pem(name: str) -> Path:
    return DATA / f"test_{name}.pem"


def options(**settings: Path) -> Options:
    return Options(data_centre="a", store_host="127.0.0.1", store_port=1, **settings)  # type: ignore[arg-type]


TLS_SETTINGS = {
    "admin_tls_certificate": pem("server"),
    "admin_tls_key": pem("server_key"),
    "admin_tls_ca": pem("ca"),
}


class Backend(AdminBackend):
    """Fake backend that serves only the configuration."""

    def not_ready(self) -> Refusal | None:
        return None

    async def plan(self, intent: Intent) -> Plan:
        raise NotImplementedError

    async def confirm(self, request: ConfirmRequest, operator: str) -> Confirmation:
        raise NotImplementedError

    async def status(self) -> StatusReport:
        raise NotImplementedError

    async def configuration(self) -> bytes:
        return b"{}"

    async def timeline(self, requested: EventFilter) -> EventPage:
        raise NotImplementedError

    async def metrics(self) -> bytes:
        raise NotImplementedError


@pytest.mark.parametrize("has_certificate", [True, False])
async def test_only_an_operator_with_a_certificate_is_accepted(has_certificate: bool) -> None:
    """Guard against a client without a certificate that takes a data centre out of service.

    The edge has no token; it requires a certificate signed by the operators' CA instead.
    """
    edge = AdminEdge(Backend(), token=None)
    files = TlsFiles(
        ca=str(pem("ca")),
        certificate=str(pem("client")) if has_certificate else None,
        key=str(pem("client_key")) if has_certificate else None,
    )
    tls = _operators_tls(options(**TLS_SETTINGS))
    async with await serve(edge.handle, host="127.0.0.1", port=0, tls=tls) as server:
        address = Address(host="127.0.0.1", port=server.port)
        async with OperatorClient([address], tls=client_context(files)) as client:
            result = await client.configuration()
    assert (result == b"{}") is has_certificate
    assert has_certificate or isinstance(result, Unreachable) or not isinstance(result, bytes)


def test_an_edge_that_requires_certificates_needs_no_token() -> None:
    assert complete_options(options(**TLS_SETTINGS), {}).open_edges == ("peers' edge",)
    assert complete_options(options(), {}).open_edges == ("peers' edge", "operators' edge")


def test_a_ca_without_a_certificate_is_a_usage_error() -> None:
    with pytest.raises(DaemonError) as caught:
        complete_options(options(admin_tls_ca=pem("ca")), {})
    assert caught.value.code is ExitCode.USAGE


def test_an_unreadable_certificate_is_a_daemon_error() -> None:
    with pytest.raises(DaemonError) as caught:
        _operators_tls(options(admin_tls_certificate=pem("missing")))
    assert caught.value.code is ExitCode.SECRET_UNREADABLE
