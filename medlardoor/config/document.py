"""Validation of operator documents and of the stored object with them."""

import collections
import dataclasses
import json

import pydantic
import result

from medlardoor import errors
from medlardoor.config import jsonc, models, policy, validation
from medlardoor.store import client

__all__ = [
    "document_key",
    "encode_object",
    "history_key",
    "parse_document",
    "parse_object",
    "prepare_document",
]

MAX_CACHED_RESULTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _CrossCheckValues:
    """Values that the cross-checks compare.

    Attributes:
        classes: Importance classes; None if they are not a list.
        services: Names of services; None if no service can be read.
        kind_names: Team name and kind name of every kind.
        kinds: Team name, kind name and model of every valid kind.
    """

    classes: list[str] | None
    services: set[str] | None
    kind_names: list[tuple[str, str]]
    kinds: list[tuple[str, str, models.KindModel]]


def _values_from_model(model: models.DocumentModel) -> _CrossCheckValues:
    kinds = [
        (team_name, name, kind)
        for team_name, team in model.teams.items()
        for name, kind in team.kinds.items()
    ]
    kind_names = [(team_name, name) for team_name, name, _ in kinds]
    return _CrossCheckValues(
        model.importance_classes, set(model.services), kind_names, kinds
    )


def _object_at(value: object, key: str) -> dict[str, object]:
    """Returns the object at a key of unvalidated JSON, or an empty one."""
    found = value.get(key) if isinstance(value, dict) else None
    return found if isinstance(found, dict) else {}


def _values_from_json(value: object) -> _CrossCheckValues:
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
    return _CrossCheckValues(classes, services, kind_names, kinds)


class _CrossCheck:
    """Checks that compare values of several models."""

    def __init__(self, values: _CrossCheckValues, faults: validation.FaultList):
        self._values = values
        self._faults = faults
        self._matches: dict[tuple[str, str, str], str] = {}

    def run(self):
        """Runs all checks and records the faults."""
        self._check_classes()
        self._check_names()
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


def _to_kind(
    name: str, team: str, model: models.KindModel, classes: list[str]
) -> policy.Kind:
    objective = policy.Objective(
        availability=model.objective.availability,
        latency_ms=model.objective.latency_ms or model.timeout_ms,
        window_short_s=model.objective.window_short_s,
        window_long_s=model.objective.window_long_s,
    )
    return policy.Kind(
        name=name,
        team=team,
        service=model.service,
        method=model.match.method,
        path_prefix=model.match.path_prefix,
        importance_class=model.class_,
        rank=len(classes) - 1 - classes.index(model.class_),
        idempotent=model.idempotent,
        weight=model.weight,
        retry_budget=model.retry_budget,
        max_wait_ms=model.max_wait_ms,
        timeout_ms=model.timeout_ms,
        objective=objective,
    )


def _to_policy(model: models.DocumentModel) -> policy.Policy:
    kinds = {
        name: _to_kind(name, team_name, kind, model.importance_classes)
        for team_name, team in model.teams.items()
        for name, kind in team.kinds.items()
    }
    services = {
        name: policy.ServicePolicy(
            max_queue=service.max_queue,
            slots=service.slots,
            ramp_s=service.ramp_s,
        )
        for name, service in model.services.items()
    }
    return policy.Policy(
        environment=model.environment,
        importance_classes=tuple(model.importance_classes),
        kinds=kinds,
        services=services,
    )


class _ResultCache:
    """Cache of the results of the documents that were parsed last.

    The same text is parsed when it is checked, compared and adopted, and the
    text of the enforced document again with every trial document.
    """

    def __init__(self):
        self._results: collections.OrderedDict[
            tuple[str, str], result.Result[policy.Policy, errors.InvalidInput]
        ] = collections.OrderedDict()

    def get(
        self, source_name: str, text: str
    ) -> result.Result[policy.Policy, errors.InvalidInput] | None:
        """Returns the cached result of a text, or None."""
        return self._results.get((source_name, text))

    def put(
        self,
        source_name: str,
        text: str,
        checked: result.Result[policy.Policy, errors.InvalidInput],
    ) -> result.Result[policy.Policy, errors.InvalidInput]:
        """Stores a result and evicts the oldest ones above the limit."""
        self._results[(source_name, text)] = checked
        while len(self._results) > MAX_CACHED_RESULTS:
            self._results.popitem(last=False)
        return checked


