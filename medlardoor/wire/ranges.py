"""Ranges of the numbers that messages between nodes can carry.

Numbers from outside are checked against them where they enter. A larger one
could not be encoded later, in a message that concerns other requests too.
"""

__all__ = [
    "MAX_COUNT",
    "MAX_DURATION_S",
    "MAX_PRIORITY",
    "MAX_SEQUENCE",
    "MAX_TIME_PERCENT",
    "is_response_status",
    "is_time_percent",
]

# Largest count, a 32-bit integer.
MAX_COUNT = 2**31 - 1

# Largest sequence number, version or time in milliseconds, a 64-bit integer.
MAX_SEQUENCE = 2**63 - 1

# Longest duration, in seconds; messages carry 32-bit integers of milliseconds.
MAX_DURATION_S = 2_000_000.0

# Largest distance of a priority from zero. Levels are some hundred times as
# large and are 32-bit integers.
MAX_PRIORITY = 1_000_000

# Longest processing time of an upstream, in percent of the usual. Upstreams
# were observed to report 50 to 175; a much larger number is an error.
MAX_TIME_PERCENT = 10_000

# Statuses of HTTP responses (RFC 9110, section 15).
_FIRST_STATUS = 100
_LAST_STATUS = 599
_SWITCHING_PROTOCOLS = 101


def is_response_status(status: int) -> bool:
    """Whether a status is one of a response that an upstream may send.

    No request asks for another protocol, so 101 is not.

    Args:
        status: HTTP status, also of an interim response.
    """
    is_known = _FIRST_STATUS <= status <= _LAST_STATUS
    return is_known and status != _SWITCHING_PROTOCOLS


def is_time_percent(time_percent: int | None) -> bool:
    """Whether a processing time, in percent of the usual, is known and valid.

    Args:
        time_percent: The number; None or 0 if it is unknown.
    """
    return time_percent is not None and 0 < time_percent <= MAX_TIME_PERCENT
