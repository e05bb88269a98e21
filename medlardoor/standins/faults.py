"""Faults and load reports of the upstream stand-in; not part of the system."""

import dataclasses
import typing

import anyio
import pydantic
import result

from medlardoor import errors
from medlardoor.config import base
from medlardoor.standins import answers

__all__ = ["Faults", "LoadReport", "LoadReports", "parse_faults"]


class Faults(base.Settings):
    """Faults that a stand-in shows.

    `report` is ``ok``; ``stale``: the report of the time when the fault began,
    with its age in the Age header; ``lie``: `reported_slots` slots, none in
    use; ``silent``: no answer. `shed` is the share of
    requests refused as not run. A request that contains `crash_on` in its
    target or body ends the process at once.
    """

    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    report: typing.Literal["ok", "stale", "lie", "silent"] = "ok"
    reported_slots: int = pydantic.Field(default=0, ge=0)
    shed: float = pydantic.Field(default=0.0, ge=0, le=1)
    draining: bool = False
    crash_on: str = ""


def parse_faults(
    body: bytes,
) -> result.Result[Faults, errors.InvalidInput]:
    """Checks a request that sets the faults."""
    try:
        return result.Ok(Faults.model_validate_json(body))
    except pydantic.ValidationError as error:
        rows = tuple(
            errors.Fault(".".join(["$", *map(str, row["loc"])]), 0, row["msg"])
            for row in error.errors()
        )
        return result.Err(errors.InvalidInput("/standin/faults", rows))


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a stand-in as it would report it without faults."""

    slots: int
    in_use: int
    queued: int
    state: str


class LoadReports:
    """Answers ``GET /load`` with the faults that are set.

    Args:
        start_id: Identifier of the start of the stand-in.
    """

    def __init__(self, start_id: str):
        self._start_id = start_id
        self._frozen = None
        self._frozen_at = 0.0

    async def answer(
        self,
        faults: Faults,
        report: LoadReport,
        receive: answers.Receive,
        send: answers.Send,
    ) -> None:
        """Sends the report that the faults lead to."""
        if faults.report == "silent":
            await _wait_for_disconnect(receive)
            return
        now = anyio.current_time()
        headers = [(b"content-type", b"application/json")]
        if faults.report != "stale":
            self._frozen = None
        elif self._frozen is None:
            self._frozen = report
            self._frozen_at = now
        if self._frozen is not None:
            report = self._frozen
            age_s = int(now - self._frozen_at)
            headers.append((b"age", str(age_s).encode()))
        if faults.report == "lie":
            report = dataclasses.replace(
                report, slots=faults.reported_slots, in_use=0, queued=0
            )
        value = {**dataclasses.asdict(report), "start_id": self._start_id}
        await answers.send_json(send, 200, value, tuple(headers))


async def _wait_for_disconnect(receive):
    message = {"type": ""}
    while message["type"] != "http.disconnect":
        message = await receive()
