"""How an upstream of the soak misbehaves."""

import dataclasses

__all__ = ["PAGE_STATUSES", "UpstreamFault"]

# Statuses of pages; each would have an effect if it were taken for a response.
PAGE_STATUSES = (200, 204, 404, 421, 429, 500, 503)


@dataclasses.dataclass(slots=True)
class UpstreamFault:
    """How an upstream misbehaves.

    Attributes:
        slow: Factor on the time of each request.
        shed: Share of requests that are refused as not run.
        fail: Share of requests that are answered with 500.
        cut: Share of answers that end early.
        extra: Share of answers that are followed by a second one.
        lose: Share of requests that run and whose connection is reset.
        page: Share of answers in whose place a page comes that bears none of
            the headers of an upstream.
        late: Share of answers, also of rejections, of which a copy arrives
            where the next answer on the connection is expected.
    """

    slow: float = 1.0
    shed: float = 0.0
    fail: float = 0.0
    cut: float = 0.0
    extra: float = 0.0
    lose: float = 0.0
    page: float = 0.0
    late: float = 0.0
