"""Checks of operator documents that compare values of several models."""

import dataclasses
import json

import pydantic

from medlardoor.config import models, validation

__all__ = [
    "CrossCheck",
    "CrossCheckValues",
    "values_from_json",
    "values_from_model",
]


@dataclasses.dataclass(frozen=True, slots=True)
class CrossCheckValues:
    """Values that the cross-checks compare.

    Attributes:
        classes: Importance classes; None if they are not a list.
        services: Names of services; None if no service can be read.
        kind_names: Team name and kind name of every kind.
        kinds: Team name, kind name and model of every valid kind.
        key_digests: Team name, position and digest of every key.
    """

    classes: list[str] | None
    services: set[str] | None
    kind_names: list[tuple[str, str]]
    kinds: list[tuple[str, str, models.KindModel]]
    key_digests: list[tuple[str, int, str]]


def values_from_model(model: models.DocumentModel) -> CrossCheckValues:
    """Collects the comparable values of a valid model."""
    kinds = [
        (team_name, name, kind)
        for team_name, team in model.teams.items()
        for name, kind in team.kinds.items()
    ]
    kind_names = [(team_name, name) for team_name, name, _ in kinds]
    key_digests = [
        (team_name, position, digest)
        for team_name, team in model.teams.items()
        for position, digest in enumerate(team.keys)
    ]
    return CrossCheckValues(
        model.importance_classes,
        set(model.services),
        kind_names,
        kinds,
        key_digests,
    )


def _object_at(value: object, key: str) -> dict[str, object]:
    """Returns the object at a key of unvalidated JSON, or an empty one."""
    found = value.get(key) if isinstance(value, dict) else None
    return found if isinstance(found, dict) else {}


def values_from_json(value: object) -> CrossCheckValues:
    """Collects the comparable values of a document that failed validation.

    The cross-checks run on these values too, so that an operator sees all
    faults of a document at once. Kinds that fail validation are checked only
    by name.
    """
    kind_names = []
    kinds = []
    for team_name, team in _object_at(value, "teams").items():
        for name, kind in _object_at(team, "kinds").items():
            kind_names.append((team_name, name))
            try:
                model = models.KindModel.model_validate_json(
                    json.dumps(kind), strict=True
                )
            except pydantic.ValidationError:
                continue
            kinds.append((team_name, name, model))
    classes = None
    if isinstance(value, dict):
        found = value.get("importance_classes")
        if isinstance(found, list):
            classes = [name for name in found if isinstance(name, str)]
    services = set(_object_at(value, "services")) or None
    return CrossCheckValues(
        classes, services, kind_names, kinds, _key_digests_at(value)
    )


def _key_digests_at(value: object) -> list[tuple[str, int, str]]:
    """Returns the key digests of unvalidated JSON."""
    found = []
    for team_name, team in _object_at(value, "teams").items():
        digests = team.get("keys") if isinstance(team, dict) else None
        if isinstance(digests, list):
            found += [
                (team_name, position, digest)
                for position, digest in enumerate(digests)
                if isinstance(digest, str)
            ]
    return found


class CrossCheck:
    """Checks that compare values of several models."""

    def __init__(self, values: CrossCheckValues, faults: validation.FaultList):
        self._values = values
        self._faults = faults
        self._matches: dict[tuple[str, str, str], str] = {}

    def run(self):
        """Runs all checks and records the faults."""
        self._check_classes()
        self._check_names()
        self._check_keys()
        for team_name, name, kind in self._values.kinds:
            parts = ("teams", team_name, "kinds", name)
            self._check_references(kind, parts)
            self._check_match(name, kind, parts)
            self._check_times(kind, parts)

    def check_count(self):
        """Checks the number of kinds of a document that passed its model."""
        if not 1 <= len(self._values.kind_names) <= models.MAX_KINDS:
            self._faults.add(
                ("teams",),
                f"1 to {models.MAX_KINDS} kinds in all teams together,"
                f" got {len(self._values.kind_names)}",
            )

    def _check_classes(self):
        seen = set()
        for position, name in enumerate(self._values.classes or ()):
            if name in seen:
                self._faults.add(
                    ("importance_classes", position),
                    f"each class listed once, got {name} again",
                )
            seen.add(name)

    def _check_names(self):
        owners: dict[str, str] = {}
        for team_name, name in self._values.kind_names:
            other = owners.setdefault(name, team_name)
            if other != team_name:
                self._faults.add(
                    ("teams", team_name, "kinds", name),
                    "a kind name that is unique in the document,"
                    f" got {name}, which team {other} also uses",
                )

    def _check_keys(self):
        holders: dict[str, str] = {}
        for team_name, position, digest in self._values.key_digests:
            if digest in holders:
                self._faults.add(
                    ("teams", team_name, "keys", position),
                    "each key listed once, got one that team"
                    f" {holders[digest]} also lists",
                )
            holders.setdefault(digest, team_name)

    def _check_references(self, kind, parts):
        classes = self._values.classes
        services = self._values.services
        if classes is not None and kind.class_ not in classes:
            self._faults.add(
                (*parts, "class"),
                f"a class listed in importance_classes, got {kind.class_}",
            )
        if services is not None and kind.service not in services:
            self._faults.add(
                (*parts, "service"),
                f"a service defined in services, got {kind.service}",
            )

    def _check_match(self, name, kind, parts):
        key = (kind.service, kind.match.method, kind.match.path_prefix)
        other = self._matches.setdefault(key, name)
        if other != name:
            self._faults.add(
                (*parts, "match"),
                "a method and path_prefix that are unique in service"
                f" {kind.service}, got those of kind {other}",
            )

    def _check_times(self, kind, parts):
        if kind.max_wait_ms > kind.timeout_ms:
            self._faults.add(
                (*parts, "max_wait_ms"),
                f"at most timeout_ms ({kind.timeout_ms}),"
                f" got {kind.max_wait_ms}",
            )
        objective = kind.objective
        parts = (*parts, "objective")
        if (objective.latency_ms or 0) > kind.timeout_ms:
            self._faults.add(
                (*parts, "latency_ms"),
                f"at most timeout_ms ({kind.timeout_ms}),"
                f" got {objective.latency_ms}",
            )
        if objective.window_short_s >= objective.window_long_s:
            self._faults.add(
                (*parts, "window_short_s"),
                f"less than window_long_s ({objective.window_long_s}),"
                f" got {objective.window_short_s}",
            )
