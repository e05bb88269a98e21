"""Test of the users' bound on repeated arrivals, over a chain of services."""

import random

import pytest

from medlardoor.platform import settings
from medlardoor.platform.tests import test_settings
from medlardoor.retries import shares

RATIO = 0.2
SLACK = 47.0
WINDOW_S = 10.0
HOPS = 4
NODES = 12
RATE = 60.0
FAILING = 0.4


class _Service:
    """One hop of the chain; its nodes repeat calls that fail."""

    def __init__(self, retry_settings, generator):
        self._shares = [shares.RetryShare(retry_settings) for _ in range(NODES)]
        self._generator = generator
        self.below = None
        self.firsts = []
        self.repeats = []

    def call(self, now, is_repeat):
        share = self._generator.choice(self._shares)
        if is_repeat:
            share.count_call_of_retried_run(now)
        else:
            share.count_first_attempt(now)
        self._arrive(now, is_repeat)
        makes_calls = self.below is not None
        while self._generator.random() < FAILING and share.try_retry(
            NODES, now, makes_calls=makes_calls
        ):
            self._arrive(now, True)

    def _arrive(self, now, is_repeat):
        (self.repeats if is_repeat else self.firsts).append(now)
        if self.below is not None:
            self.below.call(now, is_repeat)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_repeats_of_a_chain_stay_within_the_bound(seed):
    """Repeats at each hop add up to more than the bound at the last one.

    Replays lost answers: four in ten calls fail at each of four hops.
    """
    loaded = settings.parse("node.conf", test_settings.TEXT).unwrap()
    retry_settings = settings.to_mesh(loaded).retries
    generator = random.Random(seed)
    chain = [_Service(retry_settings, generator) for _ in range(HOPS)]
    for service, below in zip(chain, chain[1:], strict=False):
        service.below = below
    now = 0.0
    while now < 30.0:
        now += generator.expovariate(RATE)
        chain[0].call(now, False)
    for service in chain:
        for end in range(10, 31):
            start = end - WINDOW_S
            repeats = sum(start < at <= end for at in service.repeats)
            firsts = sum(start < at <= end for at in service.firsts)
            assert repeats <= RATIO * firsts + SLACK
