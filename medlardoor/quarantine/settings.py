"""Settings of crash attribution.

They have a module of their own because the data path on the users' platform
needs no other settings: building the models of all parts takes a third of the
start time of its process.
"""

import pydantic

from medlardoor.config import base

__all__ = ["QuarantineSettings"]


class QuarantineSettings(base.Settings):
    """Settings of crash attribution.

    Attributes:
        max_crashes: Number of attributed crashes that starts a quarantine.
        suspicion_s: Duration of a suspicion after the last crash, in seconds.
        quarantine_s: Duration of a quarantine, in seconds.
        max_suspects: Maximum number of suspects, and of quarantined
            fingerprints, that a node keeps.
    """

    max_crashes: int = pydantic.Field(default=3, ge=1)
    suspicion_s: float = pydantic.Field(default=600.0, gt=0)
    quarantine_s: float = pydantic.Field(default=3_600.0, gt=0)
    max_suspects: int = pydantic.Field(default=1_000, ge=1)
