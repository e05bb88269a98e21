"""Tests of the bound on chains in progress."""

from medlardoor.admission import levels, waiting, windows

Decision = waiting.Decision
SLOTS = 40
CHAIN_S = 1.0


def _run(window, seconds, running, share, begin=0.0):
    """Runs chains whose calls wait for a share of the chain's duration.

    Args:
        window: The window under test.
        seconds: Number of rounds of one second.
        running: Maximum number of chains in progress.
        share: Returns the share for a number of chains in progress.
        begin: Start time, in seconds.

    Returns:
        The number of chains in progress in the last round.
    """
    in_progress = 0
    for second in range(seconds):
        started = 0
        while window.is_open and started < running:
            window.record_start()
            started += 1
        in_progress = started
        now = begin + second + CHAIN_S
        for _ in range(started):
            waited_s = share(started) * CHAIN_S
            window.record_end(CHAIN_S, waited_s, CHAIN_S, SLOTS, now)
    return in_progress


def test_no_bound_before_calls_wait():
    """Chains must not be refused while the called service has capacity."""
    window = windows.ChainWindow()
    assert _run(window, 20, 30, lambda started: 0.05) == 30
    assert window.size is None


def test_settles_at_what_the_called_service_can_run():
    """The bound must converge to the chains that the called service can run."""
    window = windows.ChainWindow()
    # The called service runs the calls of ten chains concurrently.
    kept = _run(window, 20, SLOTS, lambda started: max(0.0, 1 - 10 / started))
    assert 8 <= kept <= 13


def test_chains_far_from_their_objective_may_wait():
    """Waits that leave enough time to the objective must not set a bound."""
    window = windows.ChainWindow()
    for n in range(20):
        window.record_start()
        window.record_end(0.3, 0.08, 1.2, SLOTS, float(n))
    assert window.size is None
    for n in range(20, 40):
        window.record_start()
        window.record_end(0.3, 0.2, 1.2, SLOTS, float(n))
    assert window.size is not None


def test_keeps_one_chain_when_all_calls_wait():
    """One chain must remain, because otherwise the bound is never raised."""
    window = windows.ChainWindow()
    _run(window, 20, SLOTS, lambda started: 1.0)
    assert window.size == 1.0
    assert window.is_open


def test_bound_is_removed_after_the_overload():
    """The bound must be removed soon after capacity is available again."""
    window = windows.ChainWindow()
    _run(window, 10, SLOTS, lambda started: max(0.0, 1 - 10 / started))
    assert window.size is not None
    _run(window, 10, SLOTS, lambda started: 0.0, begin=10.0)
    assert window.size is None


def test_closed_window_leaves_slots_to_others():
    """Chains that wait for their window must not block nested calls."""
    admission_queue = waiting.AdmissionQueue(waiting.AdmissionQueueSettings())
    admission_queue.set_slots(SLOTS)
    urgent = 4 * levels.LEVELS_PER_RANK
    chains = []
    for _ in range(20):
        chains.append(waiting.Ticket(urgent, 10.0, CHAIN_S))
        admission_queue.offer(chains[-1], 0.0)
    for chain in chains:
        chain.nested_wait_s = 0.9
        admission_queue.end(chain, CHAIN_S, True)
    decisions = [
        admission_queue.offer(waiting.Ticket(urgent, 10.0, 5.0), CHAIN_S)
        for _ in range(20)
    ]
    assert decisions.count(Decision.START) < 15
    assert decisions[-1] is Decision.WAIT
    level = levels.nested_level(0)
    call = waiting.Ticket(level, 2.0, 1.5, nested=True)
    assert admission_queue.offer(call, CHAIN_S) is Decision.START
    admission_queue.tick(CHAIN_S)
    admission_queue.tick(CHAIN_S + 0.2)
    # Chains that wait for their window do not wait for slots, so the service is
    # not overloaded.
    assert admission_queue.level == 0


def test_request_that_waits_starts_when_the_window_opens():
    """A waiting chain must start when the end of others opens the window."""
    admission_queue = waiting.AdmissionQueue(waiting.AdmissionQueueSettings())
    admission_queue.set_slots(SLOTS)
    chains = [waiting.Ticket(0, 10.0, 5.0) for _ in range(4)]
    for chain in chains:
        admission_queue.offer(chain, 0.0)
    for chain in chains[:3]:
        chain.nested_wait_s = 1.0
        admission_queue.end(chain, CHAIN_S, True)
    running = []
    waiting_ticket = waiting.Ticket(0, 11.0, 5.0)
    while True:
        ticket = waiting.Ticket(0, 11.0, 5.0)
        if admission_queue.offer(ticket, CHAIN_S) is not Decision.START:
            waiting_ticket = ticket
            break
        running.append(ticket)
    assert waiting_ticket.is_waiting
    assert admission_queue.start_next(CHAIN_S) is None
    admission_queue.end(chains[3], CHAIN_S + 0.01, True)
    assert admission_queue.start_next(CHAIN_S + 0.01) is waiting_ticket