_result_cache = _ResultCache()


def _check(
    parsed: jsonc.ParsedText,
) -> result.Result[policy.Policy, errors.InvalidInput]:
    """Validates parsed text against the models and runs the cross-checks."""
    faults = validation.FaultList(parsed)
    model = validation.validate_into(parsed, models.DocumentModel, faults)
    if model is None:
        _CrossCheck(_values_from_json(parsed.value), faults).run()
        return result.Err(faults.failure())
    check = _CrossCheck(_values_from_model(model), faults)
    check.run()
    check.check_count()
    if faults.has_any():
        return result.Err(faults.failure())
    return result.Ok(_to_policy(model))


def parse_document(
    source_name: str, text: str
) -> result.Result[policy.Policy, errors.InvalidInput]:
    """Parses and validates an operator document.

    Args:
        source_name: Name of the file or endpoint, for messages.
        text: The document, JSON with comments, at most 512,000 bytes.

    Returns:
        The policy, or the faults with their JSON paths and lines. Policies are
        cached and shared between calls, so they must not be modified.
    """
    found = _result_cache.get(source_name, text)
    if found is not None:
        return found
    checked = jsonc.parse(source_name, text).and_then(_check)
    return _result_cache.put(source_name, text, checked)


async def prepare_document(
    source_name: str, text: str
) -> result.Result[policy.Policy, errors.InvalidInput]:
    """Parses a document while the event loop keeps serving other tasks.

    The next `parse_document` with the same arguments returns at once.
    """
    found = _result_cache.get(source_name, text)
    if found is not None:
        return found
    parsed = await jsonc.parse_in_steps(source_name, text)
    return _result_cache.put(source_name, text, parsed.and_then(_check))


def document_key(environment: str) -> str:
    """Returns the object key of the documents of an environment."""
    return f"documents/{environment}"


def history_key(environment: str) -> str:
    """Returns the object key of the history of an environment."""
    return f"history/{environment}"


def parse_object(
    source_name: str, value: bytes
) -> result.Result[models.StoredDocument, errors.InvalidInput]:
    """Validates the content of ``documents/<environment>``.

    The document texts in it are not parsed; see `parse_document`.

    Args:
        source_name: Object key, for messages.
        value: Content as read from the platform.

    Returns:
        The stored document, or the faults, without lines.
    """
    if len(value) > client.MAX_VALUE_BYTES:
        expected = f"at most {client.MAX_VALUE_BYTES} bytes, got {len(value)}"
        return _fault(source_name, "$", expected)
    try:
        return result.Ok(
            models.StoredDocument.model_validate_json(value, strict=True)
        )
    except pydantic.ValidationError as error:
        faults = tuple(
            errors.Fault(
                jsonc.format_path(entry["loc"]),
                0,
                validation.describe_error(entry),
            )
            for entry in error.errors(include_url=False, include_context=False)
        )
        return result.Err(errors.InvalidInput(source_name, faults))


def encode_object(
    source_name: str, stored: models.StoredDocument
) -> result.Result[bytes, errors.InvalidInput]:
    """Encodes the object for the platform and checks its size.

    Two texts of the maximum 512,000 bytes, enforced and trial, exceed the limit
    together.

    Args:
        source_name: Object key, for messages.
        stored: The documents and the details of their promotion.

    Returns:
        The encoded object, or a fault if it is too large.
    """
    value = stored.model_dump_json().encode()
    if len(value) > client.MAX_VALUE_BYTES:
        expected = (
            "enforced and trial documents of at most"
            f" {client.MAX_VALUE_BYTES} bytes together, got {len(value)}"
        )
        return _fault(source_name, "$", expected)
    return result.Ok(value)


def _fault(
    source_name: str, path: str, expected: str
) -> result.Err[errors.InvalidInput]:
    fault = errors.Fault(path, 0, expected)
    return result.Err(errors.InvalidInput(source_name, (fault,)))
