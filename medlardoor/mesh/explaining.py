"""Page that tells where a request would go now; it changes no state.

The page shows names of teams, but no keys or digests of keys.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import json
import urllib.parse

import pydantic
import result

from medlardoor import errors
from medlardoor.config import error_texts
from medlardoor.config import routes as routes_module
from medlardoor.mesh import documents, entry_levels, observing, sends
from medlardoor.routing import explanation
from medlardoor.teams import keys

__all__ = [
    "ExplainFailure",
    "ExplainPage",
    "ExplainQuery",
    "Explainer",
    "InvalidQuery",
]

# Limit on the encoded query; each byte takes up to 3 characters.
MAX_QUERY_BYTES = 8_192

MAX_HOST_CHARACTERS = 255
MAX_PATH_CHARACTERS = 2_048
MAX_TEAM_CHARACTERS = 128

_OK = 200
_INVALID_QUERY = 400

_EXPLANATIONS = pydantic.TypeAdapter(explanation.Explanation)


class ExplainQuery(pydantic.BaseModel):
    """Parameters of the page."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: str = pydantic.Field(
        max_length=MAX_HOST_CHARACTERS, pattern=r"^[!-~]+$"
    )
    path: str = pydantic.Field(
        max_length=MAX_PATH_CHARACTERS, pattern=r"^/[!-~]*$"
    )
    team: str = pydantic.Field(default="", max_length=MAX_TEAM_CHARACTERS)


class Cause(enum.Enum):
    """Why a request cannot be explained, with the HTTP status of the page."""

    NO_DOCUMENT = 503
    NO_ROUTE = 404
    NO_TEAM = 422


_MESSAGES = {
    Cause.NO_DOCUMENT: "The node has no document yet and refuses all requests.",
    Cause.NO_ROUTE: "No route matches; the request is refused (unknown_kind).",
    Cause.NO_TEAM: "The document in force has no team of this name.",
}


@dataclasses.dataclass(frozen=True)
class ExplainFailure(errors.Failure):
    """A request that cannot be explained.

    Attributes:
        cause: Why.
    """

    cause: Cause

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return _MESSAGES[self.cause]


@dataclasses.dataclass(frozen=True)
class InvalidQuery(errors.Failure):
    """A query that failed validation.

    Attributes:
        name: Name of the parameter, or ``query`` for the whole.
        expected: What is valid there, phrased to follow the word "expected".
    """

    name: str
    expected: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"{self.name}: expected {self.expected}"


