"""Tests that the operators' page matches the models."""

import pathlib
import re

import pytest

from medlardoor.config import models

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators.md"
MODELS = [
    models.DocumentModel,
    models.ServiceModel,
    models.TeamModel,
    models.KindModel,
    models.MatchModel,
    models.ObjectiveModel,
]
ROW = r"^\| `(?:match\.)?(\w+)` \| ([^|]+) \|"
NESTED = {"match", "objective"}


@pytest.mark.parametrize("model", MODELS)
def test_page_states_every_key_and_default(model):
    """The page must list every key with the default of the code."""
    rows = dict(
        re.findall(
            r"^\| `(?:match\.)?(\w+)` \| ([^|]+) \|", PAGE.read_text(), re.M
        )
    )
    for name, field in model.model_fields.items():
        key = field.alias or name
        if key in NESTED:
            continue
        if field.is_required():
            assert rows[key] == "required"
        elif isinstance(field.default, int | float):
            assert float(rows[key]) == field.default
        else:
            assert key in rows
