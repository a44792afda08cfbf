"""Weighted choice among the services of a route."""

from collections.abc import Sequence
import random

from slatechute.gateway import routing

__all__ = ["Splitter"]


# Steps after which weights in percent have come round at least once.
_MAX_SKIPPED = 100


class Splitter:
    """Smooth weighted round robin for each route.

    A random choice would need several hundred requests to come as close to the
    weights as this does with a few. The start is random, so that the entries
    of a fleet do not all begin with the heaviest part.
    """

    def __init__(self, generator: random.Random):
        self._random = generator
        self._credits_by_route: dict[
            tuple[str, str, tuple[routing.ServicePart, ...]], list[float]
        ] = {}

    def choose(self, route: routing.Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.host, route.prefix, route.parts)
        credits = self._credits_by_route.get(key)
        if credits is None:
            credits = [0.0] * len(route.parts)
            self._credits_by_route[key] = credits
            for _ in range(self._random.randrange(_MAX_SKIPPED)):
                _advance(route.parts, credits)
        return route.parts[_advance(route.parts, credits)].service

    def retain_routes(self, table: routing.RoutingTable) -> None:
        """Forget routes that are not in the table."""
        kept = {(r.host, r.prefix, r.parts) for r in table.routes()}
        for key in self._credits_by_route.keys() - kept:
            del self._credits_by_route[key]


def _advance(parts: Sequence[routing.ServicePart], credits: list[float]) -> int:
    """Return the index of the next part."""
    for index, part in enumerate(parts):
        credits[index] += part.weight
    chosen = max(range(len(credits)), key=credits.__getitem__)
    credits[chosen] -= sum(part.weight for part in parts)
    return chosen
