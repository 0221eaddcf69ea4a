"""Simulate bursts of forwarded searches with and without admission control and limited hedging.

Terms:
  knee     the highest load at which requests earn nearly all the credit that they are worth; for
           credit see `forward_callers`
  goodput  credit earned per second, relative to that at the knee

Flow: `forward_rows` simulates each pattern with each variant on the same seeds and yields one row
with the means over the seeds, which are listed in docs/LOAD.md.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, Final

import attrs

from berylspindle_bench.forward_callers import (
    KINDS,
    CallerRequest,
    Pattern,
    credit_share,
    late_share,
    unserved_share,
)
from berylspindle_bench.forward_model import Variant, run_pattern
from berylspindle_decisions.forward_policy import ForwardPolicy

SEEDS: Final = (1, 2, 3)
QUICK_SEEDS: Final = (1,)
BURST_START_S: Final = 3.0
BURST_S: Final = 6.0

VARIANTS: Final = (
    Variant(name="no admission", policy=ForwardPolicy(refuses=False, hedge_idle_only=False)),
    Variant(name="no admission, hedges to free slots", policy=ForwardPolicy(refuses=False)),
    Variant(name="as it is"),
)


def burst(factor: float, **changes: Any) -> Pattern:
    """Return a pattern with a six-second burst between spans at the base rate."""
    load = ((0.0, 1.0), (BURST_START_S, factor), (BURST_START_S + BURST_S, 1.0))
    return Pattern(
        name=f"burst of {factor:g}" + (", a third slow" if changes else ""),
        load=load,
        seconds=BURST_START_S + BURST_S + 2.0,
        **changes,
    )


PATTERNS: Final = (
    burst(2.0),
    burst(3.0),
    burst(4.0),
    burst(6.0),
    burst(2.5, slow_share=0.33, slow_factor=3.0, slow_from=BURST_START_S),
)


@attrs.frozen(kw_only=True)
class ForwardRow:
    """Results of the requests in the burst over all seeds, as shares.

    `credit_after` is the credit of the requests that arrive at least 0.5 s after the burst.
    """

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
    """Simulate all patterns with all variants and yield the results."""
    for pattern in patterns:
        for variant in variants:
            requests = [
                request for seed in seeds for request in run_pattern(pattern, variant, seed)
            ]
            yield _row(pattern, variant, requests)


def _row(pattern: Pattern, variant: Variant, requests: Sequence[CallerRequest]) -> ForwardRow:
    end = BURST_START_S + BURST_S
    during = [request for request in requests if BURST_START_S <= request.arrived_at < end]
    # The backlog of the burst is expected to be served within half a second after its end.
    after = [request for request in requests if request.arrived_at >= end + 0.5]
    urgent, less_urgent = (
        [request for request in during if request.kind is kind] for kind in KINDS
    )
    return ForwardRow(
        pattern=pattern.name,
        variant=variant.name,
        credit=round(credit_share(during), 3),
        urgent_credit=round(credit_share(urgent), 3),
        less_urgent_credit=round(credit_share(less_urgent), 3),
        late=round(late_share(during), 3),
        refused=round(unserved_share(during), 3),
        credit_after=round(credit_share(after), 3),
    )