class Explainer:
    """Asks the decision components of a node without changing their state.

    Args:
        instance: Name of this instance.
        holder: Holds the document of routes in force.
        levels: Decides the levels of callers' requests.
        shared: Components shared by all calls of the node.
        process_ends_at: Returns when the process ends, in seconds of the event
            loop's clock; None if no stop has begun.
    """

    def __init__(
        self,
        instance: str,
        holder: documents.DocumentHolder,
        levels: entry_levels.EntryLevels,
        shared: sends.SharedState,
        process_ends_at: collections.abc.Callable[[], float | None],
    ):
        self._instance = instance
        self._holder = holder
        self._levels = levels
        self._shared = shared
        self._process_ends_at = process_ends_at

    def explain(
        self, query: ExplainQuery, now: float
    ) -> result.Result[explanation.Explanation, ExplainFailure]:
        """Explains where a request that arrives now would go.

        Args:
            query: Describes the request.
            now: Current time, in seconds.
        """
        table = self._holder.table
        if table is None:
            return result.Err(ExplainFailure(Cause.NO_DOCUMENT))
        route = table.find(query.host.encode(), query.path.encode())
        if route is None:
            return result.Err(ExplainFailure(Cause.NO_ROUTE))
        team = None
        if query.team:
            named = (t for t in table.document.teams or ())
            team = next((t for t in named if t.name == query.team), None)
            if team is None:
                return result.Err(ExplainFailure(Cause.NO_TEAM))
        return result.Ok(self._explain(table, route, team, now))

    def _explain(
        self,
        table: routes_module.RouteTable,
        route: routes_module.Route,
        team: keys.Team | None,
        now: float,
    ) -> explanation.Explanation:
        paths = self._shared.paths
        level_range = explanation.LevelRange(
            *self._levels.level_range(route, team)
        )
        path_levels = level_range.nested
        path_decision = explanation.decide_on_path(
            paths, route, path_levels, now
        )
        services = self._explain_services(route, level_range, now)
        refusal = self._refusal(table, route, team, now)
        return explanation.Explanation(
            instance=self._instance,
            document_version=self._holder.version.number,
            route=route.name,
            host=route.host.decode(errors="replace"),
            path_prefix=route.path_prefix.decode(errors="replace"),
            team="" if team is None else team.name,
            team_rate_per_s=0.0 if team is None else team.rate_per_s,
            importance=table.importance_of(route, team),
            levels=level_range,
            path_levels=path_levels,
            path_admission_level=paths.peek_level(route.name, now),
            path_decision=path_decision,
            decision=explanation.decide(refusal, path_decision, services),
            services=services,
        )

    def _refusal(
        self,
        table: routes_module.RouteTable,
        route: routes_module.Route,
        team: keys.Team | None,
        now: float,
    ) -> errors.Reason | None:
        """Returns why a request is refused before its level is decided."""
        if table.has_teams and team is None and not route.is_public:
            return errors.Reason.CREDENTIALS_MISSING
        ends_at = self._process_ends_at()
        if ends_at is not None and now + route.timeout_s > ends_at:
            return errors.Reason.LEAVING
        return None

    def _explain_services(
        self,
        route: routes_module.Route,
        level_range: explanation.LevelRange,
        now: float,
    ) -> tuple[explanation.ServiceExplanation, ...]:
        shared = self._shared
        total = sum(destination.weight for destination in route.destinations)
        return tuple(
            explanation.explain_service(
                destination,
                destination.weight / total if total else 0.0,
                shared.placement,
                shared.fleet.peek_candidates(destination.service),
                shared.domain_placement.shares(destination.service),
                level_range,
                now,
            )
            for destination in route.destinations
        )


class ExplainPage(observing.Page):
    """Serves explanations as JSON.

    Args:
        explainer: Explains requests.
    """

    def __init__(self, explainer: Explainer):
        self._explainer = explainer

    @property
    def content_type(self) -> bytes:
        """JSON."""
        return b"application/json"

    def render(self, query: bytes) -> tuple[int, str]:
        """Returns the explanation; see `Page`."""
        parsed = _parse_query(query)
        if parsed.is_err():
            return _INVALID_QUERY, _detail(parsed.err_value.message)
        now = asyncio.get_running_loop().time()
        found = self._explainer.explain(parsed.ok_value, now)
        if found.is_err():
            failure = found.err_value
            return failure.cause.value, _detail(failure.message)
        return _OK, _EXPLANATIONS.dump_json(found.ok_value).decode()


def _parse_query(
    query: bytes,
) -> result.Result[ExplainQuery, InvalidQuery]:
    """Checks the query of the page."""
    if len(query) > MAX_QUERY_BYTES:
        return _invalid("query", f"at most {MAX_QUERY_BYTES} bytes")
    try:
        pairs = urllib.parse.parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=True,
            errors="strict",
            max_num_fields=len(ExplainQuery.model_fields),
        )
    except ValueError:
        return _invalid("query", "host, path and team, each at most once")
    if len(dict(pairs)) < len(pairs):
        return _invalid("query", "each parameter at most once")
    try:
        return result.Ok(ExplainQuery.model_validate(dict(pairs)))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        known = first["loc"][0] in ExplainQuery.model_fields
        if not known:
            return _invalid("query", "only the parameters host, path and team")
        return _invalid(first["loc"][0], error_texts.describe_error(first))


def _invalid(name: str, expected: str) -> result.Err[InvalidQuery]:
    return result.Err(InvalidQuery(name, expected))


def _detail(text: str) -> str:
    return json.dumps({"detail": text})
