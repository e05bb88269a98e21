"""What the status of a node tells of the node and of its upstream."""

from medlardoor.membership import announcements
from medlardoor.mesh import local_upstream
from medlardoor.mesh import settings as settings_module
from medlardoor.wire.generated.medlardoor_messages import ttypes

__all__ = ["build"]


def build(
    settings: settings_module.MeshSettings,
    local: local_upstream.LocalUpstream,
    register: announcements.UpstreamRegister,
    now: float,
) -> ttypes.NodeStatus:
    """Returns a status with the place of the node and its upstream's load.

    Args:
        settings: Settings of the node.
        local: The upstream beside the node.
        register: State that the upstream has announced.
        now: Current time, in seconds.
    """
    admission_queue = local.admission_queue
    upstream_id = ""
    if register.current is not None and local.is_usable:
        upstream_id = register.current.upstream_id
    return ttypes.NodeStatus(
        instance=settings.instance,
        host=settings.advertised_address.host,
        port=settings.advertised_address.port,
        failure_domain=settings.failure_domain,
        service_name=settings.service,
        upstream_id=upstream_id,
        limit=admission_queue.limit,
        running=admission_queue.running,
        waiting=admission_queue.waiting,
        cold_ms=int(register.cold_s(now) * 1_000),
        level=admission_queue.level,
        incarnation=settings.incarnation,
        time_percent=local.observer.speed.time_percent(now) or None,
    )
