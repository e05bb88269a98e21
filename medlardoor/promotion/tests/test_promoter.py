"""Tests of promotion, trial, rollback and history."""

import pathlib
import random

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from medlardoor import errors
from medlardoor.config import document, models, settings
from medlardoor.promotion import failures, history, promoter, update
from medlardoor.promotion.tests import fakes

TEXT = (
    pathlib.Path(document.__file__).parent / "examples/derwent/document.jsonc"
).read_text()
FAULT = fakes.StoreFault
KEY = "documents/derwent"


def _text(budget):
    """Returns the example with another retry budget of build orders."""
    return TEXT.replace('"retry_budget": 3', f'"retry_budget": {budget}')


def _run(function, *args):
    return trio.run(
        function, *args, clock=trio.testing.MockClock(autojump_threshold=0)
    )


def _promoter(store, seed=1, **limits):
    return promoter.Promoter(
        store,
        "derwent",
        settings.PromotionSettings(**limits),
        random.Random(seed),
    )


def _promote(store, budget, version, seed=1, **options):
    """Promotes one document."""
    promotion = promoter.Promotion(_text(budget), version, "ana", **options)
    return _run(_promoter(store, seed).promote, promotion)


def _stored(store):
    found = store.objects[KEY]
    return document.parse_object(KEY, found.value).unwrap()


def test_lost_answer_is_read_back_before_repeating():
    """A lost response causes a second version or a conflict with itself."""
    for fault in (FAULT.LOST_ANSWER, FAULT.DELAYED_REQUEST):
        store = fakes.FaultyStore([FAULT.NONE, fault])
        promoted = _promote(store, 3, 0).unwrap()
        assert promoted.version == store.objects[KEY].version
        assert store.calls[1:3] == [f"update {KEY}", f"read {KEY}"]
        assert store.calls.count(f"update {KEY}") == 1


def test_update_that_arrives_after_the_read_back():
    """A repeated update that follows its own late one reports a conflict."""
    store = fakes.FaultyStore([FAULT.NONE, FAULT.LATE_REQUEST])
    promoted = _promote(store, 3, 0).unwrap()
    assert promoted.version == store.objects[KEY].version
    assert store.calls.count(f"update {KEY}") == 2


def test_lost_request_is_repeated():
    """A lost request is reported as promoted."""
    store = fakes.FaultyStore([FAULT.NONE, FAULT.LOST_REQUEST])
    assert _promote(store, 3, 0).is_ok()
    assert store.calls.count(f"update {KEY}") == 2


def test_own_change_is_found_after_it_was_replaced():
    """A conflict is reported although the change was in force."""
    store = fakes.FaultyStore([FAULT.NONE, FAULT.LOST_ANSWER])
    results = []
    changed = trio.Event()
    store.on_change = changed.set

    async def first():
        promotion = promoter.Promotion(_text(3), 0, "ana")
        results.append(await _promoter(store, 1).promote(promotion))

    async def second():
        # The first operator pauses before it reads the object.
        await changed.wait()
        version = store.objects[KEY].version
        promotion = promoter.Promotion(_text(4), version, "ben")
        assert (await _promoter(store, 2).promote(promotion)).is_ok()

    async def both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            nursery.start_soon(second)

    _run(both)
    assert results[0].unwrap().replaced
    assert _stored(store).author == "ben"


def test_change_removed_from_the_list_is_unknown():
    """A change that was in force is reported as superseded.

    The list of earlier promotions is bounded and may have lost the change.
    """
    earlier = tuple(
        models.StoredPromotion(version=version, promotion_id=f"{version}")
        for version in range(119, 99, -1)
    )
    now = models.StoredDocument(enforced="", promotion_id="z", earlier=earlier)
    for expected_version, outcome in (
        (0, update._Undecided.UNKNOWN),
        (50, update._Undecided.UNKNOWN),
        (100, update.Superseded()),
    ):
        assert (
            update._find_promotion(120, now, "own", expected_version) == outcome
        )


def test_unavailable_platform_is_uncertain_only_after_a_write():
    """An outage after a write is reported as if nothing was written."""
    store = fakes.FaultyStore([FAULT.LOST_REQUEST] * 100)
    failure = _promote(store, 3, 0).unwrap_err()
    assert isinstance(failure, errors.StoreUnavailable)
    store = fakes.FaultyStore([FAULT.NONE, *[FAULT.LOST_REQUEST] * 100])
    failure = _promote(store, 3, 0).unwrap_err()
    assert isinstance(failure, failures.PromotionUncertain)


def test_conflict_lists_the_changes_of_the_other_operator():
    """A conflict does not show what another operator has changed."""
    store = fakes.FaultyStore()
    seen = _promote(store, 3, 0).unwrap().version
    _promote(store, 7, seen).unwrap()
    conflict = _promote(store, 5, seen).unwrap_err()
    assert isinstance(conflict, failures.PromotionConflict)
    assert conflict.since_seen
    (difference,) = conflict.differences
    assert difference.path == "kinds.build_order.retry_budget"
    assert (difference.old, difference.new) == ("3", "7")


