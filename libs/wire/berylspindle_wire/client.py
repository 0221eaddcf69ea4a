"""A small HTTP client over the connection pool, for the platform, the operators' tool and tests.

Flow: each method builds an `HttpRequest` and sends it on a pooled connection; failures raise
HttpFailure. Nothing is retried, since only the caller knows which requests may be repeated.
"""

from __future__ import annotations

import ssl
from collections.abc import Mapping
from types import TracebackType
from typing import Final

from berylspindle_wire.http import HttpLimits, HttpRequest, HttpResponse
from berylspindle_wire.http_pool import ConnectionPool

_DEFAULT_TIMEOUT_S: Final = 5.0
_IDLE_PROBE_AFTER_S: Final = 3600.0


class HttpClient:
    """Send requests to one host and port on at most `limit` connections.

    Requires a running event loop when created. Times are in seconds.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        limit: int = 8,
        connect_timeout: float = 1.0,
        limits: HttpLimits = HttpLimits(),  # noqa: B008
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._pool = ConnectionPool(
            host,
            port,
            limit=limit,
            spare=0,
            connect_timeout=connect_timeout,
            idle_probe_after=_IDLE_PROBE_AFTER_S,
            limits=limits,
            tls=tls,
        )

    async def request(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout: float = _DEFAULT_TIMEOUT_S,
    ) -> HttpResponse:
        """Send one request and return the response of any status; raise HttpFailure."""
        request = HttpRequest(
            method=method,
            path=path,
            query=dict(query or {}),
            headers=dict(headers or {}),
            body=body,
        )
        return await self._pool.request(request, timeout=timeout)

    async def get(
        self,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float = _DEFAULT_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a GET request; see `request`."""
        return await self.request("GET", path, query=query, headers=headers, timeout=timeout)

    async def post(
        self,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout: float = _DEFAULT_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a POST request; see `request`."""
        return await self.request(
            "POST", path, query=query, headers=headers, body=body, timeout=timeout
        )

    async def put(
        self,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout: float = _DEFAULT_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a PUT request; see `request`."""
        return await self.request(
            "PUT", path, query=query, headers=headers, body=body, timeout=timeout
        )

    async def delete(
        self,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float = _DEFAULT_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a DELETE request; see `request`."""
        return await self.request("DELETE", path, query=query, headers=headers, timeout=timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def __aenter__(self) -> HttpClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()
