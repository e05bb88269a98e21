"""Tests of the example documents and settings."""

import pathlib

import pytest

from medlardoor.config import document, loading, settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
ORDERS = {
    "derwent": ["build_order", "quote_upload", "spoke_calculation"],
    "kavango": ["spare_order", "catalogue_lookup", "fitting_upload"],
}
LEAST = {"derwent": "stock_check", "kavango": "internal_check"}


def _policy(company):
    path = EXAMPLES / company / "document.jsonc"
    return document.parse_document(str(path), path.read_text()).unwrap()


@pytest.mark.parametrize("company", ORDERS)
def test_importance_of_kinds(company):
    """Examples must rank orders above less important requests (G2)."""
    policy = _policy(company)
    names = [*ORDERS[company], LEAST[company]]
    ranks = [policy.kinds[name].rank for name in names]
    assert ranks == [3, 2, 1, 0]
    not_idempotent = [
        name for name, kind in policy.kinds.items() if not kind.idempotent
    ]
    assert not_idempotent == names[:1]


@pytest.mark.parametrize("company", ORDERS)
def test_settings_of_every_service(company):
    """Every example service must have settings that match its document."""
    policy = _policy(company)
    found = set()
    for path in (EXAMPLES / company).glob("node-*.jsonc"):
        node = loading.load_settings(path, settings.NodeSettings).unwrap()
        assert node.environment == policy.environment
        assert node.upstream.slots == policy.services[node.service].slots
        found.add(node.service)
    assert found == set(policy.services)
