"""Context that nodes send with a call, and the result they return."""

import dataclasses

__all__ = ["MAX_DEPTH", "CallContext", "CallResult"]

# Chains are up to 13 calls deep; more than twice that indicates a loop.
MAX_DEPTH = 32


@dataclasses.dataclass(slots=True)
class CallContext:
    """Properties of one call that each node on its path needs.

    Attributes:
        chain_id: Identifier of the whole chain, 16 bytes.
        call_id: Identifier of this call, unique in the receiving node.
        team: Team that the kind belongs to.
        kind: Kind of request.
        rank: Importance of the kind; 0 is the lowest.
        level: ``rank * 128`` plus a stable hash of the chain id below 128.
        deadline: When the caller stops waiting, in seconds of the local clock.
            The remaining time is sent on the wire instead.
        budget: Retries that this call and its children may spend.
        idempotent: Whether the request may be run again after an unknown
            outcome.
        max_wait_s: Maximum wait in the admission queue of one node, in
            seconds.
        depth: Number of calls above this one in the chain.
        key: Idempotency key, or the empty string.
        document_version: Version in force at the sender.
        handed_over: Whether a peer of the same service has forwarded the call;
            such a call is not forwarded again.
        entry_service: Service at which requests of the kind enter the graph.
    """

    chain_id: bytes
    call_id: int
    team: str
    kind: str
    rank: int
    level: int
    deadline: float
    budget: int = 0
    idempotent: bool = True
    max_wait_s: float = 1.0
    depth: int = 0
    key: str = ""
    document_version: int = 0
    handed_over: bool = False
    entry_service: str = ""


@dataclasses.dataclass(slots=True)
class CallResult:
    """Result that a node sends with each response to another node.

    Attributes:
        outcome: Value of `errors.Outcome`.
        reason: Value of `errors.Reason`, or the empty string.
        unspent_budget: Unspent retries of the call.
        path_level: Highest admission level for the kind among the nodes
            further down the path.
        document_version: Version in force at the sender.
        retry_after_ms: Time after which the caller may retry, in milliseconds;
            0 if not stated.
        next_key: Idempotency key with which to resend the request; empty if
            there is none.
    """

    outcome: str
    reason: str = ""
    unspent_budget: int = 0
    path_level: int = 0
    document_version: int = 0
    retry_after_ms: int = 0
    next_key: str = ""
