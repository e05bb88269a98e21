"""Base of all settings models."""

import pydantic

__all__ = ["Settings"]


class Settings(pydantic.BaseModel):
    """Base of all settings models: unknown keys are errors."""

    # Models are built at their first use: a program uses few of them.
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, defer_build=True
    )
