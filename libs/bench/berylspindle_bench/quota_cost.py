"""Benchmark the cost of quota decisions: time per decision, and memory per organisation.

Load: each VM decides on the quota of every request, for 82 or 10,000 organisations. Key and quota
decisions together may take 20 us per request, and memory 1 KB per organisation and VM.

Flow: for each number of organisations all pools and owners are created and used once, as on a VM
that serves and owns all of them; then random organisations are decided on. Memory is what is
allocated after the creation and the first use, with the grant of every pool held.

Run `python -m berylspindle_bench.quota_cost`.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Final, TypeVar

import attrs

from berylspindle_decisions.quota_limits import QuotaBounds, QuotaLimit, quota_limit
from berylspindle_decisions.quota_owner import QuotaOwner
from berylspindle_decisions.token_pool import TokenPool
from berylspindle_model.quota_messages import QuotaAsk

T = TypeVar("T")

ORGANISATIONS: Final = (82, 10_000)
DECISIONS: Final = 20_000
# Borrowers of an owner, and VMs below a lender.
LENDERS: Final = 3
VMS: Final = 26
STEP_S: Final = 0.01


@attrs.frozen(kw_only=True)
class QuotaCost:
    """Microseconds per decision and bytes per organisation, for a number of organisations."""

    organisations: int
    take_us: float
    next_ask_us: float
    on_grant_us: float
    lender_lend_us: float
    owner_lend_us: float
    vm_bytes: float
    lender_bytes: float
    owner_bytes: float


def measure(organisations: int) -> QuotaCost:
    """Return the costs for a number of organisations."""
    limit = quota_limit(30.0, 30.0, QuotaBounds())
    assert limit is not None
    pools, vm_bytes = _allocated(lambda: [_vm_pool(n, limit) for n in range(organisations)])
    lenders, lender_bytes = _allocated(lambda: [_lender(n, limit) for n in range(organisations)])
    owners, owner_bytes = _allocated(lambda: [_owner(n, limit) for n in range(organisations)])
    chosen = random.Random(1)
    spent = dict.fromkeys(("take", "next_ask", "on_grant", "lender", "owner"), 0.0)
    asked = 0
    for step in range(DECISIONS):
        now = 10.0 + step * STEP_S
        number = chosen.randrange(organisations)
        pool = pools[number]
        start = time.perf_counter()
        pool.on_request(now)
        is_admitted = pool.take(now)
        spent["take"] += time.perf_counter() - start
        if is_admitted:
            continue
        start = time.perf_counter()
        ask = pool.next_ask(now, 1)
        spent["next_ask"] += time.perf_counter() - start
        if ask is None:
            continue
        asked += 1
        start = time.perf_counter()
        lenders[number].lend(now, ask)
        spent["lender"] += time.perf_counter() - start
        start = time.perf_counter()
        grant = owners[number].lend(now, ask)
        spent["owner"] += time.perf_counter() - start
        assert grant is not None
        start = time.perf_counter()
        pool.on_grant(now, ask.sequence, grant)
        spent["on_grant"] += time.perf_counter() - start
    microseconds = {name: total * 1e6 / max(1, asked) for name, total in spent.items()}
    return QuotaCost(
        organisations=organisations,
        take_us=spent["take"] * 1e6 / DECISIONS,
        next_ask_us=microseconds["next_ask"],
        on_grant_us=microseconds["on_grant"],
        lender_lend_us=microseconds["lender"],
        owner_lend_us=microseconds["owner"],
        vm_bytes=vm_bytes / organisations,
        lender_bytes=lender_bytes / organisations,
        owner_bytes=owner_bytes / organisations,
    )


def main() -> None:
    """Print the costs for all numbers of organisations."""
    for organisations in ORGANISATIONS:
        cost = measure(organisations)
        for name, value in attrs.asdict(cost).items():
            print(f"{name:16} {value:10.1f}")
        print(
            f"lender and owner together: {(cost.lender_bytes + cost.owner_bytes) / VMS:.0f} bytes"
            f" per organisation and VM of {VMS} VMs, beside the VM's own {cost.vm_bytes:.0f}"
        )


def _allocated(create: Callable[[], T]) -> tuple[T, int]:
    gc.collect()
    tracemalloc.start()
    created = create()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return created, size


def _ask(organisation: str, vm: str) -> QuotaAsk:
    return QuotaAsk(
        organisation=organisation,
        vm=vm,
        incarnation=1,
        sequence=1,
        received=0,
        held=0,
        standby_rate=0.0,
        standby_tokens=0,
        demand=1.0,
        waiting=1,
        wanted=2,
    )


def _vm_pool(number: int, limit: QuotaLimit) -> TokenPool:
    pool = TokenPool(f"organisation-{number}", "vm-0", 1, limit)
    pool.on_request(0.0)
    ask = pool.next_ask(0.0, 1)
    grant = QuotaOwner(limit, 0.0, is_fresh=False).lend(0.0, _ask("", "vm-0"))
    assert ask is not None
    assert grant is not None
    pool.on_grant(0.0, ask.sequence, grant)
    return pool


def _lender(number: int, limit: QuotaLimit) -> TokenPool:
    pool = _vm_pool(number, limit)
    for vm in range(VMS):
        pool.lend(0.0, _ask("", f"vm-{vm}"))
    return pool


def _owner(number: int, limit: QuotaLimit) -> QuotaOwner:
    owner = QuotaOwner(limit, 0.0, is_fresh=False)
    for lender in range(LENDERS):
        owner.lend(0.0, _ask(f"organisation-{number}", f"vm-{lender}"))
    return owner


if __name__ == "__main__":
    main()
