"""Tests of the budget for buffered bytes."""

from medlardoor.admission import buffers, levels


def test_lowest_rank_leaves_space_for_other_ranks():
    """Bodies of the lowest rank must not use the space of urgent requests."""
    budget = buffers.BufferBudget(1_000)
    assert budget.try_reserve_request(500, 0)
    assert not budget.try_reserve_request(1, 0)
    assert budget.try_reserve_request(300, levels.LEVELS_PER_RANK)
    assert not budget.try_reserve_request(1, levels.LEVELS_PER_RANK)


def test_requests_leave_space_for_responses():
    """Request bodies must not use the space reserved for responses.

    A response that is discarded wastes the work done for it.
    """
    budget = buffers.BufferBudget(1_000)
    assert budget.try_reserve_request(800, levels.LEVELS_PER_RANK)
    assert budget.try_reserve_response(200)
    assert not budget.try_reserve_response(1)
    budget.release(200)
    assert budget.try_reserve_response(200)


def test_requests_without_body_need_no_space():
    """An exhausted budget must not cause refusals of requests without body."""
    budget = buffers.BufferBudget(1_000)
    budget.reserve_unchecked(5_000)
    assert budget.try_reserve_request(0, 0)
