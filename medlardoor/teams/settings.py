"""Settings of the limits that all nodes keep together."""

import dataclasses

__all__ = ["LimitSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Settings of team limits.

    Attributes:
        shards: Number of groups of teams; each group has one lender. More
            shards spread the work over more nodes, each of which needs a link
            from every node.
        candidates: Number of nodes for each shard, in order of preference, that
            may become its lender.
        standby_links: Number of these candidates that each node keeps open
            links to, so that the next one can take over at once.
        pledge_interval_s: Pause between two pledges, in seconds.
        pledge_valid_s: Time for which a pledge counts after the lender has sent
            the stamp that it repeats, in seconds. Two pledges may be lost.
        answer_timeout_s: Time without an answer to a pledge after which the
            link to the lender is closed, in seconds: it may work in one
            direction only.
        request_timeout_s: Longest wait for the answer of a lender, for a
            lender, or for the first token of a bucket that has just started,
            in seconds.
        hold_s: Time for which a node may keep tokens for requests to come, in
            seconds.
        reserve_share: Share of a burst that is kept for the most urgent
            requests of the team.
        settle_s: Time without new members after which a starting node lends, in
            seconds.
        member_retention_s: Time for which a node counts as a member after it
            was last heard of, in seconds. It is longer than a partition
            between regions lasts: a node counted too early as gone would let
            both sides use its share.
    """

    shards: int = 4
    candidates: int = 6
    standby_links: int = 2
    pledge_interval_s: float = 0.4
    pledge_valid_s: float = 1.3
    answer_timeout_s: float = 2.5
    request_timeout_s: float = 0.3
    hold_s: float = 0.2
    reserve_share: float = 0.2
    settle_s: float = 1.0
    member_retention_s: float = 2 * 3_600.0
