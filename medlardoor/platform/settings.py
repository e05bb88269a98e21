"""The platform's settings file as settings of the product."""

import random
import resource
import time
import typing

import pydantic
import result

from medlardoor import errors
from medlardoor.admission import connection_budget
from medlardoor.config import files as files_module
from medlardoor.mesh import settings as mesh_settings
from medlardoor.platform import names
from medlardoor.retries import shares
from medlardoor.routing import placement
from medlardoor.wire import ranges

__all__ = ["PlatformSettings", "durations_s", "load", "parse", "to_mesh"]

# A repeated run makes its own calls once more, and these count as repeats at
# the services below. Each hop therefore uses its part of the ratio; the users'
# chains are four hops deep. The slack is kept for what cannot be foreseen.
CHAIN_HOPS = 4
RETRY_RATIO_SHARE = 0.9 / CHAIN_HOPS
RETRY_SLACK_SHARE = 0.1

# Where a run makes no calls, a repeat adds nothing elsewhere. The rest of the
# ratio is for repeats that several hops above cause together.
TOTAL_RETRY_RATIO_SHARE = 0.9

# Memory of a node without bodies, with links to many others, in megabytes.
PROCESS_MB = 80

# Share of the rest that is for bodies: each is copied once on its way, from
# the pieces to the whole or from the whole to a frame.
BUFFER_SHARE = 0.5
LEAST_BUFFER_MB = 8.0

# Descriptors of the process that are for files, and at most this share of
# them; a smaller process has fewer files.
FILE_DESCRIPTORS = 200
MAX_FILE_SHARE = 0.25

# Descriptors kept from callers: for connections to the upstream and the store,
# links, readiness and control. A quarter of those on listeners of the platform.
RESERVED_SHARE = 0.25
LEAST_RESERVED = 64
INTERNAL_SHARE = 0.25

# The link listener takes the port that the platform reserves for traffic
# between nodes. Metrics use the last one of the internal ports.
_UNITS_S = {"ms": 0.001, "s": 1.0}


def durations_s(value: str) -> float:
    """Converts a time such as ``1500ms`` or ``2.5s`` to seconds.

    Raises:
        ValueError: The text is not a number with a unit, or the time is longer
            than messages between nodes can carry.
    """
    for unit, factor in _UNITS_S.items():
        number = value.removesuffix(unit)
        if number != value and number.replace(".", "", 1).isdigit():
            duration_s = float(number) * factor
            if duration_s > ranges.MAX_DURATION_S:
                raise ValueError(f"at most {ranges.MAX_DURATION_S:.0f}s")
            return duration_s
    raise ValueError("a number followed by ms or s")


def _address(value: typing.Any) -> mesh_settings.Address:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("an address such as 10.1.0.8:8300")
    return mesh_settings.Address(host, int(port))


Duration = typing.Annotated[float, pydantic.BeforeValidator(durations_s)]
Address = typing.Annotated[
    mesh_settings.Address, pydantic.PlainValidator(_address)
]


class _Model(pydantic.BaseModel):
    # New fields may come with any release of the platform.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Limits(_Model):
    memoryMb: int = pydantic.Field(default=300, ge=1)  # noqa: N815
    # File descriptors of the process.
    maxFds: int = pydantic.Field(default=4_100, ge=1)  # noqa: N815


class _Self(_Model):
    node: str
    # Address that other nodes dial, if it is not that of the listener.
    linkAddr: Address | None = None  # noqa: N815
    ip: str
    zone: str
    service: str
    appAddr: Address  # noqa: N815
    limits: _Limits = _Limits()


class _Listen(_Model):
    inbound: Address
    outbound: Address
    ready: Address
    control: Address


class _Network(_Model):
    listen: _Listen
    internalPorts: str = ""  # noqa: N815


class _Store(_Model):
    address: Address
    # Size of the largest object.
    valueBytes: int = pydantic.Field(default=1_048_576, ge=1)  # noqa: N815


class _Platform(_Model):
    platform: _Store


class _Bounds(_Model):
    # Time after its confirmation in which a document must be in force.
    config: Duration = 2.0
    grace: Duration = 6.0
    budgetRatio: float = 0.2  # noqa: N815
    budgetWindow: Duration = 10.0  # noqa: N815
    budgetSlack: float = 40.0  # noqa: N815


