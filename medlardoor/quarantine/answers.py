"""Sample of the requests that upstreams have answered recently."""

import collections

__all__ = ["AnsweredRequests"]

# A request with a share of 1% of the answers is missing from 1,024 of them with
# a probability below 0.01%.
MAX_FINGERPRINTS = 1_024

# A fingerprint costs up to 0.1 ms with a long body. At 50 a second, sampling
# takes at most 0.5% of a processor.
SAMPLE_INTERVAL_S = 0.02

# Crashes within this time, in seconds, are at the same moment. Copies of a
# popular request are in flight at many upstreams then, and its next answer,
# which clears it, has not come yet.
SAME_MOMENT_S = 1.0


class AnsweredRequests:
    """Fingerprints of answered requests, the most recent ones."""

    def __init__(self):
        self._fingerprints: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._next_sample_at = float("-inf")

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._fingerprints

    def is_sample_due(self, now: float) -> bool:
        """Whether the next answered request is to be recorded.

        Args:
            now: Local clock, in seconds.
        """
        return now >= self._next_sample_at

    def record(self, fingerprint: bytes, now: float) -> None:
        """Records an answered request and evicts the oldest one if needed.

        Args:
            fingerprint: Fingerprint of the request.
            now: Local clock, in seconds.
        """
        self._next_sample_at = now + SAMPLE_INTERVAL_S
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        if len(self._fingerprints) > MAX_FINGERPRINTS:
            self._fingerprints.popitem(last=False)

    def is_new_evidence(
        self, fingerprint: bytes, counted_at: float | None, now: float
    ) -> bool:
        """Whether a crash beside other requests counts for a request.

        Args:
            fingerprint: Fingerprint of the request.
            counted_at: Time of the last crash that was counted for it, in
                seconds of the local clock; None if there was none.
            now: Local clock, in seconds.
        """
        return (
            counted_at is None
            or now - counted_at >= SAME_MOMENT_S
            or fingerprint not in self._fingerprints
        )
