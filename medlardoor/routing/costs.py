"""Cost of the requests of each route, learned from responses.

A request may enter at a service that is also the last service of many call
chains of the same priority. If it takes no more slot time than such a chain
takes there in total, it is admitted at the level of the chain's calls: more
requests are then completed than with the opposite order.
"""

import dataclasses

__all__ = ["RouteCosts"]

# Weight of the latest response in the moving average.
_SMOOTHING_FACTOR = 0.1


@dataclasses.dataclass(slots=True)
class _RouteCost:
    """Moving average of the cost of a route's requests.

    Attributes:
        priority: Priority of the route; 0 is the most urgent.
        makes_calls: Whether any run of the route has made calls.
        leaf_slot_s: Slot time used at leaf services for one request, in
            seconds.
    """

    priority: int
    makes_calls: bool
    leaf_slot_s: float


class RouteCosts:
    """Costs of routes by route name."""

    def __init__(self):
        self._costs: dict[str, _RouteCost] = {}

    def note(
        self, name: str, priority: int, made_calls: bool, leaf_slot_s: float
    ) -> None:
        """Updates the cost of a route from a response.

        Args:
            name: Name of the route.
            priority: Priority of the route; 0 is the most urgent.
            made_calls: Whether the run made calls.
            leaf_slot_s: Slot time used for the request by runs that made no
                calls themselves, in seconds.
        """
        cost = self._costs.get(name)
        if cost is None:
            self._costs[name] = _RouteCost(priority, made_calls, leaf_slot_s)
            return
        cost.priority = priority
        cost.makes_calls = cost.makes_calls or made_calls
        cost.leaf_slot_s += (leaf_slot_s - cost.leaf_slot_s) * _SMOOTHING_FACTOR

    def makes_calls(self, name: str) -> bool:
        """Whether runs of a route make calls.

        Args:
            name: Name of the route.

        Returns:
            True also for a route without recorded responses.
        """
        cost = self._costs.get(name)
        return cost is None or cost.makes_calls

    def leaf_slot_s(self, name: str) -> float | None:
        """Slot time of a request at the last services of its chain, in seconds.

        Args:
            name: Name of the route.

        Returns:
            The mean of the known routes for a route without recorded
            responses; None if there is none.
        """
        cost = self._costs.get(name)
        if cost is not None:
            return cost.leaf_slot_s
        if not self._costs:
            return None
        known = [cost.leaf_slot_s for cost in self._costs.values()]
        return sum(known) / len(known)

    def is_cheap(self, name: str) -> bool:
        """Whether a route makes no calls and costs no more than any chain.

        The route is compared with all routes of the same priority that make
        calls.

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