def test_trial_leaves_the_enforced_document():
    """A trial promotion changes the enforced document."""
    store = fakes.FaultyStore()
    first = _promote(store, 3, 0).unwrap().version
    second = _promote(store, 5, first, trial=True).unwrap().version
    assert _stored(store).enforced == _text(3)
    assert _stored(store).trial == _text(5)
    own = _promoter(store)
    stale = _run(own.promote_trial, first, "ana").unwrap_err()
    assert [item.path for item in stale.differences] == [
        "trial.kinds.build_order.retry_budget"
    ]
    assert _run(own.promote_trial, second, "ana").is_ok()
    assert _stored(store).enforced == _text(5)
    assert _stored(store).trial is None
    entries = _run(own.read_history).unwrap()
    assert [entry.trial for entry in entries] == [False, True, False]


def test_invalid_promotion_is_not_written():
    """An invalid promotion, or a trial without a document, is stored."""
    store = fakes.FaultyStore()
    assert _promote(store, 17, 0).is_err()
    assert _promote(store, 3, 0, trial=True).is_err()
    assert _promote(store, 3, 0, note="x" * 501).is_err()
    other = promoter.Promotion(TEXT.replace('"derwent"', '"kavango"'), 0, "a")
    assert _run(_promoter(store).promote, other).is_err()
    assert store.objects == {}


def test_rollback_is_a_new_version():
    """A rollback reuses an old version number or promotes a trial text."""
    store = fakes.FaultyStore()
    first = _promote(store, 3, 0).unwrap().version
    second = _promote(store, 5, first, trial=True).unwrap().version
    third = _promote(store, 7, second).unwrap().version
    own = _promoter(store)
    rolled = _run(own.roll_back, second, third, "ana").unwrap()
    assert rolled.version > third
    assert _stored(store).enforced == _text(3)
    missing = _run(own.roll_back, 999, rolled.version, "ana").unwrap_err()
    assert isinstance(missing, failures.VersionMissing)


def test_history_keeps_the_last_versions_within_its_size():
    """The history exceeds its limits or lacks a version within them."""
    store = fakes.FaultyStore()
    version = 0
    for budget in range(25):
        options = {"note": f"note {budget}"}
        version = (
            _promote(store, budget % 9, version, **options).unwrap().version
        )
    entries = _run(_promoter(store).read_history).unwrap()
    assert [entry.note for entry in entries] == [
        f"note {budget}" for budget in range(5, 25)
    ]
    assert entries[-1].text() == _text(24 % 9)
    small = _promoter(store, history_bytes=1_000)
    promotion = promoter.Promotion(_text(1), version, "ana")
    assert _run(small.promote, promotion).is_ok()
    assert len(_run(small.read_history).unwrap()) == 1


def test_missing_record_is_added_by_the_next_promotion():
    """A rollback to a version that could not be recorded is impossible."""
    store = fakes.FaultyStore()
    first = _promote(store, 3, 0).unwrap().version
    store.faults.extend([FAULT.NONE] * 3 + [FAULT.LOST_REQUEST] * 6)
    promoted = _promote(store, 5, first).unwrap()
    assert not promoted.is_recorded
    third = _promote(store, 7, promoted.version).unwrap().version
    versions = [
        entry.version for entry in _run(_promoter(store).read_history).unwrap()
    ]
    assert versions == [first, promoted.version, third]


def test_unpacking_is_limited():
    """A damaged or malicious history entry exhausts the memory."""
    large = history.zlib.compress(b" " * 5_000_000)
    for packed in (large, b"x", large[:10]):
        entry = history.HistoryEntry(1, "ana", "", False, packed)
        assert entry.text() in (None, "")


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(FAULT), max_size=24),
    strategies.integers(2, 3),
    strategies.booleans(),
)
def test_exactly_one_of_several_operators_wins(faults, operators, is_first):
    """Several operators succeed, or one gets a wrong result."""
    store = fakes.FaultyStore()
    start = 0 if is_first else _promote(store, 3, 0, 99).unwrap().version
    store.faults.extend(faults)
    results = {}

    async def operate(number):
        promotion = promoter.Promotion(_text(number), start, f"{number}")
        own = _promoter(store, number)
        results[number] = await own.promote(promotion)

    async def operate_all():
        async with trio.open_nursery() as nursery:
            for number in range(1, operators + 1):
                nursery.start_soon(operate, number)

    _run(operate_all)
    winners = [n for n, found in results.items() if found.is_ok()]
    assert len(winners) <= 1
    now = store.objects.get(KEY)
    changed = now is not None and now.version != start
    if winners:
        assert _stored(store).author == f"{winners[0]}"
        assert results[winners[0]].ok_value.version == now.version
    uncertain = {
        number
        for number, found in results.items()
        if found.is_err()
        and isinstance(found.err_value, failures.PromotionUncertain)
    }
    if changed and not winners:
        assert int(_stored(store).author) in uncertain
    if not faults:
        assert len(winners) == 1
