"""Generate an open-loop search load and summarise its outcomes.

Terms:
  open loop   requests start at random times that do not depend on outstanding requests; a closed
              loop would slow down with the system and so hide its latency
  sample      one request and its outcome

Flow: `run_load` derives start times, callers, services and queries from a seed, sends each request
to the daemon that `Balancer` selects, and returns all samples. `Report` aggregates them.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from multiprocessing import get_context
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

from berylspindle_client.addresses import Address
from berylspindle_client.callers import CallerClient
from berylspindle_client.outcomes import Failure, Refused
from berylspindle_model.caller_protocol import READY_PATH
from berylspindle_model.errors import RunState
from berylspindle_model.messages import SearchAnswer
from berylspindle_wire.client import HttpClient
from berylspindle_wire.http_client import HttpFailure

_MAX_LATENCY_US: Final = 120_000_000
READINESS_INTERVAL_S: Final = 0.25
# One process starts about 300 requests per second without falling behind schedule.
LOAD_PROCESSES: Final = 3
QUERY_WORDS: Final = (
    "junmai",
    "ginjo",
    "lot",
    "kamba",
    "harvest",
    "hold",
    "yamahai",
    "rope",
    "batch",
)


@attrs.frozen(kw_only=True)
class LoadPlan:
    """Parameters of a load.

    Attributes:
        rate: requests per second over all callers.
        seconds: time span in which requests start.
        services: services to search, chosen with equal probability.
        callers: names of callers, chosen with equal probability.
        deadline_ms: deadline of each request.
        queries: number of distinct numbers in the query texts.
        seed: seed of the random number generator.
    """

    rate: float
    seconds: float
    services: tuple[str, ...]
    callers: tuple[str, ...] = ("desk-1", "desk-2", "desk-3", "desk-4")
    deadline_ms: int = 1000
    queries: int = 50
    seed: int = 1


@attrs.frozen(kw_only=True)
class Sample:
    """One request and its outcome. `started` is in seconds since the start of the load."""

    started: float
    elapsed_ms: float
    service: str
    caller: str
    outcome: SearchAnswer | Failure


class Report:
    """Statistics over a sequence of samples."""

    def __init__(self, samples: Sequence[Sample]) -> None:
        self._samples: Final = tuple(samples)
        self._answers = [s for s in self._samples if isinstance(s.outcome, SearchAnswer)]
        self._histogram: Final = HdrHistogram(1, _MAX_LATENCY_US, 3)
        for sample in self._answers:
            self._histogram.record_value(max(1, int(sample.elapsed_ms * 1000)))

    @property
    def asked(self) -> int:
        """Return the number of requests."""
        return len(self._samples)

    @property
    def answered(self) -> int:
        """Return the number of requests that got a complete or partial answer."""
        return len(self._answers)

    @property
    def complete(self) -> int:
        """Return the number of answers without missing shards."""
        return sum(not s.outcome.coverage.missing for s in self._answered_samples())

    @property
    def coverage(self) -> float:
        """Return the mean share of shards that answers cover, 0 to 1; 0 without answers."""
        shares = [
            s.outcome.coverage.answered / s.outcome.coverage.asked for s in self._answered_samples()
        ]
        return sum(shares) / len(shares) if shares else 0.0

    @property
    def kinds(self) -> Counter[str]:
        """Return the number of refusals and failures of each kind."""
        return Counter(
            s.outcome.kind.value if isinstance(s.outcome, Refused) else type(s.outcome).__name__
            for s in self._samples
            if not isinstance(s.outcome, SearchAnswer)
        )

    @property
    def not_run(self) -> int:
        """Return the number of requests refused with the run state `NOT_RUN`."""
        return sum(
            isinstance(s.outcome, Refused) and s.outcome.run is RunState.NOT_RUN
            for s in self._samples
        )

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latency of answers; 0 without answers. `share` is in [0, 1]."""
        return float(self._histogram.get_value_at_percentile(share * 100)) / 1000

    def between(self, start: float, end: float) -> Report:
        """Return the report of the requests that started in [start, end), in seconds."""
        return Report([s for s in self._samples if start <= s.started < end])

    def of_caller(self, caller: str) -> Report:
        """Return the report of one caller's requests."""
        return Report([s for s in self._samples if s.caller == caller])

    def _answered_samples(self) -> list[_Answered]:
        return [_Answered(s.outcome) for s in self._answers if isinstance(s.outcome, SearchAnswer)]