class _Terms(_Model):
    bounds: _Bounds = _Bounds()


class PlatformSettings(_Model):
    """Settings file of a process; the attributes are the platform's tables."""

    self: _Self
    network: _Network
    platform: _Platform
    terms: _Terms = _Terms()


def load(path: str) -> result.Result[PlatformSettings, errors.InvalidInput]:
    """Loads the settings file.

    Args:
        path: The file.

    Returns:
        The settings, or every fault with its path and line.
    """
    return files_module.read_text(path).and_then(lambda text: parse(path, text))


def parse(
    source: str, text: str
) -> result.Result[PlatformSettings, errors.InvalidInput]:
    """Parses lines of the form ``a.b=value``.

    Args:
        source: Name of the file, for messages.
        text: Its content.
    """
    tree: dict[str, typing.Any] = {}
    lines: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        path, separator, value = line.strip().partition("=")
        if not separator or path.startswith("#"):
            continue
        *parents, name = path.split(".")
        table = tree
        for parent in parents:
            found = table.setdefault(parent, {})
            table = found if isinstance(found, dict) else {}
        table[name] = value
        lines[path] = number
    try:
        return result.Ok(PlatformSettings.model_validate(tree))
    except pydantic.ValidationError as error:
        faults = tuple(_fault(found, lines) for found in error.errors())
        return result.Err(errors.InvalidInput(source, faults))


def to_mesh(settings: PlatformSettings) -> mesh_settings.MeshSettings:
    """Translates the platform's settings to those of the product."""
    own = settings.self
    listen = settings.network.listen
    bounds = settings.terms.bounds
    incarnation = time.time_ns() // 1_000_000
    return mesh_settings.MeshSettings(
        instance=own.node,
        service=own.service,
        failure_domain=own.zone,
        incarnation=incarnation,
        seed=random.SystemRandom().getrandbits(64),
        upstream=own.appAddr,
        caller_address=listen.outbound,
        link_address=listen.inbound,
        advertised_address=own.linkAddr or listen.inbound,
        ready_address=listen.ready,
        control_address=listen.control,
        metrics_address=_metrics_address(settings),
        headers=names.HEADERS,
        documents=mesh_settings.DocumentSettings(in_force_s=bounds.config),
        stop=mesh_settings.StopSettings(grace_s=bounds.grace),
        retries=shares.RetryShareSettings(
            window_s=bounds.budgetWindow,
            ratio=bounds.budgetRatio * RETRY_RATIO_SHARE,
            total_ratio=bounds.budgetRatio * TOTAL_RETRY_RATIO_SHARE,
            slack=bounds.budgetSlack * RETRY_SLACK_SHARE,
        ),
        placement=placement.PlacementSettings(failure_domain=own.zone),
        clients=client_settings(own.limits.maxFds),
        buffer_bytes=_buffer_bytes(own.limits.memoryMb),
    )


def client_settings(
    max_descriptors: int,
) -> connection_budget.ClientSettings:
    """Divides the descriptors of the process.

    Args:
        max_descriptors: Limit in the settings file. The limit of the process
            applies if it is lower.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, soft_limit)
    files = min(FILE_DESCRIPTORS, int(max_descriptors * MAX_FILE_SHARE))
    sockets = max_descriptors - files
    reserved = max(LEAST_RESERVED, int(sockets * RESERVED_SHARE))
    # A process with very few descriptors still serves some callers.
    reserved = min(reserved, sockets // 2)
    return connection_budget.ClientSettings(
        max_connections=max(1, sockets - reserved),
        max_internal_connections=max(4, int(reserved * INTERNAL_SHARE)),
    )


def _buffer_bytes(memory_mb: int) -> int:
    free_mb = max(0.0, memory_mb - PROCESS_MB) * BUFFER_SHARE
    return int(max(free_mb, LEAST_BUFFER_MB) * 1_000_000)


def _metrics_address(
    settings: PlatformSettings,
) -> mesh_settings.Address | None:
    first, _, last = settings.network.internalPorts.partition(",")
    if not last.isdigit():
        return None
    return mesh_settings.Address(settings.self.ip, int(last))


def _fault(found: typing.Any, lines: dict[str, int]) -> errors.Fault:
    path = ".".join(str(part) for part in found["loc"])
    return errors.Fault(path, lines.get(path, 0), found["msg"])
