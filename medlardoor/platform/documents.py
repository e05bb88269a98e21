"""Decodes the operator's object ``config/main`` to a route document."""

import collections
import json
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.config import routes
from medlardoor.mesh import documents
from medlardoor.platform import names, settings
from medlardoor.teams import keys
from medlardoor.wire import ranges

__all__ = ["ConfigDecoder"]

# Large responses; otherwise like "safe".
_DOWNLOAD_KIND = "download"

# Requests of these kinds may run more than once.
_IDEMPOTENT_KINDS = frozenset({"safe", _DOWNLOAD_KIND})
_KNOWN_KINDS = _IDEMPOTENT_KINDS | {"unsafe", "upload"}


_Priority = typing.Annotated[
    int, pydantic.Field(ge=-ranges.MAX_PRIORITY, le=ranges.MAX_PRIORITY)
]
_Amount = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Part(_Model):
    service: str
    weight: _Amount


class _Action(_Model):
    # Either one service or a split, never both.
    service: str | None = None
    split: tuple[_Part, ...] = ()
    timeout: settings.Duration
    maxAttempts: int = pydantic.Field(ge=1)  # noqa: N815

    @pydantic.model_validator(mode="after")
    def _has_destination(self) -> typing.Self:
        if (self.service is None) == (not self.split):
            raise ValueError(
                "expected either service or split, got both or neither"
            )
        if self.split and sum(part.weight for part in self.split) <= 0:
            raise ValueError("expected split weights with a positive sum")
        return self


class _Match(_Model):
    pathPrefix: str = pydantic.Field(pattern="^/(.*/)?$")  # noqa: N815


class _Rule(_Model):
    name: str = ""
    kind: str
    # Time within which a response earns its full value.
    targetLatency: settings.Duration  # noqa: N815
    priority: _Priority
    # Whether requests carry no key.
    public: bool = False
    match: _Match
    action: _Action


class _Listener(_Model):
    # Contains all rules of one host name; it is not a socket.
    host: str
    rules: tuple[_Rule, ...] = ()


class _Cluster(_Model):
    name: str
    healthPath: str = "/health"  # noqa: N815
    maxConnections: int = 1  # noqa: N815


class _Limits(_Model):
    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 67_108_864  # noqa: N815
    headerTimeout: settings.Duration = 3.0  # noqa: N815
    idleTimeout: settings.Duration = 15.0  # noqa: N815


class _Tenant(_Model):
    # A team. Its keys are replaced by their digests when a document is read
    # from the store.
    # It is sent to upstreams in a header and is a label of metrics.
    name: str = pydantic.Field(pattern=r"^[!#-\[\]-~]{1,128}$")
    apiKeys: tuple[str, ...] = ()  # noqa: N815
    priority: _Priority | None = None
    ratePerS: _Amount = 0.0  # noqa: N815
    burst: _Amount = 0.0

    @pydantic.field_validator("apiKeys")
    @classmethod
    def _have_digests(cls, found: tuple[str, ...]) -> tuple[str, ...]:
        for key in found:
            keys.parse_digest(keys.digest_text(key))
        return found


class _Config(_Model):
    version: int = pydantic.Field(
        ge=-ranges.MAX_SEQUENCE, le=ranges.MAX_SEQUENCE
    )
    tenants: tuple[_Tenant, ...] | None = None
    listeners: tuple[_Listener, ...]
    clusters: tuple[_Cluster, ...] = ()
    limits: _Limits = _Limits()

    @pydantic.field_validator("tenants")
    @classmethod
    def _are_distinct(
        cls, tenants: tuple[_Tenant, ...] | None
    ) -> tuple[_Tenant, ...] | None:
        names = collections.Counter(each.name for each in tenants or ())
        holders = collections.Counter(
            digest
            for each in tenants or ()
            for digest in {keys.digest_text(key) for key in each.apiKeys}
        )
        if any(count > 1 for count in names.values()):
            raise ValueError("expected distinct names of teams")
        if any(count > 1 for count in holders.values()):
            raise ValueError("expected each key in one team only")
        return tenants


class ConfigDecoder(documents.DocumentDecoder):
    """Decodes the operator's object ``config/main``."""

    def decode(
        self, value: bytes
    ) -> result.Result[routes.RouteDocument, errors.InvalidInput]:
        """Decodes and validates a document; see `DocumentDecoder`."""
        try:
            config = _Config.model_validate_json(value)
        except pydantic.ValidationError as error:
            faults = tuple(
                errors.Fault(
                    ".".join(str(part) for part in found["loc"]),
                    0,
                    found["msg"],
                )
                for found in error.errors()
            )
            return result.Err(errors.InvalidInput(names.CONFIG_KEY, faults))
        return result.Ok(_to_document(config))

    def without_secrets(self, value: bytes) -> bytes:
        """Replaces keys by their digests; see `DocumentDecoder`."""
        content = json.loads(value)
        if not content.get("tenants"):
            return value
        for tenant in content["tenants"]:
            tenant["apiKeys"] = [
                keys.digest_text(key) for key in tenant.get("apiKeys", ())
            ]
        return json.dumps(content, separators=(",", ":")).encode()


def _to_document(config: _Config) -> routes.RouteDocument:
    limits = config.limits
    kinds = {rule.kind for each in config.listeners for rule in each.rules}
    return routes.RouteDocument(
        version=config.version,
        routes=tuple(
            _to_route(listener, rule)
            for listener in config.listeners
            for rule in listener.rules
        ),
        services={
            cluster.name: routes.ServiceEntry(
                cluster.name, cluster.healthPath, cluster.maxConnections
            )
            for cluster in config.clusters
        },
        limits=routes.ConnectionLimits(
            max_head_bytes=limits.maxHeaderBytes,
            max_body_bytes=limits.maxBodyBytes,
            head_timeout_s=limits.headerTimeout,
            idle_timeout_s=limits.idleTimeout,
        ),
        unknown_kinds=tuple(sorted(kinds - _KNOWN_KINDS)),
        teams=_to_teams(config.tenants),
        has_downloads=_DOWNLOAD_KIND in kinds,
    )


def _to_teams(
    tenants: tuple[_Tenant, ...] | None,
) -> tuple[keys.Team, ...] | None:
    if tenants is None:
        return None
    return tuple(
        keys.Team(
            name=tenant.name,
            key_digests=tuple(
                keys.parse_digest(keys.digest_text(key))
                for key in tenant.apiKeys
            ),
            priority=tenant.priority,
            rate_per_s=tenant.ratePerS,
            burst=tenant.burst,
        )
        for tenant in tenants
    )


def _to_route(listener: _Listener, rule: _Rule) -> routes.Route:
    action = rule.action
    if action.service is not None:
        destinations = (routes.Destination(action.service),)
    else:
        destinations = tuple(
            routes.Destination(part.service, part.weight)
            for part in action.split
            if part.weight > 0
        )
    return routes.Route(
        name=rule.name,
        host=listener.host.lower().encode(),
        path_prefix=rule.match.pathPrefix.encode(),
        idempotent=rule.kind in _IDEMPOTENT_KINDS,
        objective_s=rule.targetLatency,
        timeout_s=action.timeout,
        priority=rule.priority,
        max_attempts=action.maxAttempts,
        destinations=destinations,
        is_public=rule.public,
    )