@attrs.frozen
class _Answered:
    outcome: SearchAnswer


class Balancer:
    """Round-robin load balancer over the daemons whose last readiness check succeeded.

    If no daemon is ready, it uses all of them.
    """

    def __init__(self, daemons: Sequence[Address]) -> None:
        self._daemons: Final = tuple(daemons)
        self._unready: set[Address] = set()
        self._next_index = 0

    def next_daemon(self) -> Address:
        """Return the daemon for the next request."""
        usable = [one for one in self._daemons if one not in self._unready] or self._daemons
        self._next_index += 1
        return usable[self._next_index % len(usable)]

    async def run_readiness_checks(self) -> None:
        """Check the readiness of all daemons periodically until cancelled."""
        while True:
            await asyncio.gather(*(self._check(daemon) for daemon in self._daemons))
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _check(self, daemon: Address) -> None:
        async with HttpClient(daemon.host, daemon.port) as client:
            try:
                response = await client.get(READY_PATH, timeout=1.0)
                ready = response.status == 200
            except HttpFailure:
                ready = False
        (self._unready.discard if ready else self._unready.add)(daemon)


def run_load_in_processes(plan: LoadPlan, daemons: Sequence[Address]) -> list[Sample]:
    """Run the load in several processes, since one alone would fall behind schedule."""
    part = attrs.evolve(plan, rate=plan.rate / LOAD_PROCESSES)
    plans = [attrs.evolve(part, seed=plan.seed * LOAD_PROCESSES + n) for n in range(LOAD_PROCESSES)]
    with ProcessPoolExecutor(LOAD_PROCESSES, mp_context=get_context("spawn")) as pool:
        parts = list(pool.map(_run_part, plans, [tuple(daemons)] * LOAD_PROCESSES))
    return [sample for part in parts for sample in part]


def _run_part(plan: LoadPlan, daemons: Sequence[Address]) -> list[Sample]:
    return asyncio.run(run_load(plan, daemons))


async def run_load(plan: LoadPlan, daemons: Sequence[Address]) -> list[Sample]:
    """Run the load through a `Balancer` and return all samples."""
    rng = random.Random(plan.seed)
    samples: list[Sample] = []
    tasks: list[asyncio.Task[None]] = []
    async with AsyncExitStack() as stack:
        clients = {
            (address, caller): await stack.enter_async_context(
                CallerClient([address], caller=caller)
            )
            for address in daemons
            for caller in plan.callers
        }
        balancer = Balancer(daemons)
        checking = asyncio.get_running_loop().create_task(balancer.run_readiness_checks())
        stack.callback(checking.cancel)
        begin = time.monotonic()
        due = 0.0
        while (due := due + rng.expovariate(plan.rate)) < plan.seconds:
            await asyncio.sleep(max(0.0, begin + due - time.monotonic()))
            address = balancer.next_daemon()
            caller = rng.choice(plan.callers)
            service = rng.choice(plan.services)
            query = f"{rng.choice(QUERY_WORDS)} {rng.randrange(plan.queries)}"
            work = _send_request(
                clients[address, caller], plan, begin, caller, service, query, samples
            )
            tasks.append(asyncio.get_running_loop().create_task(work))
        await asyncio.gather(*tasks)
    return samples


async def _send_request(
    client: CallerClient,
    plan: LoadPlan,
    begin: float,
    caller: str,
    service: str,
    query: str,
    samples: list[Sample],
) -> None:
    started = time.monotonic()
    outcome = await client.search(service, query, deadline_ms=plan.deadline_ms)
    samples.append(
        Sample(
            started=started - begin,
            elapsed_ms=(time.monotonic() - started) * 1000,
            service=service,
            caller=caller,
            outcome=outcome,
        )
    )
