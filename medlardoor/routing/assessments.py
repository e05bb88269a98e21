"""Judgement of an upstream by placement, for people to read."""

import dataclasses

__all__ = ["Assessment"]


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """How placement judges a candidate.

    Attributes:
        expected_s: Expected response time with the load of the candidate,
            increased for failed requests and for distance, in seconds. It is
            the mean of the random score.
        is_preferred: Whether the candidate is healthy and has free capacity.
        admits_from: Lowest level that the candidate admits.
    """

    expected_s: float
    is_preferred: bool
    admits_from: int
