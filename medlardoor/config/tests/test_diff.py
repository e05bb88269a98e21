"""Tests of differences between policies."""

import dataclasses

import hypothesis
from hypothesis import strategies

from medlardoor.config import diff, policy
from medlardoor.teams import keys

KIND = policy.Kind(
    name="order",
    team="shop",
    service="order",
    method="POST",
    path_prefix="/orders",
    importance_class="orders",
    rank=1,
    idempotent=False,
    weight=5.0,
    retry_budget=3,
    max_wait_ms=500,
    timeout_ms=5_000,
    objective=policy.Objective(0.995, 1_000, 300, 3_600),
)
POLICY = policy.Policy(
    "test",
    ("orders", "stock"),
    {"order": KIND},
    {"order": policy.ServicePolicy()},
)


def _with_kind(**changes):
    kind = dataclasses.replace(KIND, **changes)
    return dataclasses.replace(POLICY, kinds={"order": kind})


def test_changes_are_listed_by_path():
    """Operators must see every changed value before a promotion."""
    new = _with_kind(
        retry_budget=5,
        idempotent=True,
        objective=policy.Objective(0.9, 1_000, 300, 3_600),
    )
    assert diff.compare(POLICY, new) == (
        diff.Difference("kinds.order.idempotent", "false", "true"),
        diff.Difference("kinds.order.retry_budget", "3", "5"),
        diff.Difference("kinds.order.objective.availability", "0.995", "0.9"),
    )


def test_every_field_is_compared():
    """A field added to the policy must be added to the comparison."""
    shown = {"name", "rank", "objective", *diff._KIND_FIELDS}
    assert shown == {field.name for field in dataclasses.fields(policy.Kind)}
    assert set(diff._OBJECTIVE_FIELDS) == {
        field.name for field in dataclasses.fields(policy.Objective)
    }
    assert set(diff._SERVICE_FIELDS) == {
        field.name for field in dataclasses.fields(policy.ServicePolicy)
    }


def test_new_class_is_one_change():
    """A new least important class must not appear as a change of all kinds."""
    new = dataclasses.replace(
        _with_kind(rank=2), importance_classes=("orders", "stock", "batch")
    )
    (difference,) = diff.compare(POLICY, new)
    assert difference.new == "orders > stock > batch"


def test_added_and_removed_entries():
    """Added and removed entries must be distinguishable from changes."""
    empty = dataclasses.replace(POLICY, kinds={}, services={})
    removed = diff.compare(POLICY, empty)
    assert [item.path for item in removed] == ["services.order", "kinds.order"]
    assert all(item.new is None for item in removed)
    assert all(item.old is None for item in diff.compare(None, POLICY))
    assert diff.compare(POLICY, POLICY) == ()


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.text(max_size=90),
    strategies.none() | strategies.text(max_size=90),
    strategies.sampled_from([40, 60]),
)
def test_lines_fit_a_phone(path, old, width):
    """Long paths and values must be wrapped at the line width."""
    difference = diff.Difference(path, old, "x" * 90)
    lines = diff.format_lines((difference,), width)
    assert all(len(line) <= width for line in lines)


def test_changed_keys_are_shown_without_secrets():
    """A key that is withdrawn must be visible in the comparison."""
    digests = [keys.digest_of(key) for key in (b"k1", b"k2")]
    before = {"shop": keys.Team("shop", tuple(digests))}
    after = {"shop": keys.Team("shop", (digests[0],))}
    first, second = (digest.hex()[:8] for digest in digests)
    assert diff.compare(
        dataclasses.replace(POLICY, teams=before),
        dataclasses.replace(POLICY, teams=after),
    ) == (diff.Difference("teams.shop.keys", f"{first}, {second}", first),)
