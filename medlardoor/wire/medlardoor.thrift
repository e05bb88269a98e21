// Messages between nodes. Field numbers are never reused.
namespace py medlardoor_messages

enum MemberState { STARTING = 0, SERVING = 1, LEAVING = 2, LEFT = 3 }

struct MemberRecord {
  1: string instance,
  2: i64 incarnation,          // Increases with each start of an instance.
  3: i64 heartbeat,
  4: MemberState state,
  5: string host,
  6: i32 peer_port,
  7: i32 gossip_port,
  8: string failure_domain,
  9: i32 slots,                // Current concurrency limit of the upstream.
  10: i32 in_flight,
  11: i32 queued,
  12: i32 level,               // Admission level.
  13: i64 document_version,
  14: i32 warmth_percent,      // 100 when the upstream is fully ramped up.
  15: i32 refused_rank,        // Highest rank refused in the last second;
                               // -1 if none was refused.
  16: string process_id,       // Random per start; owner of idempotency keys.
}

struct Digest {
  1: string service_name,
  2: string sender,
  3: i64 incarnation,
  4: i64 sequence,             // Increases by one with each sent datagram.
  5: list<MemberRecord> records,
  6: bool reply,               // True if the sender wants a digest back.
  7: binary heartbeats,        // Heartbeats of other members, 8 bytes each:
                               // CRC-32 of their identity, then the counter;
                               // in a request, those of the receiver's service
                               // as last received by the sender.
}

struct CrashReport {
  1: string service_name,
  2: string instance,
  3: i64 crash_id,             // Random per crash; duplicates are ignored.
  4: list<binary> fingerprints,
}

struct Suspicion {
  1: binary fingerprint,
  2: i32 crashes,
  3: i32 age_ms,               // Time since the last crash.
}

struct QuarantineUpdate {
  1: string service_name,
  2: list<binary> quarantined,
  3: list<binary> cleared,
  4: list<i32> remaining_ms,   // Of each quarantined one; absent: all of it.
  5: list<Suspicion> suspects, // Only to a node that may not know of them.
  6: list<i64> crash_ids,      // Crashes that the suspicions include.
}

union Message {
  1: Digest digest,
  2: CrashReport crash_report,
  3: QuarantineUpdate quarantine_update,
}

struct CallContext {
  1: binary chain_id,
  2: i64 call_id,
  3: string team,
  4: string kind,
  5: i32 rank,
  6: i32 level,
  7: i32 deadline_ms,          // Time left, never an instant.
  8: i32 budget,
  9: bool idempotent,
  10: i32 depth,
  11: string key,
  12: i64 document_version,
  13: bool handed_over,        // The sender has forwarded the request; the
                               // receiver must not forward it again.
  14: string entry_service,    // Service that receives the kind from callers.
  15: i32 max_wait_ms,
}

struct CallResult {
  1: string outcome,
  2: string reason,
  3: i32 unspent_budget,
  4: i32 path_level,
  5: i64 document_version,
  6: i32 retry_after_ms,
  7: string next_key,          // Successor of a retired idempotency key.
}

struct DocumentTransfer {
  1: i64 version,
  2: binary digest,            // SHA-256 of value.
  3: binary value,             // The platform object, unchanged.
}

// Messages on links between nodes. Each frame consists of a four-byte length
// and an encoded Frame.

struct NodeAddress {
  1: string instance,
  2: string host,
  3: i32 port,                 // TCP port of the link listener.
  4: string service_name,
  5: string failure_domain,
}

