"""Find references in the documentation to files that are not there.

Terms:
  page       a Markdown file: the README, or one below docs/
  link       the target of a Markdown link, relative to its page
  path       a file of the repository named in the text, relative to the root

Flow: `missing` reads every page and yields each reference without a file; `main` prints them and
exits with 1 if there are any.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import attrs

_LINK: Final = re.compile(r"\]\((?!\w+://)([^)#\s]+)")
_PATH: Final = re.compile(
    r"(?<![\w/.-])((?:docs|deploy|libs|platform|tests)/[\w./-]*\.(?:md|py|toml|sh|json))\b"
)


@attrs.frozen
class Reference:
    """A file that a page names, with the page and the line; the page is relative to the root."""

    page: Path
    line: int
    target: str

    def __str__(self) -> str:
        return f"{self.page}:{self.line}: no such file: {self.target}"


def missing(root: Path) -> Iterator[Reference]:
    """Yield the references of all pages below `root` to files that do not exist."""
    for page in (root / "README.md", *sorted((root / "docs").rglob("*.md"))):
        for number, line in enumerate(page.read_text().splitlines(), 1):
            targets = [(page.parent, link) for link in _LINK.findall(line)]
            targets += [(root, path) for path in _PATH.findall(line)]
            for base, target in targets:
                if not (base / target).exists():
                    yield Reference(page.relative_to(root), number, target)


def main() -> int:
    """Print what is missing below the working directory; return the exit code."""
    found = list(missing(Path.cwd()))
    for reference in found:
        print(reference)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
