"""Demonstration: Derwent's chain under overload, with and without control.

Everything runs on this machine against stand-ins. All figures of the last
line are counted from the records of the load client and of the upstream
stand-ins, never from the system itself.
"""

import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
import time

import anyio

from medlardoor import config
from medlardoor.standins import chain as chain_module
from medlardoor.standins import (
    connections,
    load_request,
    processes,
    records,
    tally,
)
from medlardoor.standins import settings as settings_module

__all__ = ["main"]

DOCUMENT = (
    pathlib.Path(config.__file__).parent / "examples/derwent/document.jsonc"
)
# The whole demonstration ends within a minute, the stop included.
TIME_LIMIT_S = 54
STOP_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 12.0
READY_INTERVAL_S = 0.1
OVERLOAD = "overload"
WEIGHTS = {"build_order": 20.0, "spoke_calculation": 3.0, "stock_check": 1.0}
# All callers wait equally long, so that without control the queue of the
# deepest service grows to the time that an order has for its whole chain.
CALLER_TIMEOUT_MS = 2_000
KINDS = (
    {
        "name": "build_order",
        "service": "order",
        "method": "POST",
        "path": "/orders",
        "body_bytes": 500,
        "timeout_ms": CALLER_TIMEOUT_MS,
        "keyed": True,
        "resends": 2,
    },
    {
        "name": "spoke_calculation",
        "service": "calculator",
        "method": "POST",
        "path": "/spokes",
        "body_bytes": 200,
        "timeout_ms": CALLER_TIMEOUT_MS,
        "resends": 2,
    },
    {
        "name": "stock_check",
        "service": "inventory",
        "path": "/stock/rims?size=500",
        "timeout_ms": CALLER_TIMEOUT_MS,
        "resends": 2,
    },
)
_NORMAL = {"build_order": 30, "spoke_calculation": 30, "stock_check": 80}
# Inventory can run 200 requests a second; each order needs one.
_SURGE = {"build_order": 40, "spoke_calculation": 30, "stock_check": 300}
PHASES = (
    {"name": "normal", "duration_s": 2, "rates": _NORMAL},
    {"name": OVERLOAD, "duration_s": 5, "rates": _SURGE},
    {"name": "recovery", "duration_s": 5, "rates": _NORMAL},
)


class _TimeLimitError(Exception):
    """The demonstration took too long."""


def main(arguments: list[str]) -> int:
    """Runs the demonstration.

    Args:
        arguments: ``--uncontrolled`` runs only the half without control.
    """
    # A shell starts background jobs with SIGINT ignored.
    signal.signal(signal.SIGINT, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _end_of_time)
    signal.alarm(TIME_LIMIT_S)
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="medlardoor-demo-") as name:
        directory = pathlib.Path(name)
        try:
            controlled = None
            if "--uncontrolled" not in arguments:
                controlled = _run_half(directory / "controlled", DOCUMENT)
            uncontrolled = _run_half(directory / "uncontrolled", None)
        except (processes.StartError, _TimeLimitError, OSError) as error:
            _say(f"The demonstration failed: {error}")
            return 1
        except KeyboardInterrupt:
            _say("Interrupted.")
            return 130
    report = _report(controlled, uncontrolled)
    report["duration_s"] = round(time.monotonic() - began_at, 1)
    _say(json.dumps(report))
    return 0


def _run_half(directory, document):
    """Starts the chain, runs the load and counts the records."""
    directory.mkdir()
    label = "with control" if document else "without control"
    _say(f"{label}: starting the stand-ins")
    with processes.ProcessGroup(directory, STOP_TIMEOUT_S) as group:
        chain = chain_module.start_chain(group, document)
        settings = _load_settings(directory, chain, document is not None)
        anyio.run(_wait_ready, settings)
        _say(f"{label}: sending load")
        load = group.start_with_settings(
            "load",
            [*chain_module.STANDINS, "load"],
            settings.model_dump(mode="json"),
        )
        _follow(load, label)
    return tally.tally(
        directory / "load.jsonl",
        chain.records,
        WEIGHTS,
        OVERLOAD,
        frozenset(kind["name"] for kind in KINDS if kind.get("keyed")),
    )


def _load_settings(directory, chain, controlled):
    return settings_module.LoadSettings.model_validate(
        {
            "seed": 20,
            "controlled": controlled,
            "targets": chain.callers,
            "kinds": KINDS,
            "phases": PHASES,
            "record": str(directory / "load.jsonl"),
        }
    )


async def _wait_ready(settings):
    """Sends one request of each kind to each address until it is answered.

    Raises:
        processes.StartError: An address did not answer in time.
    """
    pool = connections.ConnectionPool()
    deadline = anyio.current_time() + READY_TIMEOUT_S
    for kind in settings.kinds:
        for address in settings.targets[kind.service]:
            await _wait_address(settings, kind, address, pool, deadline)
    await pool.aclose()


async def _wait_address(settings, kind, address, pool, deadline):
    sender = load_request.RequestSender(
        settings.model_copy(update={"targets": {kind.service: (address,)}}),
        pool,
        records.RecordFile(""),
    )
    number = 0
    while True:
        number += 1
        request = load_request.Request(
            kind, "ready", f"ready-{kind.name}-{address}-{number}", 0.0
        )
        await sender.send(request)
        if request.outcome == "whole":
            return
        if anyio.current_time() > deadline:
            raise processes.StartError(
                processes.NotListening(
                    f"{kind.service} at {address}",
                    f"{request.outcome}, {request.status} {request.reason}",
                )
            )
        await anyio.sleep(READY_INTERVAL_S)


def _follow(load, label):
    """Shows the progress of the load client until its summary."""
    while True:
        event = load.read_event(READY_TIMEOUT_S)
        if event is None:
            raise processes.StartError(
                processes.NotListening("load", "no progress")
            )
        if event["event"] == "summary":
            return
        outcomes = ", ".join(
            f"{name} {count}" for name, count in event["outcomes"].items()
        )
        _say(f"{label}: {event['t_s']:.0f} s, {event['sent']} sent, {outcomes}")


def _report(controlled, uncontrolled):
    report = {}
    if controlled is not None:
        report.update(dataclasses.asdict(controlled))
        ratio = controlled.goodput / max(uncontrolled.goodput, 1.0)
        report["goodput_ratio_vs_uncontrolled"] = round(ratio, 3)
    report["uncontrolled"] = dataclasses.asdict(uncontrolled)
    return report


def _say(line):
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _interrupt(number, frame):
    raise KeyboardInterrupt


def _end_of_time(number, frame):
    raise _TimeLimitError(f"It took more than {TIME_LIMIT_S} s.")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
