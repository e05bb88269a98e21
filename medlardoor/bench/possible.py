"""Goodput that the capacity of a case allows."""

from medlardoor.bench import cases, fakes, workload

__all__ = ["possible_goodput", "top_kind_fits"]

_STEP_S = 0.25


def possible_goodput(case: cases.Case) -> float:
    """Weighted goodput that the capacity allows within the overload.

    Kinds get capacity in the order of importance, so shedding by importance
    is part of what is possible. The weights of the cases fall with the rank
    faster than the cost of a request, so no other order gives more.
    """
    total = 0.0
    steps = round(case.overload_s / _STEP_S)
    for step in range(steps):
        total += _possible_rate(case, case.begin_s + step * _STEP_S) * _STEP_S
    return total


def top_kind_fits(case: cases.Case) -> bool:
    """Whether the most important kind fits in the capacity all the time."""
    top = case.company.kinds[0]
    steps = round(case.overload_s / _STEP_S)
    for step in range(steps):
        at = case.begin_s + step * _STEP_S
        demand = case.rate(at) * top.share
        room = fakes.World.INSTANCES * case.available(at)
        for service, seconds in _held(case, top, at).items():
            slots = case.company.services[service].slots * room
            if demand * seconds > slots:
                return False
    return True


def _possible_rate(case: cases.Case, at: float) -> float:
    share = case.available(at)
    room = {
        name: spec.slots * fakes.World.INSTANCES * share
        for name, spec in case.company.services.items()
    }
    weight = 0.0
    for kind in case.company.kinds:
        held_s = _held(case, kind, at)
        answered = case.rate(at) * kind.share
        for service, seconds in held_s.items():
            answered = min(answered, room[service] / seconds)
        for service, seconds in held_s.items():
            room[service] -= answered * seconds
        weight += answered * kind.weight
    return weight


def _held(
    case: cases.Case, kind: workload.KindSpec, at: float
) -> dict[str, float]:
    """Time that one request holds a slot, by service, in seconds."""
    held_s = {}
    below_s = 0.0
    for service in reversed(kind.path):
        own_s = case.company.services[service].service_s
        below_s += own_s / case.speed(service, at)
        held_s[service] = below_s
        below_s += 2 * case.company.hop_s
    return held_s
