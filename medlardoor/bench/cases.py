"""Named, seeded cases at the sizes of both companies.

Only requests per second are scaled down: the service times are longer than
in production, slots, connections, ratios of demand to capacity and the
length of the overload are those of section 1 of the design. Kinds that use
none of the three services of the chain are left out, because nothing happens
to them.
"""

from collections import abc
import dataclasses

from medlardoor.bench import controlled, fakes

__all__ = [
    "CASES",
    "DERWENT",
    "KAVANGO",
    "Case",
    "possible_goodput",
    "top_kind_fits",
]

_SEED = 20_260_817
_BEGIN_S = 10.0
_NORMAL = 0.7
_STEP_S = 0.25

# Time after which a cold upstream runs at 40 % of its normal speed.
_COLD_OVERLOAD_S = 6.25

DERWENT = fakes.Company(
    "derwent",
    {
        "order": fakes.ServiceSpec("order", 300, 1_900, 0.1),
        "calculator": fakes.ServiceSpec("calculator", 300, 1_900, 0.1),
        "inventory": fakes.ServiceSpec("inventory", 40, 350, 0.4),
    },
    (
        fakes.KindSpec(
            "build order", 2, 10.0, ("order", "inventory"), 0.1, False
        ),
        fakes.KindSpec(
            "spoke length calculation",
            1,
            3.0,
            ("calculator", "inventory"),
            0.3,
        ),
        fakes.KindSpec("stock check", 0, 1.0, ("inventory",), 0.6),
    ),
    "inventory",
    0.0005,
    0.001,
)

KAVANGO = fakes.Company(
    "kavango",
    {
        "order": fakes.ServiceSpec("order", 160, 1_100, 0.1),
        "catalogue": fakes.ServiceSpec("catalogue", 160, 1_100, 0.1),
        "stock": fakes.ServiceSpec("stock", 40, 330, 0.4),
    },
    (
        fakes.KindSpec("spare order", 3, 10.0, ("order", "stock"), 0.1, False),
        fakes.KindSpec("catalogue lookup", 2, 4.0, ("catalogue", "stock"), 0.2),
        fakes.KindSpec("stock check", 1, 2.0, ("stock",), 0.5),
        fakes.KindSpec("internal check", 0, 1.0, ("stock",), 0.2),
    ),
    "stock",
    0.001,
    0.003,
)


@dataclasses.dataclass(frozen=True)
class Case:
    """One case.

    Attributes:
        name: Its name, with the company.
        company: The workload.
        load: Demand as a share of the capacity of the bottleneck at a time.
        overload_s: Length of the overload from `begin_s`, in seconds.
        after_s: Time that is simulated after it, in seconds.
        speed: Speed of a service at a time as a share of the normal speed.
        available: Share of the instances that run at a time.
        prepare: Schedules the faults.
        report_fault: What is wrong with load reports, or None.
        seed: Seed of all random numbers.
        begin_s: Begin of the overload, in seconds.
    """

    name: str
    company: fakes.Company
    load: abc.Callable[[float], float]
    overload_s: float = 60.0
    after_s: float = 22.0
    speed: abc.Callable[[str, float], float] = lambda service, at: 1.0
    available: abc.Callable[[float], float] = lambda at: 1.0
    prepare: abc.Callable[[fakes.World], None] = lambda world: None
    report_fault: controlled.ReportFault | None = None
    seed: int = _SEED
    begin_s: float = _BEGIN_S

    @property
    def end_s(self) -> float:
        """End of the overload, in seconds."""
        return self.begin_s + self.overload_s

    def rate(self, at: float) -> float:
        """Arrivals a second at a time in seconds, over all kinds."""
        spec = self.company.services[self.company.bottleneck]
        slots = spec.slots * fakes.World.INSTANCES
        return self.load(at) * slots / spec.service_s


def possible_goodput(case: Case) -> float:
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


def top_kind_fits(case: Case) -> bool:
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


