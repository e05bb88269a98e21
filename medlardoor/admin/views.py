"""State of a node as JSON values of the administration API."""

import dataclasses
import typing

import anyio
import anyio.lowlevel
import pydantic

from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.report import burn

__all__ = ["BurnView", "document_view", "refusals_view", "status_view"]

# Several phones may show the page of one node; the report of a kind takes
# about 7 ms to make.
BURN_CACHE_S = 2.0
SHOW_REFUSAL_S = 600.0


class _StoredDocument(pydantic.BaseModel):
    """Parts of the platform object that are shown."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    enforced: str | None = None
    trial: str | None = None
    author: str = ""
    note: str = ""


def status_view(
    board: board_module.Blackboard, environment: str, now: float
) -> dict[str, typing.Any]:
    """Answer of ``GET /v1/status``.

    The first member is the node itself; members of called services follow
    those of its own service.
    """
    policy, limits = board.policy, board.limits
    confirmed_at = policy.confirmed_at
    return {
        "environment": environment,
        "service": board.service,
        "instance": board.instance,
        "failure_domain": board.failure_domain,
        "version": policy.version,
        "trial": policy.trial is not None,
        "phase": board.shutdown.phase.value,
        "isolated": policy.isolated,
        "confirmed_age_s": (
            None if confirmed_at is None else _age_s(confirmed_at, now)
        ),
        "limit": limits.limit,
        "in_flight": limits.in_flight,
        "queued": limits.queued,
        "level": limits.effective_level,
        "members": _members(board),
        "traffic": dataclasses.asdict(board.traffic),
    }


def _members(board):
    own = {
        "instance": board.instance,
        "service": board.service,
        "state": board.membership.state.name.lower(),
        "failure_domain": board.failure_domain,
        "version": board.policy.version,
        "level": board.limits.effective_level,
    }
    groups = [board.membership.members, *board.membership.services.values()]
    return [own] + [
        _member(member)
        for group in groups
        for _, member in sorted(group.items())
    ]


def _member(member: topics.Member) -> dict[str, typing.Any]:
    return {
        "instance": member.instance,
        "service": member.service,
        "state": member.state.name.lower(),
        "failure_domain": member.failure_domain,
        "version": member.document_version,
        "level": member.level,
    }


def document_view(board: board_module.Blackboard) -> dict[str, typing.Any]:
    """Answer of ``GET /v1/document``.

    A value that cannot be read is shown as no document: the controller that
    adopts documents has checked it before.
    """
    try:
        stored = _StoredDocument.model_validate_json(board.policy.value)
    except pydantic.ValidationError:
        stored = _StoredDocument()
    return {"version": board.policy.version, **stored.model_dump()}


def refusals_view(
    board: board_module.Blackboard, now: float
) -> dict[str, typing.Any]:
    """Answer of ``GET /v1/refusals``, the latest first."""
    rows = sorted(
        board.outcomes.refusals.values(), key=lambda row: -row.last_at
    )
    return {
        "refusals": [
            {
                "team": row.team,
                "kind": row.kind,
                "reason": row.reason,
                "outcome": row.outcome,
                "count": row.count,
                "first_age_s": _age_s(row.first_at, now),
                "last_age_s": _age_s(row.last_at, now),
                "trial": row.trial,
            }
            for row in rows
            if now - row.last_at <= SHOW_REFUSAL_S
        ]
    }


class BurnView:
    """Answer of ``GET /v1/burn``, kept for `BURN_CACHE_S`.

    Args:
        board: Shared state.
    """

    def __init__(self, board: board_module.Blackboard):
        self._board = board
        self._lock = anyio.Lock()
        self._value: dict[str, typing.Any] | None = None
        self._made_at = 0.0

    async def value(self) -> dict[str, typing.Any]:
        """Gives the report; other tasks run between two kinds."""
        async with self._lock:
            now = anyio.current_time()
            if self._value is None or now - self._made_at >= BURN_CACHE_S:
                self._value = await self._make()
                self._made_at = now
            return self._value

    async def _make(self):
        kinds = []
        for name in sorted(self._board.outcomes.histograms):
            found = burn.kind_burn(self._board, name, anyio.current_time())
            if found is not None:
                kinds.append(found)
            await anyio.lowlevel.checkpoint()
        report = burn.BurnReport(instances=[self._board.instance], kinds=kinds)
        return burn.to_json(report)


def _age_s(at: float, now: float) -> float:
    return round(max(0.0, now - at), 1)