struct NodeStatus {
  1: string instance,
  2: string host,
  3: i32 port,
  4: string failure_domain,
  5: string service_name,
  6: string upstream_id,       // Empty while no upstream is usable.
  7: i32 limit,                // Concurrency limit of the upstream.
  8: i32 running,
  9: i32 waiting,
  10: i64 document_revision,   // 0 without a document.
  11: i32 cold_ms,             // Time until the upstream has warmed up.
  12: i32 level,               // Admission level.
  13: list<NodeAddress> known, // Other nodes: all if requested, else new ones.
  14: bool leaving,            // The node is being stopped.
  15: i64 incarnation,         // Differs between two starts of a node.
  16: bool asks_addresses,     // The sender requests all node addresses.
  17: i32 interval_ms,         // Pause between two statuses of the sender.
  18: bool watches,            // The sender watches the store for documents.
  19: bool lends,              // The sender may lend tokens of teams.
  20: bool applies_limits,     // The sender applies the limit on requests that
                               // its upstream names in responses.
  21: i64 document_number,     // The operator's number of the document.
  22: i64 document_stored,     // Version of the stored object, with its era;
                               // document_revision lacks the era.
  23: i32 store_era,           // Highest era of the store that the sender has
                               // heard of.
  24: i32 time_percent,        // How long work takes on the upstream now, 100
                               // as usual; 0 if unknown.
}

struct RunCall {
  1: i32 id,
  2: binary attempt_id,
  3: binary method,
  4: binary target,
  5: binary headers,           // Encoded header lines.
  6: binary body,
  7: i32 time_left_ms,         // Time left, never an instant.
  8: i32 goal_left_ms,         // Time left of the response-time objective.
  9: i32 level,                // Importance of the chain.
  10: bool idempotent,
  11: string service_name,
  12: bool repeated,           // The run, or one above it, is a retry.
  13: bool nested,             // A run in progress makes the call.
  14: binary team,             // Team that the chain serves; empty if unknown.
}

struct RunAnswer {
  1: i32 id,
  2: string outcome,
  3: i32 status,
  4: binary headers,
  5: binary body,
  6: string reason,
  8: bool offered,             // The call was sent to the upstream.
  9: i32 running,
  10: i32 waiting,
  11: i32 level,               // Admission level of the upstream's node.
  12: i32 path_level,          // Highest level that refused or may refuse
                               // calls of this run.
  13: bool made_calls,         // The run has made calls of its own.
  14: i32 waited_ms,           // Queueing time of the run and of its calls.
  15: i32 leaf_ms,             // Slot time of the leaf runs of the chain.
  16: i32 time_percent,        // How long work takes on the upstream now, 100
                               // as usual; 0 if unknown.
}

struct RunCancel { 1: i32 id }

struct UpstreamLeft {
  1: string instance,          // Instance whose node acknowledged the stop.
  2: string upstream_id,
  3: i64 born_ms,              // Start of the upstream, Unix time.
}

struct RouteTransfer {
  1: i64 revision,             // Revision of the object in the platform.
  2: binary value,             // The object, unchanged.
  3: i64 stored,               // Version of the object, with its era.
}

// Limits of teams; see teams/lender.py.

struct SharePledge {
  1: string instance,          // Node that pledges its shares.
  2: list<i32> shards,         // Shards whose share is pledged.
  3: i32 stamp,                // Number of answers received on this link.
  4: bool departs,             // The node is being stopped.
}

struct PledgeAnswer {
  1: bool released,            // The lender has stopped; no share counts.
}

struct TokenRequest {
  1: i32 id,                   // 0 if only tokens are returned.
  2: string team,
  3: bool urgent,              // The request may use the last tokens.
  4: i32 extra,                // Tokens wanted for requests to come.
  5: i32 returned,             // Tokens of requests that have not run.
}

struct TokenGrant {
  1: i32 id,
  2: bool granted,
  3: bool limited,             // The team has reached its limit.
  4: i32 wait_ms,              // Expected time until there is a token.
  5: i32 extra,                // Tokens for requests to come.
}

union Frame {
  1: RunCall call,
  2: RunAnswer answer,
  3: RunCancel cancel,
  4: NodeStatus status,
  5: RouteTransfer routes,
  6: CrashReport crash_report,
  7: QuarantineUpdate quarantine_update,
  8: UpstreamLeft left,
  9: SharePledge pledge,
  10: PledgeAnswer pledge_answer,
  11: TokenRequest token_request,
  12: TokenGrant token_grant,
}
