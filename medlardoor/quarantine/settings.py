"""Settings of the attribution of crashes.

They stand apart from those of the other parts: the data path on the users'
platform needs no others, and the models of all parts cost a third of the time
that its process takes to start.
"""

import pydantic

from medlardoor.config import base

__all__ = ["QuarantineSettings"]


class QuarantineSettings(base.Settings):
    """Crash attribution."""

    max_crashes: int = pydantic.Field(default=3, ge=1)
    suspicion_s: float = pydantic.Field(default=600.0, gt=0)
    quarantine_s: float = pydantic.Field(default=3_600.0, gt=0)
    max_suspects: int = pydantic.Field(default=1_000, ge=1)
