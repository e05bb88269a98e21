"""Tests of the tokens that a node holds and of its answers without a lender."""

from medlardoor.teams import settings, sharding, stock

SETTINGS = settings.LimitSettings(hold_s=0.2)


def test_held_tokens_are_used_first_and_expire():
    """A node asks for each request, or spends tokens that went to others."""
    found = stock.TokenStock(SETTINGS)
    found.add("t", 2, requested_at=10.0)
    assert found.take("t", False, 10.1).is_granted
    assert found.take("t", False, 10.2) is None
    assert found.take("u", False, 10.1) is None


def test_refusal_is_repeated_without_asking():
    """Each request of a team above its limit costs a message."""
    found = stock.TokenStock(SETTINGS)
    found.record_refusal("t", False, 0.5, 10.0)
    grant = found.take("t", False, 10.1)
    assert grant.is_limited
    assert 0.39 < grant.wait_s < 0.41
    assert found.take("t", False, 10.6) is None
    # More urgent requests may use tokens that were kept for them.
    assert found.take("t", True, 10.1) is None


def test_refusal_ends_when_the_limit_changes():
    """A team is refused for a limit that was raised."""
    found = stock.TokenStock(SETTINGS)
    found.record_refusal("t", False, 60.0, 10.0)
    assert found.take("t", False, 10.0 + stock.MAX_REFUSAL_S) is None
    found.record_refusal("t", False, 60.0, 10.0)
    found.clear()
    assert found.take("t", False, 10.1) is None


def test_extra_tokens_follow_the_rate():
    """A busy node sends a message for each request."""
    found = stock.TokenStock(SETTINGS)
    for n in range(200):
        found.take("t", False, 10.0 + n / 100)
    assert 15 <= found.wanted_extra("t") <= 20
    assert found.wanted_extra("u") == 0


def test_nodes_agree_on_lenders():
    """Nodes rank lenders in different orders, and their shares scatter."""
    names = [f"n{n}" for n in range(50)]
    ranked = sharding.rank_lenders(2, names, 4)
    assert ranked == sharding.rank_lenders(2, reversed(names), 4)
    assert len(set(ranked)) == 4
    names.remove(ranked[0])
    assert sharding.rank_lenders(2, names, 3) == ranked[1:]
