"""Tests of the weighted distribution to services."""

import collections
import random

from slatechute.gateway import routing
from slatechute.gateway import splitting
from tests.gateway import builders

_PARTS = (routing.ServicePart("a", 90.0), routing.ServicePart("b", 10.0))


def _shares(splitter, route, count):
    chosen = collections.Counter(splitter.choose(route) for _ in range(count))
    return {name: number / count for name, number in chosen.items()}


def test_shares_follow_the_weights_after_few_requests():
    """A random choice deviates far from the weights in 20 requests.

    Operators send a tenth of the requests to a new version and watch it.
    """
    splitter = splitting.Splitter(random.Random(1))
    shares = _shares(splitter, builders.route(parts=_PARTS), 20)
    assert abs(shares["b"] - 0.1) <= 0.05


def test_entries_do_not_start_with_the_same_part():
    """Entries with few requests each would all use the heaviest part."""
    route = builders.route(parts=_PARTS)
    firsts = [
        splitting.Splitter(random.Random(seed)).choose(route)
        for seed in range(400)
    ]
    assert 0.02 < firsts.count("b") / len(firsts) < 0.2


def test_new_weights_discard_old_credits():
    """Credits of the old weights would delay the change of weights."""
    splitter = splitting.Splitter(random.Random(1))
    _shares(splitter, builders.route(parts=_PARTS), 7)
    parts = (routing.ServicePart("a", 0.0), routing.ServicePart("b", 1.0))
    shares = _shares(splitter, builders.route(parts=parts), 20)
    assert shares["b"] >= 0.95
