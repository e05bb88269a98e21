"""Checks of the house style that the linter does not cover."""

import ast
import importlib.util
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "medlardoor"
MAX_MODULE_LINES = 400

# Packages that move bytes or assemble processes, and the entry points, tools
# and tests that may use them.
OUTER = ("node", "mesh", "platform")
USERS_OF_OUTER = (*OUTER, "cli", "soak", "scenarios", "standins", "bench")


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


def test_decisions_do_not_import_transport():
    """A part that decides about calls depends on how they are carried."""
    wrong = []
    for path in _modules():
        parts = path.relative_to(PACKAGE).parts
        if parts[0] in USERS_OF_OUTER or "tests" in parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom):
                continue
            name = f"{node.module}.{node.names[0].name}".split(".")
            if name[0] == "medlardoor" and name[1] in OUTER:
                wrong.append(f"{path}:{node.lineno}: {'.'.join(name)}")
    assert wrong == []
