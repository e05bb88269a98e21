"""Validation of operator documents and of the stored object with them."""

import collections

import pydantic
import result

from medlardoor import errors
from medlardoor.config import (
    cross_checks,
    error_texts,
    jsonc,
    models,
    policy,
    validation,
)
from medlardoor.store import client
from medlardoor.teams import keys

__all__ = [
    "document_key",
    "encode_object",
    "history_key",
    "parse_document",
    "parse_object",
    "prepare_document",
]

MAX_CACHED_RESULTS = 3


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
    teams = {
        name: keys.Team(
            name, tuple(keys.parse_digest(digest) for digest in team.keys)
        )
        for name, team in model.teams.items()
        if team.keys
    }
    return policy.Policy(
        environment=model.environment,
        importance_classes=tuple(model.importance_classes),
        kinds=kinds,
        services=services,
        teams=teams,
        keys=keys.KeyTable(teams.values()),
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
        cross_checks.CrossCheck(
            cross_checks.values_from_json(parsed.value), faults
        ).run()
        return result.Err(faults.failure())
    check = cross_checks.CrossCheck(
        cross_checks.values_from_model(model), faults
    )
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
                error_texts.describe_error(entry),
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
