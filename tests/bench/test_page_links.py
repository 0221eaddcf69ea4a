"""Pages name files that are there."""

from __future__ import annotations

from pathlib import Path

from berylspindle_bench.page_links import missing_references


def test_a_page_that_was_never_committed_is_found(tmp_path: Path) -> None:
    """Guards against references to pages that only one working tree ever had."""
    docs = tmp_path / "docs"
    (docs / "design").mkdir(parents=True)
    (docs / "design" / "LARGE.md").write_text("see [back](../HOME.md), docs/HOME.md\n")
    (docs / "HOME.md").write_text(
        "docs/design/LARGE.md\n[up](../README.md) [gone](design/GONE.md)\ndocs/SIZE.md.\n"
    )
    (tmp_path / "README.md").write_text("[site](https://127.0.0.1/GONE.md) docs/HOME.md\n")
    assert [str(reference) for reference in missing_references(tmp_path)] == [
        "docs/HOME.md:2: no such file: design/GONE.md",
        "docs/HOME.md:3: no such file: docs/SIZE.md",
    ]