def _possible_rate(case: Case, at: float) -> float:
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


def _held(case: Case, kind: fakes.KindSpec, at: float) -> dict[str, float]:
    """Time that one request holds a slot, by service, in seconds."""
    held_s = {}
    below_s = 0.0
    for service in reversed(kind.path):
        own_s = case.company.services[service].service_s
        below_s += own_s / case.speed(service, at)
        held_s[service] = below_s
        below_s += 2 * case.company.hop_s
    return held_s


def _surge(company: fakes.Company, factor: float) -> Case:
    def load(at):
        within = _BEGIN_S <= at < _BEGIN_S + 60.0
        return factor if within else _NORMAL

    return Case(f"{company.name}-surge-{factor:g}x", company, load)


def _slow(company: fakes.Company) -> Case:
    factor = 10.0

    def within(at):
        return _BEGIN_S <= at < _BEGIN_S + 30.0

    def set_factor(world, value):
        for instance in world.instances[company.bottleneck]:
            instance.upstream.slow_factor = value

    def prepare(world):
        world.simulator.after(_BEGIN_S, set_factor, world, factor)
        world.simulator.after(_BEGIN_S + 30.0, set_factor, world, 1.0)

    def speed(service, at):
        slow = service == company.bottleneck and within(at)
        return 1.0 / factor if slow else 1.0

    return Case(
        f"{company.name}-slow",
        company,
        lambda at: _NORMAL,
        overload_s=30.0,
        speed=speed,
        prepare=prepare,
    )


def _domain_lost(company: fakes.Company) -> Case:
    def lose(world):
        for instances in world.instances.values():
            instances[0].fail()

    def regain(world):
        for instances in world.instances.values():
            instances[0].restart()

    def prepare(world):
        world.simulator.after(_BEGIN_S, lose, world)
        world.simulator.after(_BEGIN_S + 60.0, regain, world)

    def available(at):
        if not _BEGIN_S <= at < _BEGIN_S + 60.0 + _COLD_OVERLOAD_S:
            return 1.0
        speed = _cold_speed(at - _BEGIN_S - 60.0)
        return (2.0 + speed) / 3.0

    # The overload ends when the returned domain is warm enough: at 80 % load
    # it has to carry 40 % of its normal share.
    return Case(
        f"{company.name}-domain-lost",
        company,
        lambda at: 0.8,
        overload_s=60.0 + _COLD_OVERLOAD_S,
        available=available,
        prepare=prepare,
    )


def _cold_speed(age_s: float) -> float:
    if age_s < 0.0:
        return 0.0
    cold = max(0.0, 1.0 - age_s / fakes.COLD_S)
    return 1.0 / (1.0 + cold * (fakes.COLD_FACTOR - 1.0))


def _cold(company: fakes.Company) -> Case:
    def restart(world):
        for instance in world.instances[company.bottleneck]:
            instance.restart()

    def prepare(world):
        world.simulator.after(_BEGIN_S, restart, world)

    def speed(service, at):
        if service != company.bottleneck or at < _BEGIN_S:
            return 1.0
        return _cold_speed(at - _BEGIN_S)

    return Case(
        f"{company.name}-cold",
        company,
        lambda at: _NORMAL,
        overload_s=fakes.COLD_S,
        speed=speed,
        prepare=prepare,
    )


def _lying(company: fakes.Company) -> Case:
    surge = _surge(company, 2.0)
    fault = controlled.ReportFault(company.bottleneck, 1_000, 5.0)
    return dataclasses.replace(
        surge, name=f"{company.name}-lying-reports", report_fault=fault
    )


def _all_cases() -> dict[str, Case]:
    cases = {}
    for company in (DERWENT, KAVANGO):
        for case in (
            _surge(company, 2.0),
            _surge(company, 5.0),
            _slow(company),
            _domain_lost(company),
            _cold(company),
            _lying(company),
        ):
            cases[case.name] = case
    return cases


CASES = _all_cases()
