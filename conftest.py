"""Sets the clock of the tests, and passes over the cases of KNOWN-RED.txt.

A test that is listed there still runs. If it fails with what its entry says
was seen, it is reported as an expected failure; any other failure counts.
"""

import asyncio.base_events
import pathlib
import time

import pytest

# The event loop's clock counts from the start of the machine. A fixed reading
# at the start of the tests keeps their verdict independent of the uptime.
_CLOCK_OFFSET_S = 1_000_000.0 - time.monotonic()

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known_cases() -> list[tuple[str, list[str]]]:
    """Identifiers of tests and the parts of their messages.

    They are on lines ``test: identifier | part | part``.
    """
    cases = []
    for line in _LIST.read_text().splitlines():
        kind, _, rest = line.partition(": ")
        if kind == "test":
            node_id, *parts = (part.strip() for part in rest.split(" | "))
            cases.append((node_id, parts))
    return cases


def pytest_configure() -> None:
    """Sets the clock of the event loops in the process of the tests."""
    asyncio.base_events.BaseEventLoop.time = lambda loop: (
        time.monotonic() + _CLOCK_OFFSET_S
    )


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Reports a known case as an expected failure."""
    outcome = yield
    report = outcome.get_result()
    if not report.failed:
        return
    message = str(call.excinfo.value)
    for node_id, parts in _known_cases():
        is_listed = item.nodeid == node_id and parts
        if is_listed and all(part in message for part in parts):
            report.outcome = "skipped"
            report.wasxfail = "KNOWN-RED.txt"
