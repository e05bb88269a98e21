"""Groups of nodes on loopback that lend the tokens of one team."""

from medlardoor.mesh.tests import group as group_module
from medlardoor.teams import settings, sharding

__all__ = [
    "KEY_LINE",
    "LIMITS",
    "MEMBERS",
    "ROUTES",
    "document",
    "fill_bucket",
    "wait_until_lent",
]

LIMITS = settings.LimitSettings(
    pledge_interval_s=0.1, pledge_valid_s=0.5, settle_s=0.3
)
MEMBERS = (("s1", "stock"), ("s2", "stock"), ("o1", "orders"), ("o2", "orders"))
ROUTES = ("/read/ stock safe 2", "/order/ orders unsafe 0")
KEY_LINE = ("Authorization: Bearer k1",)


def document(rate_per_s, burst):
    """Returns routes and a team with a limit, in tokens and tokens a second."""
    return (*ROUTES, f"team t1 k1 1 {rate_per_s} {burst}")


async def wait_until_lent(group, share=1.0):
    """Waits until the preferred lender of each shard has all shares."""

    def is_lent():
        for shard in range(LIMITS.shards):
            (name,) = sharding.rank_lenders(shard, group.members, 1)
            shares = group.members[name].node._lending.shares()
            if abs(shares[shard] - share) > 1e-6:
                return False
        return True

    await group_module.wait_until(is_lent, timeout_s=10.0)


async def fill_bucket(group, burst):
    """Fills the bucket of the team, which would take minutes."""
    shard = sharding.shard_of("t1", LIMITS.shards)
    (name,) = sharding.rank_lenders(shard, group.members, 1)
    buckets = group.members[name].node._lending._lender._buckets
    await group_module.wait_until(
        lambda: "t1" in buckets and buckets["t1"]._capacity >= burst - 1e-6
    )
    buckets["t1"]._tokens = burst
