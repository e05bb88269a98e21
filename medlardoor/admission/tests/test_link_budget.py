"""Tests of the accounting for large frames on links."""

import pytest

from medlardoor.admission import buffers, link_budget

LARGE = link_budget.COUNTED_BYTES
LIMIT = 10 * LARGE


def _budget():
    buffer_budget = buffers.BufferBudget(LIMIT)
    return buffer_budget, link_budget.LinkBudget(buffer_budget)


@pytest.mark.parametrize(
    ("still_s", "share"),
    [(0.9, link_budget.UNSENT_SHARE), (1.0, link_budget.STALLED_SHARE)],
)
def test_slow_links_leave_room_for_others(still_s, share):
    """Frames to nodes that stand still would take the whole buffer budget."""
    buffer_budget, budget = _budget()
    held = 0
    while budget.may_send(LARGE, held, still_s):
        budget.add_unsent(LARGE)
        held += LARGE
    assert held == LIMIT * share
    assert buffer_budget.used_bytes == held
    # Small frames, and a link that has taken all so far, are not affected.
    assert budget.may_send(LARGE - 1, held, 10.0)
    assert budget.may_send(LARGE, 0, 10.0)
    budget.release_unsent(held)
    assert budget.may_send(LARGE, held, still_s)
    assert buffer_budget.used_bytes == 0


def test_received_frames_count():
    """Frames that are being received were not part of the buffer budget."""
    buffer_budget, budget = _budget()
    assert budget.try_receive_call(8 * LARGE)
    assert not budget.try_receive_call(LARGE)
    # An answer may use what requests may not: its work is already done.
    assert budget.try_receive_answer(2 * LARGE)
    assert not budget.try_receive_answer(1)
    budget.release_received(10 * LARGE)
    assert buffer_budget.used_bytes == 0
