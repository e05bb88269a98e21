"""Tests of the retry budget."""

import random

import hypothesis
from hypothesis import strategies

from medlardoor.retries import budget as budget_module

MAX_DEPTH = 6


class Chain:
    """Tree of calls that fail at random; each node spends all it can."""

    def __init__(self, seed, loss, fanout):
        self._generator = random.Random(seed)
        self._loss = loss
        self._fanout = fanout
        self.spent = 0

    def run(self, received, depth=0):
        """Runs one node and returns the unspent retries that it reports."""
        budget = budget_module.RetryBudget(received)
        if depth < MAX_DEPTH:
            for _ in range(self._generator.randint(0, self._fanout)):
                self._call(budget, depth)
        return budget.remaining

    def _call(self, budget, depth):
        while True:
            share = budget.reserve()
            unspent = self.run(share, depth + 1)
            if self._generator.random() >= self._loss:
                budget.return_unspent(unspent, share)
            if self._generator.random() < 0.5 or not budget.spend():
                return
            self.spent += 1


@hypothesis.settings(derandomize=True, max_examples=150)
@hypothesis.given(
    initial=strategies.integers(0, 8),
    seed=strategies.integers(0, 10_000),
    loss=strategies.floats(0, 1),
    fanout=strategies.integers(0, 3),
)
def test_conservation_over_trees(initial, seed, loss, fanout):
    """A chain retries more often than its budget allows (G1)."""
    chain = Chain(seed, loss, fanout)
    unspent = chain.run(initial)
    assert chain.spent + unspent <= initial
    if loss == 0:
        assert chain.spent + unspent == initial


@hypothesis.settings(derandomize=True, max_examples=150)
@hypothesis.given(
    initial=strategies.integers(0, 8),
    answers=strategies.lists(strategies.integers(-5, 50), max_size=20),
    stated=strategies.booleans(),
)
def test_wrong_answers_create_nothing(initial, answers, stated):
    """A called node adds retries by a wrong or duplicate response."""
    budget = budget_module.RetryBudget(initial)
    for unspent in answers:
        share = budget.reserve()
        budget.return_unspent(unspent, share if stated else None)
        budget.return_unspent(unspent)
        assert 0 <= budget.remaining <= initial


def test_share_is_half_rounded_up():
    """The first call takes all retries, or a single retry is never used."""
    budget = budget_module.RetryBudget(3)
    assert budget.reserve() == 2
    assert budget.reserve() == 1
    assert budget.reserve() == 0
    assert not budget.spend()
