"""Tests of operator documents."""

import copy
import json

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies
import pytest

from medlardoor.config import document, jsonc, models
from medlardoor.store import client

KIND = {
    "class": "orders",
    "service": "order",
    "match": {"method": "POST", "path_prefix": "/orders"},
    "idempotent": False,
}
DOCUMENT = {
    "environment": "test",
    "importance_classes": ["orders", "stock"],
    "services": {"order": {}, "inventory": {"slots": 40}},
    "teams": {
        "shop": {
            "contact": "shop@example.com",
            "kinds": {
                "order": KIND,
                "stock": {
                    **KIND,
                    "class": "stock",
                    "service": "inventory",
                    "idempotent": True,
                },
            },
        }
    },
}


def _changed(*changes):
    """Returns the text with values replaced at paths; None removes a key."""
    value = copy.deepcopy(DOCUMENT)
    for *parents, last, new in changes:
        place = value
        for key in parents:
            place = place[key]
        if new is None:
            del place[last]
        else:
            place[last] = new
    return json.dumps(value, indent=1)


def _faults(text):
    failure = document.parse_document("test", text).unwrap_err()
    return {fault.path: fault.expected for fault in failure.faults}


def test_conversion_and_defaults():
    """Defaults and ranks must be as documented."""
    policy = document.parse_document("test", json.dumps(DOCUMENT)).unwrap()
    order = policy.kinds["order"]
    assert (order.rank, policy.kinds["stock"].rank) == (1, 0)
    assert (order.retry_budget, order.max_wait_ms) == (3, 500)
    assert order.objective.latency_ms == order.timeout_ms == 5_000
    assert policy.services["inventory"].slots == 40
    assert policy.kind_for("order", "POST", "/orders/7") is order


DIGEST = "sha256:" + "0" * 64
ORDER = ("teams", "shop", "kinds", "order")
ORDER_PATH = "$.teams.shop.kinds.order"


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ((*ORDER, "class", "gold"), f"{ORDER_PATH}.class"),
        ((*ORDER, "service", "quote"), f"{ORDER_PATH}.service"),
        ((*ORDER, "retry_budget", 17), f"{ORDER_PATH}.retry_budget"),
        ((*ORDER, "retry_budget", -1), f"{ORDER_PATH}.retry_budget"),
        ((*ORDER, "retry_budget", "3"), f"{ORDER_PATH}.retry_budget"),
        ((*ORDER, "max_wait_ms", 5_001), f"{ORDER_PATH}.max_wait_ms"),
        ((*ORDER, "idempotent", None), f"{ORDER_PATH}.idempotent"),
        ((*ORDER, "idempotent", 0), f"{ORDER_PATH}.idempotent"),
        ((*ORDER, "weight", 0), f"{ORDER_PATH}.weight"),
        ((*ORDER, "retries", 2), f"{ORDER_PATH}.retries"),
        (
            (*ORDER, "objective", {"latency_ms": 6_000}),
            f"{ORDER_PATH}.objective.latency_ms",
        ),
        (
            (*ORDER, "objective", {"window_short_s": 3_600}),
            f"{ORDER_PATH}.objective.window_short_s",
        ),
        (
            (*ORDER, "match", {"method": "GET", "path_prefix": "orders"}),
            f"{ORDER_PATH}.match.path_prefix",
        ),
        (
            ("teams", "shop", "kinds", "again", KIND),
            "$.teams.shop.kinds.again.match",
        ),
        (
            ("teams", "other", {"contact": "x", "kinds": {"order": KIND}}),
            "$.teams.other.kinds.order",
        ),
        (("teams", "shop", "keys", ["k1"]), "$.teams.shop.keys[0]"),
        (("teams", "shop", "keys", [DIGEST] * 2), "$.teams.shop.keys[1]"),
        (
            ("teams", "other", {"contact": "", "keys": [DIGEST, DIGEST]}),
            "$.teams.other.keys[1]",
        ),
        (
            ("importance_classes", ["orders", "stock", "orders"]),
            "$.importance_classes[2]",
        ),
        (("teams", "shop", "kinds", {}), "$.teams"),
        (("services", "Order", {}), "$.services.Order"),
        (("environment", None), "$.environment"),
    ],
)
def test_fault_is_found_at_its_path(change, path):
    """A document that nodes cannot apply must be rejected."""
    assert path in _faults(_changed(change))


