"""Distribution of requests over the weighted destinations of a route."""

from medlardoor.config import routes as routes_module

__all__ = ["WeightedSplit"]


class WeightedSplit:
    """Smooth weighted round robin.

    Within each window of requests the count of a destination is within one
    request of its share; random selection only comes this close over long
    windows.

    Args:
        destinations: Services with their weights.
        offset: Requests to skip at the start. Nodes use different offsets, so
            that their first requests go to different services.
    """

    def __init__(
        self,
        destinations: tuple[routes_module.Destination, ...],
        offset: int = 0,
    ):
        self._destinations = destinations
        self._total_weight = sum(d.weight for d in destinations)
        self._credits = [0.0] * len(destinations)
        for _ in range(offset):
            self.next_service()

    def next_service(self) -> str:
        """Returns the service for the next request."""
        if len(self._destinations) == 1:
            return self._destinations[0].service
        best = 0
        for i, destination in enumerate(self._destinations):
            self._credits[i] += destination.weight
            if self._credits[i] > self._credits[best]:
                best = i
        self._credits[best] -= self._total_weight
        return self._destinations[best].service
