"""Weighted distribution of requests to the services of a route."""

from collections.abc import Sequence
import copy
import random

from slatechute.gateway import routing

__all__ = ["Splitter"]


# Number of steps in which weights in percent complete at least one cycle.
_MAX_SKIPPED_STEPS = 100


class Splitter:
    """Smooth weighted round robin for each route.

    A random choice needs several hundred requests to approximate the weights as
    closely as this does with a few. Each route starts at a random step of the
    cycle, so that the entries of a fleet do not all start with the part of the
    highest weight.

    Args:
        generator: Random source of the first step.
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
        key = _key(route)
        credits = self._credits_by_route.get(key)
        if credits is None:
            credits = _initial_credits(route.parts, self._random)
            self._credits_by_route[key] = credits
        return route.parts[_advance(route.parts, credits)].service

    def peek(self, route: routing.Route) -> str:
        """Return what the next call of `choose` returns, without a step."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._credits_by_route.get(_key(route))
        if credits is None:
            credits = _initial_credits(route.parts, copy.copy(self._random))
        return route.parts[_advance(route.parts, list(credits))].service

    def retain_routes(self, table: routing.RoutingTable) -> None:
        """Drop the state of routes that are not in the table."""
        kept = {_key(route) for route in table.routes()}
        for key in self._credits_by_route.keys() - kept:
            del self._credits_by_route[key]


def _key(
    route: routing.Route,
) -> tuple[str, str, tuple[routing.ServicePart, ...]]:
    return route.host, route.prefix, route.parts


def _initial_credits(
    parts: Sequence[routing.ServicePart], generator: random.Random
) -> list[float]:
    """Return the credits at a random step of the cycle."""
    credits = [0.0] * len(parts)
    for _ in range(generator.randrange(_MAX_SKIPPED_STEPS)):
        _advance(parts, credits)
    return credits


def _advance(parts: Sequence[routing.ServicePart], credits: list[float]) -> int:
    """Return the index of the next part and update the credits."""
    for index, part in enumerate(parts):
        credits[index] += part.weight
    chosen = max(range(len(credits)), key=credits.__getitem__)
    credits[chosen] -= sum(part.weight for part in parts)
    return chosen
