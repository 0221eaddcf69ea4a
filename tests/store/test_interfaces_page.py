"""Check the examples of docs/INTERFACES.md against the code."""

from __future__ import annotations

import importlib
import json
import re
from itertools import zip_longest
from pathlib import Path
from typing import Any

import pytest

from berylspindle_model import codec
from berylspindle_model.errors import ANSWERS

PAGE = Path(__file__).parents[2] / "docs" / "INTERFACES.md"
TYPED = re.compile(r"<!-- type: (\S+)\.(\w+) -->\n```json\n(.*?)```", re.DOTALL)
EXCHANGE = re.compile(r"content-length: (\d+)\n(.*?)(?=\n\nHTTP/1\.1 |```)", re.DOTALL)

EXAMPLES = TYPED.findall(PAGE.read_text())


@pytest.mark.parametrize(
    ("module", "name", "text"),
    EXAMPLES,
    ids=[f"{name}-{n}" for n, (_, name, _) in enumerate(EXAMPLES)],
)
def test_an_example_decodes_and_has_no_unknown_fields(module: str, name: str, text: str) -> None:
    kind = getattr(importlib.import_module(module), name)
    message = codec.from_json(text.encode(), kind)
    whole = json.loads(codec.to_json(message))
    assert whole == _with_defaults(json.loads(text), whole)


def _with_defaults(shown: Any, whole: Any) -> Any:
    """Return the shown document, completed at every depth by the defaults of omitted fields."""
    if isinstance(shown, dict) and isinstance(whole, dict):
        left_out = {key: value for key, value in whole.items() if key not in shown}
        return left_out | {k: _with_defaults(v, whole.get(k)) for k, v in shown.items()}
    if isinstance(shown, list) and isinstance(whole, list):
        return [_with_defaults(s, w) for s, w in zip_longest(shown, whole)]
    return shown


def test_the_page_lists_every_error_kind_with_its_answer() -> None:
    rows = re.findall(
        r"^\| `(\w+)` \| (\d{3}) \| (\w+) \| (.*?) \| (\S+) \|$", PAGE.read_text(), re.M
    )
    shown = {kind: (int(status), run, text, retry) for kind, status, run, text, retry in rows}
    assert shown == {
        kind.value: (
            answer.status,
            answer.run.value,
            answer.text,
            "-" if answer.retry_after_ms is None else str(answer.retry_after_ms),
        )
        for kind, answer in ANSWERS.items()
    }


def test_the_page_has_typed_examples_of_both_edges() -> None:
    modules = {module for module, _, _ in EXAMPLES}
    assert {"berylspindle_model.backend_protocol", "berylspindle_store.routes"} <= modules


def test_the_content_lengths_match_the_bodies() -> None:
    found = EXCHANGE.findall(PAGE.read_text())
    assert len(found) >= 6
    for length, rest in found:
        body = rest.split("\n\n", 1)[1] if "\n\n" in rest else rest
        assert int(length) == len(body.strip()), body
