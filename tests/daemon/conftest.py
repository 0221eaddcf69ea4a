"""Fixtures of the tests with daemons and stand-ins as processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    """Yield an exit stack that closes all that the test starts."""
    async with AsyncExitStack() as stack:
        yield stack