def test_all_faults_are_reported_at_once():
    """All faults must be reported together, not one per attempt."""
    text = _changed(
        (*ORDER, "class", "gold"),
        ("services", "inventory", "slots", "many"),
        ("teams", "shop", "kinds", "stock", "wait_ms", 3),
    )
    failure = document.parse_document("test", text).unwrap_err()
    assert {fault.path for fault in failure.faults} == {
        f"{ORDER_PATH}.class",
        "$.services.inventory.slots",
        "$.teams.shop.kinds.stock.wait_ms",
    }
    rows = text.splitlines()
    for fault in failure.faults:
        assert fault.path.rsplit(".", 1)[1] in rows[fault.line - 1]


def test_list_of_faults_is_bounded():
    """A malicious document must not produce an unbounded list of faults."""
    wrong = {f"max_wait{number}": 0 for number in range(18_000)}
    text = _changed((*ORDER, wrong))
    failure = document.parse_document("test", text).unwrap_err()
    assert len(failure.faults) == jsonc.MAX_FAULTS + 1
    long_key = json.dumps({"k" * 1_000: [1e400, 1e400]})
    assert len(_faults(long_key)) == 1


def test_unknown_key_suggests_the_right_one():
    """The fault of a misspelt key must suggest the correct key."""
    expected = _faults(_changed((*ORDER, "max_wait", 3)))
    assert "max_wait_ms" in expected[f"{ORDER_PATH}.max_wait"]


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-9, 9)
    | strategies.sampled_from(["orders", "order", "/x"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["kinds", "a", "class", "match"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, max_examples=150)
@hypothesis.given(
    strategies.sampled_from(
        [
            (),
            ("teams",),
            ("teams", "shop"),
            ("teams", "shop", "kinds"),
            ORDER,
            (*ORDER, "match"),
            ("services",),
            ("services", "order"),
            ("importance_classes",),
            ("environment",),
        ]
    ),
    JSON_VALUES,
)
def test_value_of_any_shape_gives_a_result(place, value):
    """A value of an unexpected type must not raise an exception."""
    if place:
        text = _changed((*place, value if value is not None else []))
    else:
        text = json.dumps(value)
    parsed = document.parse_document("test", text)
    assert parsed.is_ok() or parsed.err_value.faults


def test_prepared_document_lets_other_tasks_run():
    """A node must keep serving calls while it parses a document."""
    text = json.dumps(DOCUMENT) + "// prepared"
    turns = []

    async def count_turns():
        while True:
            await anyio.lowlevel.checkpoint()
            turns.append(1)

    async def prepare():
        async with anyio.create_task_group() as group:
            group.start_soon(count_turns)
            prepared = await document.prepare_document("test", text)
            group.cancel_scope.cancel()
        return prepared

    prepared = anyio.run(prepare).unwrap()
    tokens = text.count('"') // 2
    assert len(turns) >= tokens // jsonc.TOKENS_PER_STEP
    assert document.parse_document("test", text).unwrap() is prepared


def test_recent_results_are_bounded():
    """The cache of parsed documents must not grow without limit."""
    for number in range(20):
        document.parse_document("test", json.dumps(DOCUMENT) + f"//{number}")
    assert len(document._result_cache._results) == document.MAX_CACHED_RESULTS


def test_object_round_trip_and_limits():
    """Objects must keep all fields and respect the platform's size limit."""
    stored = models.StoredDocument(
        enforced="{}", trial='"é"\n', author="ana", promotion_id="a1"
    )
    value = document.encode_object("documents/test", stored).unwrap()
    assert document.parse_object("documents/test", value).unwrap() == stored
    large = models.StoredDocument(enforced="\n" * 500_000)
    assert document.encode_object("documents/test", large).is_err()
    too_long = b" " * (client.MAX_VALUE_BYTES + 1)
    assert document.parse_object("documents/test", too_long).is_err()


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[]", b"{}", b'{"enforced": 1}']
)
def test_malformed_object_is_a_fault(value):
    """A malformed object must give faults, not an exception."""
    failure = document.parse_object("documents/test", value).unwrap_err()
    assert failure.faults


def test_object_of_a_newer_release_is_read():
    """Older nodes must adopt documents during a rolling upgrade."""
    value = b'{"enforced": "{}", "trial": null, "added_later": 1}'
    stored = document.parse_object("documents/test", value).unwrap()
    assert stored.enforced == "{}"
