"""Base of all settings models."""

import pydantic

__all__ = ["Settings"]


class Settings(pydantic.BaseModel):
    """Base of all settings models; rejects unknown keys."""

    # Pydantic builds a model at its first use, because each program uses only
    # a few of the models.
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, defer_build=True
    )
