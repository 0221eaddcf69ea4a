"""The commands `search`, `execute` and `outcome`, which use the callers' edge."""

from __future__ import annotations

import json
import sys
import uuid
from pathlib import Path
from typing import Annotated, Any, Final

from cyclopts import Parameter
from rich.console import Group as Rows
from rich.table import Table
from rich.text import Text

from berylspindle_cli.exit_codes import ExitCode
from berylspindle_cli.output import make_table, print_answer, print_failure
from berylspindle_cli.settings import (
    CallerSettings,
    OutputFlag,
    ToolError,
    caller_client,
    read_file,
)
from berylspindle_model.messages import ExecuteAnswer, SearchAnswer

_DEFAULT: Final = CallerSettings()


async def search(
    service: str,
    query: str,
    /,
    *,
    limit: Annotated[int, Parameter(help="Hits per page, 1 to 100.")] = 10,
    page: Annotated[str | None, Parameter(help="Page token from an earlier answer.")] = None,
    output: OutputFlag = "table",
    settings: CallerSettings = _DEFAULT,
) -> ExitCode:
    """Search a service; exit 7 if the answer is partial."""
    async with caller_client(settings) as client:
        answer = await client.search(
            service, query, limit=limit, page=page, deadline_ms=settings.deadline_ms
        )
    if not isinstance(answer, SearchAnswer):
        return print_failure(answer, output)
    print_answer(answer, output, lambda: _hits_table(answer))
    is_complete = not answer.coverage.missing and not answer.coverage.partial
    return ExitCode.OK if is_complete else ExitCode.INCOMPLETE


async def execute(
    service: str,
    shard: str,
    payload: str,
    /,
    *,
    key: Annotated[
        str | None, Parameter(help="Idempotency key; if not given, one is made and printed.")
    ] = None,
    output: OutputFlag = "table",
    settings: CallerSettings = _DEFAULT,
) -> ExitCode:
    """Run a request at most once; PAYLOAD is a JSON object, or @FILE to read it from a file."""
    body = _parse_payload(payload)
    idempotency_key = key or uuid.uuid4().hex
    if key is None:
        # Printed before the call: the key is needed to query the outcome if the answer is lost.
        print(f"berylspindle: idempotency key {idempotency_key}", file=sys.stderr)
    async with caller_client(settings) as client:
        answer = await client.execute(
            service, shard, idempotency_key, body, deadline_ms=settings.deadline_ms
        )
    if not isinstance(answer, ExecuteAnswer):
        return print_failure(answer, output)
    print_answer(answer, output, lambda: _outcome_table(answer))
    return ExitCode.OK


async def outcome(
    service: str,
    key: str,
    /,
    *,
    output: OutputFlag = "table",
    settings: CallerSettings = _DEFAULT,
) -> ExitCode:
    """Query the outcome of an earlier execute by its idempotency key."""
    async with caller_client(settings) as client:
        answer = await client.outcome(service, key, deadline_ms=settings.deadline_ms)
    if not isinstance(answer, ExecuteAnswer):
        return print_failure(answer, output)
    print_answer(answer, output, lambda: _outcome_table(answer))
    return ExitCode.OK


def _parse_payload(text: str) -> dict[str, Any]:
    data = read_file(Path(text[1:]), "the payload") if text.startswith("@") else text.encode()
    try:
        payload = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ToolError(ExitCode.USAGE, f"the payload is not JSON: {error}") from None
    if not isinstance(payload, dict):
        raise ToolError(ExitCode.USAGE, "the payload is not a JSON object")
    return payload


def _hits_table(answer: SearchAnswer) -> Rows:
    coverage = answer.coverage
    title = f"snapshot {answer.snapshot}, {coverage.answered} of {coverage.asked} shards"
    table = make_table(title, "id", "score", "fields")
    for hit in answer.hits:
        fields = json.dumps(hit.fields, ensure_ascii=False)
        table.add_row(Text(hit.id), f"{hit.score:.3f}", Text(fields))
    notes = [f"request {answer.request_id}"]
    if coverage.missing:
        notes.append(f"missing shards: {', '.join(coverage.missing)}")
    if coverage.partial:
        notes.append(f"partially searched shards: {', '.join(coverage.partial)}")
    if answer.next_page:
        notes.append(f"next page: --page {answer.next_page}")
    return Rows(table, *(Text(note) for note in notes))


def _outcome_table(answer: ExecuteAnswer) -> Table:
    title = "ran earlier; this is its outcome" if answer.repeated else "ran"
    table = make_table(title, "key", "server", "result", "request")
    result = json.dumps(answer.result, ensure_ascii=False)
    table.add_row(Text(answer.key), Text(answer.server), Text(result), Text(answer.request_id))
    return table
