"""One request of the load client with its resends; not part of the system."""

import dataclasses
import json
import random
import time
import uuid

import anyio

from medlardoor.standins import connections, digests, records
from medlardoor.standins import settings as settings_module

__all__ = ["Request", "RequestSender"]

KEYS_PATH = "/.medlardoor/keys"
KEYS_TIMEOUT_S = 2.0
# A node answers 428 to a key that no node issued; a second key from a 428
# answer is valid unless its node stops in between.
MAX_KEY_ADOPTIONS = 3
NOT_RUN = "refused_not_run"
# The outcome of two copies that were sent at once is the first of these.
_PREFERENCE = ("wrong_answer", "whole", "unknown", "failed", NOT_RUN)
_OUTCOMES = {"not-run": NOT_RUN, "unknown": "unknown"}


@dataclasses.dataclass(slots=True)
class Request:
    """One request and what became of it.

    Attributes:
        kind: Settings of its kind.
        phase: Phase that it arrived in.
        request_id: Value of X-Request-ID, the same for all resends.
        arrived_at: When it was due, in seconds.
        key: Idempotency key, or the empty string.
        attempts: Attempts so far, key adoptions not counted.
        outcome: Final outcome.
        status: Status code of the last answer; 0 without an answer.
        reason: Reason of the last failure, or the empty string.
    """

    kind: settings_module.KindLoadSettings
    phase: str
    request_id: str
    arrived_at: float
    key: str = ""
    attempts: int = 0
    outcome: str = "failed"
    status: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    outcome: str
    status: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    key: str = ""
    next_key: str = ""


