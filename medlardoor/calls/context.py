"""Call context: what travels with a request from node to node."""

import dataclasses

__all__ = ["MAX_DEPTH", "CallContext", "CallResult"]

# A chain may be 13 calls deep; twice that and more means a loop of calls.
MAX_DEPTH = 32


@dataclasses.dataclass(slots=True)
class CallContext:
    """Facts about one call that every node on its way needs.

    Attributes:
        chain_id: Identifier of the whole chain, 16 bytes.
        call_id: Identifier of this call, unique in the receiving node.
        team: Team that the kind belongs to.
        kind: Kind of request.
        rank: Importance; 0 is the least important class.
        level: ``rank * 128`` plus a stable hash of the chain id below 128.
        deadline: When the caller stops waiting, in seconds of the local clock.
            On the wire the time left is sent instead.
        budget: Retries that this call and its children may spend.
        idempotent: Whether the request may be run again after an unknown
            outcome.
        max_wait_s: Longest time in the queue of one node, in seconds.
        depth: Number of calls above this one.
        key: Idempotency key, or the empty string.
        document_version: Version in force at the sender.
        handed_over: Whether a peer of the same service has decided to forward
            it; such a call is not forwarded again.
        entry_service: Service that the kind enters at.
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
    """What a node reports with each answer to another node.

    Attributes:
        outcome: Value of `errors.Outcome`.
        reason: Value of `errors.Reason`, or the empty string.
        unspent_budget: Retries that were not spent.
        path_level: Highest admission level on the path below, for the kind.
        document_version: Version in force at the sender.
        retry_after_ms: When the caller may come back; 0 if not stated.
        next_key: Idempotency key to send the request again with.
    """

    outcome: str
    reason: str = ""
    unspent_budget: int = 0
    path_level: int = 0
    document_version: int = 0
    retry_after_ms: int = 0
    next_key: str = ""
