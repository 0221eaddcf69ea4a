"""Select the service for each request of a weighted route by smooth weighted round robin.

Load: a route whose requests are split between services by weight, on VMs that get about ten of its
requests per second each. With a random draw, a service with a tenth of the weight may get half as
many or one and a half times as many of the first hundred requests as its share; with round robin,
it gets at most one request too few or too many.

Terms:
  credit   requests that are due to a service but went to others, times the sum of weights

Flow: for each request, the credit of every service grows by its weight. The request goes to the
service with the highest credit, from which the sum of weights is subtracted. Initial credits are
random, so that VMs don't start in the same order.
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
