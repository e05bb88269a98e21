"""Models of the settings of the node and of the operator command."""

import pydantic

from medlardoor.config import base
from medlardoor.quarantine import settings as quarantine_settings

__all__ = [
    "AddressSettings",
    "AdminSettings",
    "AdmissionSettings",
    "GossipSettings",
    "LedgerSettings",
    "ListenerSettings",
    "NodeSettings",
    "OperatorSettings",
    "PromotionSettings",
    "StoreSettings",
    "UpstreamSettings",
]


class AddressSettings(base.Settings):
    """An IP address and a port; with port 0 the kernel chooses a port."""

    host: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65_535)


class ListenerSettings(base.Settings):
    """Limits of each HTTP listener.

    Connections above `max_connections` are closed at once. A request whose
    body, or a response whose reader, makes no progress for `idle_timeout_s` is
    aborted.
    """

    max_connections: int = pydantic.Field(default=2_048, ge=1)
    max_head_bytes: int = pydantic.Field(default=32_768, ge=1_024)
    head_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    idle_timeout_s: float = pydantic.Field(default=30.0, gt=0)


class UpstreamSettings(base.Settings):
    """Address, limits and load reports of the local upstream."""

    host: str = "127.0.0.1"
    port: int = pydantic.Field(ge=1, le=65_535)
    max_connections: int = pydantic.Field(default=512, ge=1)
    slots: int = pydantic.Field(default=64, ge=1)
    report_path: str = "/load"
    report_interval_s: float = pydantic.Field(default=0.5, gt=0)
    report_max_age_s: float = pydantic.Field(default=2.0, gt=0)
    connect_timeout_s: float = pydantic.Field(default=1.0, gt=0)


class StoreSettings(base.Settings):
    """Access to the object API of the platform."""

    url: str = "http://127.0.0.1:7400"
    timeout_s: float = pydantic.Field(default=2.0, gt=0)
    # A watch on a connection that has stopped working hides changes for this
    # time and `timeout_s`; a change must be in force within 13 s.
    watch_s: float = pydantic.Field(default=5.0, gt=0)


class GossipSettings(base.Settings):
    """Membership and failure detection."""

    interval_s: float = pydantic.Field(default=1.0, gt=0)
    fanout: int = pydantic.Field(default=2, ge=1, le=16)
    max_records: int = pydantic.Field(default=16, ge=1, le=16)
    suspect_after_s: float = pydantic.Field(default=3.0, gt=0)
    fail_after_s: float = pydantic.Field(default=6.0, gt=0)
    forget_after_s: float = pydantic.Field(default=60.0, gt=0)
    isolation_s: float = pydantic.Field(default=10.0, gt=0)
    directory_interval_s: float = pydantic.Field(default=2.0, gt=0)


class AdmissionSettings(base.Settings):
    """Admission level, queue and concurrency limit."""

    interval_s: float = pydantic.Field(default=0.1, gt=0)
    min_limit: int = pydantic.Field(default=2, ge=1)
    latency_factor: float = pydantic.Field(default=2.0, gt=1)
    baseline_window_s: float = pydantic.Field(default=60.0, gt=0)
    shrink_factor: float = pydantic.Field(default=0.9, gt=0, lt=1)
    stale_share: float = pydantic.Field(default=0.1, gt=0, le=1)
    cold_share: float = pydantic.Field(default=0.1, gt=0, le=1)


class LedgerSettings(base.Settings):
    """Records of idempotency keys."""

    keep_s: float = pydantic.Field(default=600.0, gt=0)
    max_records: int = pydantic.Field(default=50_000, ge=1)
    max_answer_bytes: int = pydantic.Field(default=16_384, ge=0)
    max_bytes: int = pydantic.Field(default=16_000_000, ge=0)


class AdminSettings(base.Settings):
    """Administration API; without tokens only loopback is permitted."""

    host: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65_535)
    tokens: dict[str, str] = pydantic.Field(default_factory=dict)


class PromotionSettings(base.Settings):
    """Promotion of documents.

    After a lost response, the object is read back and the update is repeated,
    up to `attempts` times. The pause starts at `pause_s`, doubles up to
    `max_pause_s`, and is multiplied by a random factor from 0.5 to 1.
    """

    attempts: int = pydantic.Field(default=6, ge=1, le=100)
    pause_s: float = pydantic.Field(default=0.1, gt=0)
    max_pause_s: float = pydantic.Field(default=2.0, gt=0)
    history_entries: int = pydantic.Field(default=20, ge=1, le=100)
    history_bytes: int = pydantic.Field(default=900_000, ge=1, le=1_000_000)


class NodeSettings(base.Settings):
    """Settings of the node process.

    `cluster_key` is the shared secret that authenticates messages between
    nodes. `seed_addresses` are gossip addresses ``host:port`` of other nodes
    of the service, contacted if the platform is unavailable at startup.
    """

    environment: str
    service: str
    instance: str
    failure_domain: str
    cluster_key: str = pydantic.Field(min_length=16)
    seed: int = 0
    caller: AddressSettings = AddressSettings()
    peer: AddressSettings = AddressSettings()
    egress: AddressSettings = AddressSettings()
    gossip: AddressSettings = AddressSettings()
    admin: AdminSettings = AdminSettings()
    listeners: ListenerSettings = ListenerSettings()
    upstream: UpstreamSettings
    store: StoreSettings = StoreSettings()
    seed_addresses: tuple[str, ...] = ()
    membership: GossipSettings = GossipSettings()
    admission: AdmissionSettings = AdmissionSettings()
    ledger: LedgerSettings = LedgerSettings()
    quarantine: quarantine_settings.QuarantineSettings = (
        quarantine_settings.QuarantineSettings()
    )
    promotion: PromotionSettings = PromotionSettings()
    drain_timeout_s: float = pydantic.Field(default=60.0, gt=0)
    forward_s: float = pydantic.Field(default=3.0, ge=0)
    log_level: str = "INFO"


class OperatorSettings(base.Settings):
    """Access of the operator command to a node.

    `timeout_s` allows for a promotion during which the node reads back the
    object from the platform several times.
    """

    node: pydantic.HttpUrl
    token: str = pydantic.Field(default="", pattern=r"^[!-~]{0,512}$")
    connect_timeout_s: float = pydantic.Field(default=5.0, gt=0)
    timeout_s: float = pydantic.Field(default=60.0, gt=0)
    read_back_attempts: int = pydantic.Field(default=5, ge=1)
    read_back_pause_s: float = pydantic.Field(default=1.0, gt=0)
