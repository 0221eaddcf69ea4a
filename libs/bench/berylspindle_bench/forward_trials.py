"""Trials of forwarded searches under bursts: as they are decided, and with decisions left out.

Terms:
  knee     the highest load at which nearly all that is offered earns its credit
  goodput  credit earned a second, over that of the load at the knee

Flow: `forward_rows` plays each pattern with each variant on the same seeds and returns one row a
run's mean; docs/LOAD.md keeps them.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

import attrs

from berylspindle_bench.forward_callers import (
    KINDS,
    Caller,
    Pattern,
    credit_of,
    late_of,
    unserved_of,
)
from berylspindle_bench.forward_model import Variant, run_pattern
from berylspindle_decisions.forward_policy import ForwardPolicy

SEEDS: Final = (1, 2, 3)
QUICK_SEEDS: Final = (1,)
BURST_FROM: Final = 3.0
BURST_S: Final = 6.0

VARIANTS: Final = (
    Variant(name="no admission", policy=ForwardPolicy(refuses=False, hedge_idle_only=False)),
    Variant(name="no admission, hedges to free slots", policy=ForwardPolicy(refuses=False)),
    Variant(name="as it is"),
)


def burst(factor: float, **changes: float) -> Pattern:
    """Return a pattern: usual load, a burst of six seconds, usual load again."""
    load = ((0.0, 1.0), (BURST_FROM, factor), (BURST_FROM + BURST_S, 1.0))
    return Pattern(
        name=f"burst of {factor:g}" + (", a third slow" if changes else ""),
        load=load,
        seconds=BURST_FROM + BURST_S + 2.0,
        **changes,
    )


PATTERNS: Final = (
    burst(2.0),
    burst(3.0),
    burst(4.0),
    burst(6.0),
    burst(2.5, slow_share=0.33, slow_factor=3.0, slow_from=BURST_FROM),
)


@attrs.frozen(kw_only=True)
class ForwardRow:
    """What callers got in the burst, as shares of what was asked; the mean over the seeds."""

    pattern: str
    variant: str
    credit: float
    urgent_credit: float
    less_urgent_credit: float
    late: float
    refused: float
    credit_after: float


def forward_rows(
    patterns: Sequence[Pattern] = PATTERNS,
    variants: Sequence[Variant] = VARIANTS,
    seeds: Sequence[int] = SEEDS,
) -> Iterator[ForwardRow]:
    """Play all patterns with all variants."""
    for pattern in patterns:
        for variant in variants:
            callers = [c for seed in seeds for c in run_pattern(pattern, variant, seed)]
            yield _row(pattern, variant, callers)


def _row(pattern: Pattern, variant: Variant, callers: Sequence[Caller]) -> ForwardRow:
    end = BURST_FROM + BURST_S
    during = [caller for caller in callers if BURST_FROM <= caller.born < end]
    # Half a second after the burst its queues are to be gone.
    after = [caller for caller in callers if caller.born >= end + 0.5]
    urgent, less = ([c for c in during if c.kind is kind] for kind in KINDS)
    return ForwardRow(
        pattern=pattern.name,
        variant=variant.name,
        credit=round(credit_of(during), 3),
        urgent_credit=round(credit_of(urgent), 3),
        less_urgent_credit=round(credit_of(less), 3),
        late=round(late_of(during), 3),
        refused=round(unserved_of(during), 3),
        credit_after=round(credit_of(after), 3),
    )