class RequestSender:
    """Sends requests, obtains their keys and records each attempt.

    Args:
        settings: Settings of the load client.
        pool: Connections to use.
        record: Record file.
    """

    def __init__(
        self,
        settings: settings_module.LoadSettings,
        pool: connections.ConnectionPool,
        record: records.RecordFile,
    ):
        self._settings = settings
        self._pool = pool
        self._record = record
        self._random = random.Random(settings.seed)
        self._stocks = {}
        if settings.controlled:
            self._stocks = {
                kind.service: [] for kind in settings.kinds if kind.keyed
            }
        self._filling = set()

    async def fill_key_stocks(self) -> None:
        """Gets a first batch of keys for every service with keyed kinds."""
        for service in self._stocks:
            await self._fill(service)

    async def send(self, request: Request) -> None:
        """Sends a request until it is answered or may not be resent."""
        await self._assign_key(request)
        adoptions = 0
        doubtful = False
        while True:
            attempt = await self._attempt(request)
            self._keep_keys(request, attempt)
            adopts = attempt.status == 428 and bool(attempt.key)
            if adopts and adoptions < MAX_KEY_ADOPTIONS:
                adoptions += 1
                continue
            request.attempts += 1
            if not self._may_resend(request, attempt):
                break
            doubtful = doubtful or attempt.outcome in ("unknown", "failed")
            if request.kind.honour_retry_after:
                await anyio.sleep(attempt.retry_after_s)
            if request.kind.resend_delay_s:
                await anyio.sleep(request.kind.resend_delay_s)
        request.outcome = attempt.outcome
        request.status = attempt.status
        request.reason = attempt.reason
        issued = request.kind.keyed and self._settings.controlled
        # An answer for an issued key covers all attempts with this key; any
        # other answer only covers the last attempt.
        if attempt.outcome == NOT_RUN and doubtful and not issued:
            request.outcome = "unknown"

    def _may_resend(self, request, attempt):
        if attempt.outcome in ("whole", "wrong_answer"):
            return False
        if attempt.outcome == "unknown" and not request.kind.resend_unknown:
            return False
        return request.attempts <= request.kind.resends

    async def _assign_key(self, request):
        if not request.kind.keyed:
            return
        if not self._settings.controlled:
            request.key = str(uuid.UUID(int=self._random.getrandbits(128)))
            return
        stock = self._stocks[request.kind.service]
        if len(stock) <= self._settings.key_batch // 4:
            await self._fill(request.kind.service)
        # Without a key the node answers 428 with one.
        if stock:
            request.key = stock.pop(0)

    async def _fill(self, service):
        if service in self._filling:
            return
        self._filling.add(service)
        body = json.dumps({"count": self._settings.key_batch}).encode()
        message = connections.Message(
            "POST", KEYS_PATH, {"Content-Type": "application/json"}, body
        )
        try:
            exchange = await self._pool.exchange(
                self._address(service), message, KEYS_TIMEOUT_S
            )
        finally:
            self._filling.discard(service)
        if exchange.is_ok() and exchange.ok_value.status == 200:
            keys = _parse(exchange.ok_value.body).get("keys", [])
            self._stocks[service].extend(keys)

    def _keep_keys(self, request, attempt):
        if attempt.key:
            request.key = attempt.key
        stock = self._stocks.get(request.kind.service)
        if attempt.next_key and stock is not None:
            stock.append(attempt.next_key)

    def _address(self, service):
        return self._random.choice(self._settings.targets[service])

    async def _attempt(self, request):
        kind = request.kind
        body = request.request_id.encode().ljust(kind.body_bytes, b".")
        body = body[: kind.body_bytes]
        if not kind.twice:
            return await self._send_to(
                self._address(kind.service), request, body
            )
        copy = body[::-1] if kind.alter_copy else body
        targets = self._settings.targets[kind.service]
        addresses = self._random.sample(targets, 2)
        attempts = []

        async def send(address, content):
            attempts.append(await self._send_to(address, request, content))

        async with anyio.create_task_group() as group:
            group.start_soon(send, addresses[0], body)
            group.start_soon(send, addresses[1], copy)
        return min(attempts, key=lambda a: _PREFERENCE.index(a.outcome))

    async def _send_to(self, address, request, body):
        kind = request.kind
        key = request.key
        identity = digests.RequestIdentity(
            kind.method,
            kind.path,
            request.request_id,
            digests.body_digest(body),
        )
        timeout_s = kind.timeout_ms / 1_000
        headers = {
            "X-Request-ID": request.request_id,
            "grpc-timeout": digests.format_timeout(timeout_s),
        }
        if key:
            headers["Idempotency-Key"] = key
        began_at = time.monotonic()
        message = connections.Message(
            kind.method, kind.path, headers, body, kind.upload_s
        )
        exchange = await self._pool.exchange(address, message, timeout_s)
        attempt = _judge(identity, exchange)
        self._record.write(
            "attempt",
            id=request.request_id,
            kind=kind.name,
            address=address,
            number=request.attempts + 1,
            key=key,
            outcome=attempt.outcome,
            status=attempt.status,
            reason=attempt.reason,
            latency_ms=round((time.monotonic() - began_at) * 1_000, 3),
        )
        return attempt


def _judge(identity, exchange):
    if exchange.is_err():
        failure = exchange.err_value
        outcome = "unknown" if failure.sent else "failed"
        return _Attempt(outcome, reason=failure.detail)
    answer = exchange.ok_value
    keys = {
        "key": answer.headers.get("idempotency-key", ""),
        "next_key": answer.headers.get("idempotency-key-next", ""),
    }
    if 200 <= answer.status < 300:
        whole = digests.verify_answer(
            identity, answer.body, digests.padding_of(identity.target)
        )
        outcome = "whole" if whole else "wrong_answer"
        return _Attempt(outcome, answer.status, **keys)
    stated = answer.headers.get("medlardoor-outcome", "")
    problem = _parse(answer.body)
    reason = problem.get("reason") or problem.get("child_reason")
    return _Attempt(
        outcome=_OUTCOMES.get(stated, "failed"),
        status=answer.status,
        reason=str(reason or f"http_{answer.status}"),
        retry_after_s=_seconds(answer.headers.get("retry-after", "")),
        **keys,
    )


def _seconds(text):
    return float(text) if text.isdecimal() else 0.0


def _parse(body):
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
