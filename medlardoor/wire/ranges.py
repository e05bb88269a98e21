"""Ranges of the numbers that messages between nodes can carry.

Numbers from outside are checked against them where they enter. A larger one
could not be encoded later, in a message that concerns other requests too.
"""

__all__ = ["MAX_COUNT", "MAX_DURATION_S", "MAX_PRIORITY", "MAX_SEQUENCE"]

# Largest count, a 32-bit integer.
MAX_COUNT = 2**31 - 1

# Largest sequence number, version or time in milliseconds, a 64-bit integer.
MAX_SEQUENCE = 2**63 - 1

# Longest duration, in seconds; messages carry 32-bit integers of milliseconds.
MAX_DURATION_S = 2_000_000.0

# Largest distance of a priority from zero. Levels are some hundred times as
# large and are 32-bit integers.
MAX_PRIORITY = 1_000_000
