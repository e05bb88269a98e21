"""Tests of the records of idempotency keys."""

import pytest

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys, records, state, usage

ANSWERED = errors.Outcome.ANSWERED
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
ANSWER = state.Answer(201, ((b"location", b"/orders/7"),), b"created")


class Owner:
    """A ledger with its issuer and small limits."""

    def __init__(self, process_id="p1", **limits):
        settings = settings_module.LedgerSettings(keep_s=60.0, **limits)
        self.issuer = keys.KeyIssuer(settings, "a", process_id, "s" * 16)
        self.ledger = records.Ledger(settings, self.issuer)

    def issue(self):
        return self.issuer.issue(1, 0.0)[0]

    def begin(self, key, digest=b"d", now=0.0, **options):
        return self.ledger.begin(key, digest, now, **options)

    def run(self, outcome=ANSWERED, answer=ANSWER, now=0.0):
        key = self.issue()
        assert isinstance(self.begin(key, now=now), records.Run)
        self.ledger.complete(key, outcome, answer, now)
        return key


def _refused(decision):
    assert isinstance(decision, records.Denied)
    return decision.refusal.outcome, decision.refusal.reason


def test_resent_order_gets_the_stored_answer():
    """G5: an order runs a second time after its response was lost."""
    owner = Owner()
    key = owner.issue()
    assert isinstance(owner.begin(key), records.Run)
    assert isinstance(owner.begin(key), records.Join)
    assert owner.ledger.complete(key, ANSWERED, ANSWER, 1.0) is ANSWERED
    assert owner.begin(key) == records.Replay(ANSWER)


def test_key_is_bound_to_one_request():
    """G3: a key reused for another request returns the first response."""
    owner = Owner()
    key = owner.run()
    mismatch = errors.Reason.KEY_MISMATCH
    assert _refused(owner.begin(key, b"x")) == (ANSWERED, mismatch)
    key = owner.run(NOT_RUN, None)
    assert _refused(owner.begin(key, b"x")) == (NOT_RUN, mismatch)
    key = owner.issue()
    owner.begin(key)
    assert _refused(owner.begin(key, b"x")) == (UNKNOWN, mismatch)


def test_keys_of_ended_owners_never_run():
    """G5: a restarted node runs an order that the ended process has run."""
    former = Owner("p0")
    key = former.issue()
    expected = (UNKNOWN, errors.Reason.KEY_OWNER_LOST)
    assert _refused(Owner("p1").begin(key)) == expected


def test_sequence_that_was_not_issued_does_not_run():
    """A key forged with a leaked secret creates a record before its issue."""
    ahead, owner = Owner(), Owner()
    key = ahead.issue()
    expected = (NOT_RUN, errors.Reason.KEY_INVALID)
    assert _refused(owner.begin(key)) == expected


def test_unknown_order_is_never_run_again():
    """G5: an order is dispatched again after its connection broke."""
    owner = Owner()
    key = owner.run(UNKNOWN, None)
    expected = (UNKNOWN, errors.Reason.UPSTREAM_FAILED)
    assert _refused(owner.begin(key)) == expected
    assert owner.ledger.complete(key, ANSWERED, ANSWER, 1.0) is ANSWERED
    assert owner.begin(key) == records.Replay(ANSWER)


def test_doubt_about_an_earlier_run_stays():
    """G4: not-run is reported although an earlier run may have happened."""
    owner = Owner()
    key = owner.issue()
    owner.begin(key, idempotent=True)
    owner.ledger.complete(key, UNKNOWN, None, 0.0)
    assert isinstance(owner.begin(key), records.Run)
    assert owner.ledger.complete(key, NOT_RUN, None, 0.0) is UNKNOWN
    assert owner.ledger.complete(key, NOT_RUN, None, 0.0) is UNKNOWN


def test_resends_spend_the_budget_of_the_key():
    """G1: endless resends cause endless runs."""
    owner = Owner()
    key = owner.issue()
    runs = 0
    for _ in range(10):
        if isinstance(owner.begin(key, retry_budget=2), records.Run):
            runs += 1
            owner.ledger.complete(key, NOT_RUN, None, 0.0)
            key = owner.ledger.successor_of(key) or key
    assert runs == 3
    expected = (NOT_RUN, errors.Reason.BUDGET_EXHAUSTED)
    assert _refused(owner.begin(key)) == expected
    assert owner.ledger.budget_of(key).remaining == 0


def test_late_attempt_does_not_run_after_a_not_run_answer():
    """G4: a delayed attempt runs after its resend was reported as not run."""
    owner = Owner()
    key = owner.run(NOT_RUN, None)
    successor = owner.ledger.successor_of(key)
    retired = (NOT_RUN, errors.Reason.KEY_RETIRED)
    for _ in range(3):
        assert _refused(owner.begin(key)) == retired
        assert owner.begin(key).refusal.next_key == successor
    assert isinstance(owner.begin(successor), records.Run)
    assert owner.begin(key) == records.Join(successor)
    owner.ledger.complete(successor, ANSWERED, ANSWER, 1.0)
    assert owner.begin(key) == records.Replay(ANSWER)


