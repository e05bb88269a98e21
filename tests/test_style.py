"""Checks of the house style that the linter does not cover."""

import ast
import importlib.util
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "medlardoor"
MAX_MODULE_LINES = 400


def _modules():
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if "generated" not in path.parts
    ]


def _is_module(name):
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def test_only_modules_are_imported():
    """A name imported from a module hides where it is defined."""
    wrong = []
    for path in _modules():
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom):
                continue
            wrong += [
                f"{path}:{node.lineno}: {alias.name}"
                for alias in node.names
                if not _is_module(f"{node.module}.{alias.name}")
            ]
    assert wrong == []


def test_modules_stay_small():
    """A module that grows past the limit is hard to review on a phone."""
    long = [
        str(path)
        for path in _modules()
        if len(path.read_text().splitlines()) > MAX_MODULE_LINES
    ]
    assert long == []
