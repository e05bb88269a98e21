"""Tests of weighted splits."""

import collections

from medlardoor.config import routes
from medlardoor.routing import splits


def test_each_window_has_the_shares():
    """A destination gets far more than its share of a short window."""
    destinations = (
        routes.Destination("old", 90.0),
        routes.Destination("new", 10.0),
    )
    split = splits.WeightedSplit(destinations, offset=7)
    for _ in range(20):
        window = collections.Counter(split.next_service() for _ in range(10))
        assert window == {"old": 9, "new": 1}


def test_offset_moves_the_first_request():
    """All nodes send their first requests to the same destination."""
    destinations = (routes.Destination("a"), routes.Destination("b"))
    first = splits.WeightedSplit(destinations, 0).next_service()
    second = splits.WeightedSplit(destinations, 1).next_service()
    assert first != second
