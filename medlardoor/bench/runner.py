"""Runs one case with one kind of instance in front of the upstreams."""

import enum
import gc

from medlardoor.bench import (
    baselines,
    callers,
    cases,
    controlled,
    fakes,
    measures,
    messages,
    possible,
)

__all__ = ["Variant", "run_case"]

# With the default threshold, a third of the time of a run is spent on looking
# for garbage among hundreds of thousands of live requests.
_COLLECT_AFTER = 200_000


class Variant(enum.Enum):
    """What stands in front of the upstreams."""

    MEDLARDOOR = "medlardoor"
    NO_CONTROL = "no control"
    FIXED_LIMIT = "fixed limit"


_INSTANCES = {
    Variant.MEDLARDOOR: controlled.ControlledInstance,
    Variant.NO_CONTROL: baselines.OpenInstance,
    Variant.FIXED_LIMIT: baselines.FixedLimitInstance,
}


def run_case(
    case: cases.Case, variant: Variant
) -> tuple[measures.Figures, list[measures.Sample]]:
    """Runs one case.

    Args:
        case: The case.
        variant: What stands in front of the upstreams.

    Returns:
        The figures and the state over time.
    """
    gc.set_threshold(_COLLECT_AFTER)
    world = fakes.World(case.company, case.seed)
    world.recorder = measures.Recorder(world, case.begin_s, case.end_s)
    is_controlled = variant is Variant.MEDLARDOOR
    # Clients of the baselines close the connection, but nothing tells the
    # upstream to stop.
    world.propagates_cancellation = is_controlled
    world.build(_INSTANCES[variant])
    if is_controlled:
        messages.connect(world, case.report_fault)
    world.recorder.start()
    case.prepare(world)
    senders = callers.Callers(world, case.rate, is_controlled)
    senders.start()
    if case.crashing_at_s is not None:
        world.simulator.after(case.crashing_at_s, senders.send_crashing)
    world.simulator.run(case.end_s + case.after_s)
    figures = world.recorder.figures(possible.possible_goodput(case))
    return figures, world.recorder.samples
