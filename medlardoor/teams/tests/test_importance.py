"""Tests of the importance of requests from their route and their team."""

from medlardoor.teams import importance

ORDER, LOOKUP, REPORT = 0, 2, 3


def _ranked(scale, pairs):
    return sorted(pairs, key=lambda pair: -scale.importance_of(*pair))


def test_orders_stay_last_to_be_refused():
    """An urgent team's lookups displace the orders of the others."""
    scale = importance.ImportanceScale([ORDER, LOOKUP, REPORT], [0, 1])
    expected = [
        (ORDER, 0),
        (ORDER, 1),
        (LOOKUP, 0),
        (REPORT, 0),
        (LOOKUP, 1),
        (REPORT, 1),
    ]
    assert _ranked(scale, reversed(expected)) == expected
    assert scale.importance_of(ORDER, 0) == scale.max_importance == 5
    assert scale.importance_of(REPORT, 1) == 0


def test_priority_of_the_route_decides_without_teams():
    """A document without teams changes the levels of its requests."""
    scale = importance.ImportanceScale([ORDER, LOOKUP], [])
    assert scale.importance_of(ORDER, None) == 2
    assert scale.importance_of(LOOKUP, None) == 0
    assert scale.max_importance == 2
    assert importance.ImportanceScale([], []).max_importance == 0
    assert importance.ImportanceScale([], [1]).importance_of(0, 1) == 0


def test_requests_without_a_team_rank_with_the_least_urgent_one():
    """A request on a public route displaces those of callers with keys."""
    scale = importance.ImportanceScale([ORDER, LOOKUP], [0, 1, None])
    assert scale.importance_of(LOOKUP, None) == scale.importance_of(LOOKUP, 1)


def test_unlisted_priority_counts_as_the_next_less_urgent_one():
    """A route without callers of a team has no importance."""
    scale = importance.ImportanceScale([ORDER, LOOKUP], [0, 1])
    assert scale.importance_of(1, 1) == scale.importance_of(LOOKUP, 1)
    assert scale.importance_of(9, 1) == scale.importance_of(LOOKUP, 1)


def test_unlisted_priorities_count_as_the_next_less_urgent_ones():
    """A request of an earlier document raised an exception in a newer one."""
    scale = importance.ImportanceScale([ORDER, LOOKUP], [1, 3])
    for unlisted, listed in ((0, 1), (2, 3), (9, 3)):
        assert scale.importance_of(ORDER, unlisted) == scale.importance_of(
            ORDER, listed
        )
    assert scale.importance_of(9, 9) == scale.importance_of(LOOKUP, 3)
