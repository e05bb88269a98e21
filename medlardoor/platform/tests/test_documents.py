"""Tests of the translation of the operator's object."""

import json

import pytest

from medlardoor.platform import documents

RULE = {
    "name": "r-1",
    "kind": "safe",
    "targetLatency": "1200ms",
    "priority": 2,
    "match": {"pathPrefix": "/leny950/"},
    "action": {
        "split": [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ],
        "timeout": "5000ms",
        "maxAttempts": 2,
    },
}
CONFIG = {
    "version": 7,
    "limits": {
        "maxHeaderBytes": 1_000,
        "maxBodyBytes": 2_000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s",
    },
    "listeners": [{"host": "Hulo84.example", "rules": [RULE]}],
    "clusters": [
        {"name": "a", "healthPath": "/health", "maxConnections": 2158}
    ],
}


def _decode(config):
    return documents.ConfigDecoder().decode(json.dumps(config).encode())


def _with_rule(**changes):
    rule = {**RULE, **changes}
    return {**CONFIG, "listeners": [{"host": "x", "rules": [rule]}]}


def test_rule_becomes_a_route():
    """A field of a rule ends up in another field of the route."""
    document = _decode(CONFIG).unwrap()
    route = document.routes[0]
    assert (route.host, route.path_prefix) == (
        b"hulo84.example",
        b"/leny950/",
    )
    assert (route.objective_s, route.timeout_s) == (1.2, 5.0)
    assert (route.priority, route.max_attempts) == (2, 2)
    assert route.idempotent
    assert [(d.service, d.weight) for d in route.destinations] == [
        ("a", 90),
        ("b", 10),
    ]
    assert document.limits.idle_timeout_s == 15.0
    assert document.services["a"].max_connections == 2158


@pytest.mark.parametrize("kind", ["unsafe", "upload", "perhaps"])
def test_other_kinds_are_not_idempotent(kind):
    """An order is sent twice, or a new kind leaves all routes unserved."""
    document = _decode(_with_rule(kind=kind)).unwrap()
    assert not document.routes[0].idempotent


def test_unknown_kinds_are_named():
    """Nobody learns that a kind is treated as not idempotent."""
    assert _decode(_with_rule(kind="perhaps")).unwrap().unknown_kinds == (
        "perhaps",
    )
    assert _decode(_with_rule(kind="upload")).unwrap().unknown_kinds == ()


def test_part_without_weight_gets_nothing():
    """A destination of weight 0 gets requests."""
    action = {
        "split": [
            {"service": "a", "weight": 0},
            {"service": "b", "weight": 1},
        ],
        "timeout": "1s",
        "maxAttempts": 1,
    }
    route = _decode(_with_rule(action=action)).unwrap().routes[0]
    assert [d.service for d in route.destinations] == ["b"]


@pytest.mark.parametrize(
    "config",
    [
        None,
        [],
        {**CONFIG, "version": "x"},
        _with_rule(kind=3),
        _with_rule(targetLatency="1200"),
        _with_rule(match={"pathPrefix": "leny950"}),
        _with_rule(action={"timeout": "1s", "maxAttempts": 1}),
        _with_rule(action={"service": "a", "timeout": "1s", "maxAttempts": 0}),
    ],
)
def test_invalid_documents_are_faults(config):
    """A document that is not valid comes into force in parts."""
    assert _decode(config).is_err()


def test_cut_text_is_a_fault():
    """A document that was cut short ends the process."""
    value = json.dumps(CONFIG).encode()[:-20]
    assert documents.ConfigDecoder().decode(value).is_err()
