"""Memory per key and time per operation of the key ledger.

Run with ``python -m medlardoor.bench.ledger_slopes``; prints one JSON line
per figure.
"""

import hashlib
import json
import sys
import time
import tracemalloc
import typing

from medlardoor import errors
from medlardoor.config import settings as settings_module
from medlardoor.ledger import keys, records

__all__ = ["main"]

COUNT = 20_000
SETTINGS = settings_module.LedgerSettings(max_bytes=1_000_000_000)


def _ledger() -> tuple[keys.KeyIssuer, records.Ledger]:
    issuer = keys.KeyIssuer(SETTINGS, "order-1", "p" * 16, "s" * 32)
    return issuer, records.Ledger(SETTINGS, issuer)


def _issue_all(issuer: keys.KeyIssuer) -> list[str]:
    batches = -(-COUNT // keys.MAX_KEYS_PER_BATCH)
    issued = [
        issuer.issue(keys.MAX_KEYS_PER_BATCH, 0.0) for _ in range(batches)
    ]
    return [key for batch in issued for key in batch][:COUNT]


def _print(name: str, value: float, unit: str) -> None:
    line = {"figure": name, "value": round(value, 2), "unit": unit}
    sys.stdout.write(json.dumps(line) + "\n")


def _measure_time(name: str, operation: typing.Callable[[], None]) -> None:
    start = time.perf_counter()
    operation()
    elapsed = time.perf_counter() - start
    _print(name, elapsed / COUNT * 1e6, "us per key")


def _begin_all(ledger: records.Ledger, issued: list[str]) -> None:
    for key in issued:
        digest = hashlib.sha256(key.encode()).digest()
        ledger.begin(key, digest, 0.0)


def _complete_all(ledger: records.Ledger, issued: list[str]) -> None:
    for key in issued:
        ledger.complete(key, errors.Outcome.ANSWERED, None, 1.0)


def _measure_memory() -> None:
    issuer, ledger = _ledger()
    tracemalloc.start()
    _issue_all(issuer)
    before = tracemalloc.get_traced_memory()[0]
    _print("issued key", before / COUNT, "bytes per key")
    issued = _issue_all(issuer)
    before = tracemalloc.get_traced_memory()[0]
    _begin_all(ledger, issued)
    _complete_all(ledger, issued)
    after = tracemalloc.get_traced_memory()[0]
    _print("record", (after - before) / COUNT, "bytes per key")
    ledger.expire(2.0 + SETTINGS.keep_s)
    left = tracemalloc.get_traced_memory()[0]
    _print("after expiry", (left - before) / COUNT, "bytes per key")
    tracemalloc.stop()


def main() -> None:
    """Prints all figures."""
    issuer, ledger = _ledger()
    _measure_time("issue", lambda: _issue_all(issuer))
    issued = _issue_all(issuer)
    _measure_time("parse", lambda: [issuer.parse(key) for key in issued])
    _measure_time("first begin", lambda: _begin_all(ledger, issued))
    _measure_time("join", lambda: _begin_all(ledger, issued))
    _measure_time("complete", lambda: _complete_all(ledger, issued))
    _measure_time("expire", lambda: ledger.expire(2.0 + SETTINGS.keep_s))
    _measure_memory()


if __name__ == "__main__":
    main()
