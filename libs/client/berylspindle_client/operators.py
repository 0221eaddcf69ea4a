"""Client of the operators' interfaces of many daemons.

Flow: any one daemon can answer plan, confirm and configuration; these calls try one daemon after
the other until one answers. Status and timeline differ by daemon; these calls are sent to all
daemons with bounded concurrency, and the result lists the addresses that did not answer.

The answer to a confirm can be lost after its write took effect. A plan contains a unique id of its
intent, and the control plane looks up confirmed ids in the configuration; therefore a confirm,
unlike other calls that may have run, is safe to send again to the next daemon without applying the
intent twice.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Generic, TypeVar

import attrs

from berylspindle_client.addresses import Address
from berylspindle_client.fleet import FleetStatus, merge_reports
from berylspindle_client.outcomes import (
    Failure,
    Refused,
    Unknown,
    Unreachable,
    read_answer,
    read_refusal,
)
from berylspindle_model import codec
from berylspindle_model import operator_protocol as protocol
from berylspindle_model.errors import ErrorKind, RunState
from berylspindle_model.events import Event, EventFilter, EventPage
from berylspindle_model.intents import Confirmation, ConfirmRequest, Intent, Plan
from berylspindle_model.operator_protocol import StatusReport
from berylspindle_telemetry.secret import Secret
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http import JSON_TYPE, HttpLimits, HttpResponse
from berylspindle_wire.http_client import FailurePhase, HttpFailure

T = TypeVar("T")

DEFAULT_TIMEOUT_S: Final = 5.0
CONNECT_TIMEOUT_S: Final = 1.0
# Reaches 940 daemons in 15 rounds without overloading an operator's machine.
MAX_CONCURRENT_CALLS: Final = 64
# The canonical text of a configuration with 5,200 backend servers has 1.4 MB.
_LIMITS: Final = HttpLimits(body_bytes=32 * 1024 * 1024)
_SINGLE_VM_KINDS: Final = frozenset(
    {ErrorKind.NOT_READY, ErrorKind.SHUTTING_DOWN, ErrorKind.STORE_AWAY}
)


@attrs.frozen(kw_only=True)
class FleetAnswers(Generic[T]):
    """The answers of all daemons; `failures` is keyed by the address of the daemon."""

    answers: tuple[T, ...]
    failures: dict[str, Failure]


@attrs.frozen(kw_only=True)
class FleetTimeline:
    """The merged timeline; `events` are in causal order.

    `unreachable` lists the addresses that did not answer; `dropped` maps VMs whose buffer has
    overflowed to the number of events lost.
    """

    events: tuple[Event, ...]
    vms: tuple[str, ...]
    unreachable: tuple[str, ...] = ()
    dropped: dict[str, int] = attrs.field(factory=dict)


class OperatorClient:
    """Client of the operators' interfaces; create it in a running event loop."""

    def __init__(
        self,
        daemons: Sequence[Address],
        *,
        token: Secret | None = None,
        operator: str = "",
        timeout: float = DEFAULT_TIMEOUT_S,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a client of the given daemons; `timeout` limits each call, in seconds."""
        if not daemons:
            raise ValueError("no daemon address given")
        self._daemons = tuple(daemons)
        self._token = token
        self._operator = operator
        self._timeout = timeout
        self._tls = tls
        self._stack = AsyncExitStack()
        self._clients: dict[Address, HttpClient] = {}

    async def status(self) -> FleetStatus | Failure:
        """Return the merged status, or a failure if no daemon answered."""
        responses = await self._call_all(protocol.STATUS_PATH, {}, StatusReport)
        failure = _overall_failure(responses)
        if failure is not None:
            return failure
        return merge_reports(responses.answers, tuple(responses.failures))

    async def timeline(self, event_filter: EventFilter) -> FleetTimeline | Failure:
        """Return the merged timeline, or a failure if no daemon answered."""
        query = protocol.timeline_query(event_filter)
        responses = await self._call_all(protocol.TIMELINE_PATH, query, EventPage)
        failure = _overall_failure(responses)
        if failure is not None:
            return failure
        return merge_pages(responses.answers, tuple(responses.failures))

    async def plan(self, intent: Intent) -> Plan | Failure:
        """Return the plan of an intent without changing anything."""
        outcome = await self._call_any("POST", protocol.PLAN_PATH, codec.to_json(intent))
        return _decode(outcome, Plan)

    async def plan_configuration(self, text: bytes) -> Plan | Failure:
        """Return the plan for replacing the whole configuration."""
        outcome = await self._call_any("PUT", protocol.CONFIGURATION_PATH, text)
        return _decode(outcome, Plan)

    async def confirm(self, plan: Plan, *, override: bool = False) -> Confirmation | Failure:
        """Apply exactly this plan, at most once.

        If the answer is lost, the call is sent to the next daemon, which does not apply the plan a
        second time.
        """
        body = codec.to_json(ConfirmRequest(plan=plan, override=override))
        outcome = await self._call_any("POST", protocol.CONFIRM_PATH, body, idempotent=True)
        return _decode(outcome, Confirmation)

    async def configuration(self) -> bytes | Failure:
        """Return the canonical text of the configuration in force at one daemon."""
        outcome = await self._call_any("GET", protocol.CONFIGURATION_PATH, b"")
        return outcome.body if isinstance(outcome, HttpResponse) else outcome

    async def close(self) -> None:
        """Close all connections."""
        await self._stack.aclose()

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def _call_any(
        self, method: str, path: str, body: bytes, *, idempotent: bool = False
    ) -> HttpResponse | Failure:
        """Try one daemon after the other; return the 200 response or the most significant failure.

        The next daemon is tried after a failure specific to one VM and, if the call is idempotent,
        after a failure that leaves open whether the call ran.
        """
        failure_to_report: Failure = Unreachable(tuple(map(str, self._daemons)))
        for daemon in self._daemons:
            response = await self._call_one(daemon, method, path, {}, body)
            if isinstance(response, HttpResponse) and response.status == 200:
                return response
            failure = (
                read_refusal(response, str(daemon))
                if isinstance(response, HttpResponse)
                else response
            )
            if isinstance(failure, Unreachable):
                continue
            # After an attempt that may have run, "not run" applies to the later attempt only.
            failure_to_report = failure_to_report if _may_have_run(failure_to_report) else failure
            if not _may_try_next(failure, idempotent=idempotent):
                return failure_to_report if _may_have_run(failure) else failure
        return failure_to_report

    async def _call_all(self, path: str, query: dict[str, str], kind: type[T]) -> FleetAnswers[T]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        answers: list[T] = []
        failures: dict[str, Failure] = {}

        async def call(daemon: Address) -> None:
            async with semaphore:
                outcome = await self._call_one(daemon, "GET", path, query, b"")
            answer: T | Failure = (
                read_answer(outcome, kind, str(daemon))
                if isinstance(outcome, HttpResponse)
                else outcome
            )
            if isinstance(answer, Refused | Unreachable | Unknown):
                failures[str(daemon)] = answer
            else:
                answers.append(answer)

        async with asyncio.TaskGroup() as group:
            for daemon in self._daemons:
                group.create_task(call(daemon))
        return FleetAnswers(answers=tuple(answers), failures=dict(sorted(failures.items())))

    async def _call_one(
        self, daemon: Address, method: str, path: str, query: dict[str, str], body: bytes
    ) -> HttpResponse | Unreachable | Unknown:
        client = self._client(daemon)
        try:
            return await client.request(
                method,
                path,
                query=query,
                headers=self._headers(),
                body=body,
                timeout=self._timeout,
            )
        except HttpFailure as failure:
            if failure.phase is FailurePhase.NOT_SENT:
                return Unreachable((str(daemon),), failure.detail)
            return Unknown(str(daemon), failure.detail)

    def _headers(self) -> dict[str, str]:
        headers = {"content-type": JSON_TYPE}
        if self._token is not None:
            headers[protocol.TOKEN_HEADER] = protocol.TOKEN_SCHEME + self._token.reveal()
        if self._operator:
            headers[protocol.OPERATOR_HEADER] = self._operator
        return headers

    def _client(self, daemon: Address) -> HttpClient:
        client = self._clients.get(daemon)
        if client is None:
            client = HttpClient(
                daemon.host,
                daemon.port,
                limit=1,
                connect_timeout=CONNECT_TIMEOUT_S,
                limits=_LIMITS,
                tls=self._tls,
            )
            self._stack.push_async_callback(client.close)
            self._clients[daemon] = client
        return client


def merge_pages(pages: Sequence[EventPage], unreachable: Sequence[str]) -> FleetTimeline:
    """Merge the events of all VMs in causal order."""
    events = sorted((event for page in pages for event in page.events), key=lambda e: e.order)
    return FleetTimeline(
        events=tuple(events),
        vms=tuple(sorted(page.vm for page in pages)),
        unreachable=tuple(unreachable),
        dropped={page.vm: page.dropped for page in pages if page.dropped},
    )


def _overall_failure(responses: FleetAnswers[T]) -> Failure | None:
    """Return the failure if no daemon answered, or None; a refusal takes precedence."""
    if responses.answers:
        return None
    refused = [failure for failure in responses.failures.values() if isinstance(failure, Refused)]
    return refused[0] if refused else Unreachable(tuple(responses.failures))


def _decode(outcome: HttpResponse | Failure, kind: type[T]) -> T | Failure:
    return read_answer(outcome, kind, "a daemon") if isinstance(outcome, HttpResponse) else outcome


def _may_have_run(failure: Failure) -> bool:
    if isinstance(failure, Refused):
        return failure.run is not RunState.NOT_RUN
    return isinstance(failure, Unknown)


def _may_try_next(failure: Refused | Unknown, *, idempotent: bool) -> bool:
    if _may_have_run(failure):
        return idempotent
    return isinstance(failure, Refused) and failure.kind in _SINGLE_VM_KINDS
