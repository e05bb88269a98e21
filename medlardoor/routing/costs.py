"""What the requests of each route cost, learned from their answers.

The load that this answers: a request that enters at a service at the end of
many chains, as important as they are. It costs what one call costs, and goes
with the calls of those chains if that is less than such a chain takes there in
all; then more requests are served whole than the other way round.
"""

import dataclasses

__all__ = ["RouteCosts"]

# Weight of the newest answer.
_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class _Cost:
    """Mean cost of the requests of a route."""

    priority: int
    makes_calls: bool
    leaf_slot_s: float


class RouteCosts:
    """Costs of routes, by their name."""

    def __init__(self):
        self._costs: dict[str, _Cost] = {}

    def note(
        self, name: str, priority: int, made_calls: bool, leaf_slot_s: float
    ) -> None:
        """Learns from an answer.

        Args:
            name: Name of the route.
            priority: Its priority; 0 is the most urgent one.
            made_calls: Whether the run made calls.
            leaf_slot_s: Time of slots at the end of the chain, in seconds.
        """
        cost = self._costs.get(name)
        if cost is None:
            self._costs[name] = _Cost(priority, made_calls, leaf_slot_s)
            return
        cost.priority = priority
        cost.makes_calls = cost.makes_calls or made_calls
        cost.leaf_slot_s += (leaf_slot_s - cost.leaf_slot_s) * _WEIGHT

    def makes_calls(self, name: str) -> bool:
        """Whether runs of a route make calls; assumed until it is known.

        Args:
            name: Name of the route.
        """
        cost = self._costs.get(name)
        return cost is None or cost.makes_calls

    def is_cheap(self, name: str) -> bool:
        """Whether requests of a route make no calls and cost less than chains.

        They are compared with all chains of the same priority.

        Args:
            name: Name of the route.
        """
        cost = self._costs.get(name)
        if cost is None or cost.makes_calls:
            return False
        return all(
            cost.leaf_slot_s <= other.leaf_slot_s
            for other in self._costs.values()
            if other.makes_calls and other.priority == cost.priority
        )
