"""Find references in the documentation to files that do not exist.

Terms:
  page       a Markdown file: the README, or one below docs/
  link       the target of a Markdown link, relative to its page
  path       a file of the repository named in the text, relative to the root

Flow: `missing_references` yields each reference to a file that does not exist; `main` prints them
and returns 1 if there are any.
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
    """A reference from a line of a page to a file; `page` is relative to the root."""

    page: Path
    line: int
    target: str

    def __str__(self) -> str:
        return f"{self.page}:{self.line}: no such file: {self.target}"


def missing_references(root: Path) -> Iterator[Reference]:
    """Yield the references to files that do not exist, over all pages below `root`."""
    for page in (root / "README.md", *sorted((root / "docs").rglob("*.md"))):
        for number, line in enumerate(page.read_text().splitlines(), 1):
            targets = [(page.parent, link) for link in _LINK.findall(line)]
            targets += [(root, path) for path in _PATH.findall(line)]
            for base, target in targets:
                if not (base / target).exists():
                    yield Reference(page.relative_to(root), number, target)


def main() -> int:
    """Print the dangling references below the working directory; return the exit code."""
    found = list(missing_references(Path.cwd()))
    for reference in found:
        print(reference)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
