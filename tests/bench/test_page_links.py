"""Tests of the check for references from pages to missing files."""

from __future__ import annotations

from pathlib import Path

from berylspindle_bench.page_links import missing_references


def test_references_to_missing_files_are_reported(tmp_path: Path) -> None:
    """Guard against references to pages that exist in one worktree but were never committed."""
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
