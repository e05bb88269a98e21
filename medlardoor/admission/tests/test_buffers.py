"""Tests of the bound on bytes that are held."""

from medlardoor.admission import buffers, levels


def test_urgent_requests_find_room_that_others_leave():
    """Large requests of low importance shut out orders."""
    budget = buffers.BufferBudget(1_000)
    assert budget.try_take_request(500, 0)
    assert not budget.try_take_request(1, 0)
    assert budget.try_take_request(300, levels.LEVELS_PER_RANK)
    assert not budget.try_take_request(1, levels.LEVELS_PER_RANK)


def test_answers_find_room_that_requests_leave():
    """Work that is done is lost because its answer finds no room."""
    budget = buffers.BufferBudget(1_000)
    assert budget.try_take_request(800, levels.LEVELS_PER_RANK)
    assert budget.try_take_answer(200)
    assert not budget.try_take_answer(1)
    budget.release(200)
    assert budget.try_take_answer(200)


def test_requests_without_a_body_need_no_room():
    """Requests without a body are refused because others have large ones."""
    budget = buffers.BufferBudget(1_000)
    budget.take(5_000)
    assert budget.try_take_request(0, 0)
