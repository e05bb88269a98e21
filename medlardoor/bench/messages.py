"""Ticks, gossip and load reports of a bench run, with their faults."""

import dataclasses

from medlardoor.bench import fakes

__all__ = ["ReportFault", "connect"]

_TICK_S = 0.1
_GOSSIP_S = 1.0
_REPORT_S = 0.5


@dataclasses.dataclass(frozen=True)
class ReportFault:
    """What is wrong with the load reports of one service.

    Attributes:
        service: The service.
        slots: Slots that its upstreams report.
        interval_s: Time between reports, in seconds.
    """

    service: str
    slots: int
    interval_s: float = _REPORT_S


def connect(world: fakes.World, fault: ReportFault | None) -> None:
    """Starts gossip, reports and ticks of all controlled instances.

    Args:
        world: The world.
        fault: What is wrong with load reports, or None.
    """
    simulator = world.simulator
    for service, instances in world.instances.items():
        report_s = _REPORT_S
        for instance in instances:
            if fault is not None and fault.service == service:
                report_s = fault.interval_s
                instance.report_slots = fault.slots
                instance.report()
            instance.publish()
            offset_s = world.generator.uniform(0.0, _TICK_S)
            simulator.after(offset_s, simulator.every, _TICK_S, instance.tick)
            simulator.after(
                offset_s, simulator.every, _GOSSIP_S, instance.publish
            )
            simulator.every(report_s, instance.report)
