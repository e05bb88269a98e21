"""Settings of the stand-ins; nothing here is part of the system."""

import pydantic

from medlardoor.config import base

__all__ = [
    "ChildCallSettings",
    "KindLoadSettings",
    "LoadSettings",
    "PhaseSettings",
    "UpstreamStandinSettings",
]


class ChildCallSettings(base.Settings):
    """Calls that an upstream stand-in makes while it runs a request.

    `on_path` limits the calls to targets with this prefix. `parallel` sends
    all `count` calls at once instead of one after the other.
    """

    service: str
    path: str = "/"
    method: str = "GET"
    count: int = pydantic.Field(default=1, ge=1)
    parallel: bool = False
    on_path: str = "/"


class UpstreamStandinSettings(base.Settings):
    """An upstream stand-in.

    `queue_limit` bounds the requests that wait for a slot; None is the
    behaviour of an upstream without control. Children are called through
    `egress` or, without control, at the addresses in `direct` with
    `direct_retries` retries at each hop.
    """

    host: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65_535)
    service: str
    instance: str = ""
    slots: int = pydantic.Field(default=64, ge=1)
    queue_limit: int | None = pydantic.Field(default=None, ge=0)
    mean_ms: float = pydantic.Field(default=10.0, ge=0)
    sigma: float = pydantic.Field(default=0.3, ge=0)
    seed: int = 0
    children: tuple[ChildCallSettings, ...] = ()
    child_timeout_ms: int = pydantic.Field(default=5_000, ge=1)
    egress: str = ""
    direct: dict[str, tuple[str, ...]] = pydantic.Field(default_factory=dict)
    direct_retries: int = pydantic.Field(default=2, ge=0)
    record: str = ""
    cold_s: float = pydantic.Field(default=0.0, ge=0)
    cold_factor: float = pydantic.Field(default=1.0, ge=1)
    starting_s: float = pydantic.Field(default=0.0, ge=0)
    drain_grace_s: float = pydantic.Field(default=1.5, ge=0)


class KindLoadSettings(base.Settings):
    """Requests of one kind that the load client sends.

    `resends` is the number of resends after a failure; with
    `honour_retry_after` the client waits as long as the answer states,
    and `resend_delay_s` more. With `twice` each attempt is sent at once to two
    addresses, with `alter_copy` the second time with another body. `upload_s`
    is the time that the body takes to send.
    """

    name: str
    service: str
    method: str = "GET"
    path: str = "/"
    body_bytes: int = pydantic.Field(default=0, ge=0)
    timeout_ms: int = pydantic.Field(default=1_000, ge=1)
    keyed: bool = False
    resends: int = pydantic.Field(default=0, ge=0)
    honour_retry_after: bool = False
    resend_unknown: bool = True
    resend_delay_s: float = pydantic.Field(default=0.0, ge=0)
    twice: bool = False
    alter_copy: bool = False
    upload_s: float = pydantic.Field(default=0.0, ge=0)


class PhaseSettings(base.Settings):
    """A phase of the load; `rates` are requests a second by kind."""

    name: str
    duration_s: float = pydantic.Field(gt=0)
    rates: dict[str, float]


class LoadSettings(base.Settings):
    """The load client.

    `targets` are caller addresses by service. Without control
    (`controlled` false) keys are random UUIDs and no key endpoint is used.
    """

    seed: int = 0
    controlled: bool = True
    targets: dict[str, tuple[str, ...]]
    kinds: tuple[KindLoadSettings, ...]
    phases: tuple[PhaseSettings, ...]
    record: str = ""
    key_batch: int = pydantic.Field(default=64, ge=1, le=1_000)
    max_outstanding: int = pydantic.Field(default=5_000, ge=1)
