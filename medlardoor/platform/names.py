"""Names that the platform uses on the wire."""

from medlardoor.mesh import settings as settings_module

__all__ = [
    "BEAT_PATH",
    "CONFIG_KEY",
    "HEADERS",
    "LEAVE_PATH",
    "OBJECTS_PATH",
    "SETTINGS_VARIABLE",
    "STORE_ERA_HEADER",
]

HEADERS = settings_module.HeaderNames(
    attempt_id=b"X-Medlardoor-Attempt-Id",
    deadline_ms=b"X-Medlardoor-Deadline-Ms",
    seal=b"X-Medlardoor-Response-Seal",
    expected_upstream=b"X-Medlardoor-Expect-Instance",
    upstream_id=b"X-Medlardoor-Instance-Id",
    load=b"X-Medlardoor-Instance-Load",
    not_run=b"X-Medlardoor-Not-Executed",
    caller_service=b"X-Medlardoor-Caller-Service",
    team=b"X-Medlardoor-Tenant",
    rate_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
    credential_scheme=b"Token",
)

# Paths of heartbeats and deregistrations of upstreams; the identifier of the
# upstream is appended.
BEAT_PATH = b"/Instances.Heartbeat/"
LEAVE_PATH = b"/Instances.Deregister/"
OBJECTS_PATH = "/objects/"
CONFIG_KEY = "config/main"

# Header in all answers of the store. Its number rises by one each time the
# store returns from an older copy.
STORE_ERA_HEADER = b"Store-Era"

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "MEDLARDOOR_BOOT"
