"""Select the service for each request of a weighted route by smooth weighted round robin.

Load: a route whose requests are split between services by weight, on VMs that get about ten of its
requests per second each. With a random draw, a service with a tenth of the weight is off its share
by half after some hundred requests; with round robin by one request.

Terms:
  credit   requests that a service has been due and not got, in units of the sum of weights

Flow: each request adds its weight to every service's credit and goes to the service with the most,
which pays the sum. A random initial credit keeps VMs from starting in the same order.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from berylspindle_model.routing import WeightedService


class WeightedRoundRobin:
    """Round robin over the services of one route; `rng` returns numbers in [0, 1)."""

    def __init__(self, targets: Sequence[WeightedService], rng: Callable[[], float]) -> None:
        self._weights = {target.service: target.weight for target in targets}
        self._sum = sum(self._weights.values())
        self._credit = {name: rng() * self._sum for name in self._weights}

    def next(self) -> str:
        """Return the service for the next request."""
        for name, weight in self._weights.items():
            self._credit[name] += weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._sum
        return chosen
