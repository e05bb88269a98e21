"""Interface of the limits on the requests of teams."""

import abc
import collections.abc
import dataclasses

from medlardoor.teams import keys

__all__ = ["Grant", "TeamLimiter"]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a request for a token.

    Attributes:
        is_granted: Whether the request may be sent to an upstream.
        is_limited: Whether the team has reached its limit. If neither is set,
            the node could not get a token although there may be some.
        wait_s: Expected time until a token is available, in seconds.
    """

    is_granted: bool
    is_limited: bool = False
    wait_s: float = 0.0


class TeamLimiter(abc.ABC):
    """Grants tokens for the requests of teams on this node.

    All tokens granted by all nodes for a team in any window stay within its
    rate times the window and its burst.
    """

    @abc.abstractmethod
    def take(
        self,
        team: keys.Team,
        is_urgent: bool,
        report: collections.abc.Callable[[Grant], None],
    ) -> None:
        """Takes a token for one request.

        Args:
            team: A team with a limit.
            is_urgent: Whether the request is among the most urgent ones of the
                team, which get the last tokens.
            report: Called once with the answer, possibly before this method
                returns.
        """

    @abc.abstractmethod
    def give_back(self, team: keys.Team) -> None:
        """Returns the token of a request that has not run."""