def test_retired_key_follows_the_doubt_about_its_successor():
    """G4: a retired key reports not-run although its successor may have run."""
    owner = Owner()
    key = owner.run(NOT_RUN, None)
    successor = owner.ledger.successor_of(key)
    owner.begin(successor)
    owner.ledger.complete(successor, UNKNOWN, None, 0.0)
    assert _refused(owner.begin(key))[0] is UNKNOWN


def test_successor_is_bound_to_the_request():
    """G1: another request uses the key and budget of a refused one."""
    owner = Owner()
    successor = owner.ledger.successor_of(owner.run(NOT_RUN, None))
    mismatch = (NOT_RUN, errors.Reason.KEY_MISMATCH)
    assert _refused(owner.begin(successor, b"x")) == mismatch
    assert isinstance(owner.begin(successor), records.Run)


def test_refused_requests_cost_no_budget_and_bounded_memory():
    """Refusals under overload spend the retry budget or fill the ledger."""
    owner = Owner(max_records=4)
    key = owner.issue()
    for _ in range(10):
        assert isinstance(owner.begin(key), records.Run)
        outcome = owner.ledger.complete(key, NOT_RUN, None, 0.0, False)
        assert outcome is NOT_RUN
        key = owner.ledger.successor_of(key)
    assert owner.ledger.record_count <= 4
    owner.ledger.expire(100.0)
    owner.ledger.expire(200.0)
    assert owner.ledger.record_count == owner.ledger.used_bytes == 0


def test_refusal_does_not_forget_a_dispatched_run():
    """G1: runs that alternate with refusals exceed the retry budget."""
    owner = Owner()
    key = owner.issue()
    runs = 0
    for i in range(20):
        if isinstance(owner.begin(key), records.Run):
            runs += i % 2 == 0
            owner.ledger.complete(key, NOT_RUN, None, 0.0, i % 2 == 0)
            key = owner.ledger.successor_of(key) or key
    assert runs == 1 + records.DEFAULT_RETRY_BUDGET


def test_evicted_keys_stay_used():
    """G5: an order runs again after its record was evicted."""
    owner = Owner(max_records=4)
    used = [owner.run() for _ in range(20)]
    assert owner.ledger.record_count == 4
    expected = (UNKNOWN, errors.Reason.KEY_EXPIRED)
    assert all(_refused(owner.begin(key)) == expected for key in used[:16])


@pytest.mark.parametrize("outcome", [UNKNOWN, None])
def test_records_in_doubt_are_not_evicted(outcome):
    """Eviction of a record in doubt lets a resent order run a second time."""
    owner = Owner(max_records=2)
    in_doubt = [owner.issue() for _ in range(2)]
    for key in in_doubt:
        owner.begin(key)
        if outcome:
            owner.ledger.complete(key, outcome, None, 0.0)
    full = (NOT_RUN, errors.Reason.OVERLOAD)
    assert _refused(owner.begin(owner.issue())) == full
    assert not any(isinstance(owner.begin(k), records.Run) for k in in_doubt)
    owner.ledger.expire(1_000.0)
    owner.ledger.expire(2_000.0)
    assert owner.ledger.record_count == (0 if outcome else 2)


def test_answers_stay_within_the_bound_of_bytes():
    """Stored responses exhaust the memory of the node."""
    size = state.RECORD_BYTES + ANSWER.size_bytes
    owner = Owner(max_bytes=size * 3, max_answer_bytes=100)
    used = [owner.run() for _ in range(5)]
    assert owner.ledger.used_bytes <= size * 3
    assert owner.begin(used[-1]) == records.Replay(ANSWER)
    large = state.Answer(200, (), b"x" * 101)
    key = owner.run(answer=large)
    expected = (ANSWERED, errors.Reason.KEY_EXPIRED)
    assert _refused(owner.begin(key)) == expected


def test_expiry_frees_records_and_bitmap(monkeypatch):
    """The memory of a node that runs for weeks grows without bound."""
    monkeypatch.setattr(usage, "KEYS_PER_CHUNK", 8)
    owner = Owner()
    key = [owner.run() for _ in range(100)][0]
    owner.ledger.expire(61.0)
    owner.ledger.expire(200.0)
    assert owner.ledger.record_count == owner.ledger.used_bytes == 0
    assert len(owner.ledger._used._chunks) <= 1
    expected = (UNKNOWN, errors.Reason.KEY_EXPIRED)
    assert _refused(owner.begin(key, now=200.0)) == expected
