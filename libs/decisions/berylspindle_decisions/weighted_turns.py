"""Which service of a weighted route a request goes to.

Pattern of load: a route whose requests are divided between services by weight, on VMs that see some
ten of its requests a second each. Drawn at random, the share of a service with a tenth of the
weight is off by half of it after some hundred requests; in turns it is off by one request.

Terms:
  credit   what a service has earned of requests and not got, in parts of one request

Flow: each request gives every service its weight and goes to the one with the most credit, which
pays the sum (smooth weighted round robin). A random start keeps VMs from beginning all alike.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from berylspindle_model.routing import WeightedService


class WeightedTurns:
    """The turns of one route; `u` returns random numbers in [0, 1)."""

    def __init__(self, targets: Sequence[WeightedService], u: Callable[[], float]) -> None:
        self._weights = {target.service: target.weight for target in targets}
        self._sum = sum(self._weights.values())
        self._credit = {name: u() * self._sum for name in self._weights}

    def next(self) -> str:
        """Return the service of the next request."""
        for name, weight in self._weights.items():
            self._credit[name] += weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._sum
        return chosen
