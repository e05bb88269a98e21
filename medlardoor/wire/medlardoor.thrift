// Messages between nodes. Field numbers are never reused.
namespace py medlardoor_messages

enum MemberState { STARTING = 0, SERVING = 1, LEAVING = 2, LEFT = 3 }

struct MemberRecord {
  1: string instance,
  2: i64 incarnation,          // Grows with each start of an instance.
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
  15: i32 refused_rank,        // Highest rank refused in the last second; -1.
  16: string process_id,       // Random per start; owner of idempotency keys.
}

struct Digest {
  1: string service_name,
  2: string sender,
  3: i64 incarnation,
  4: i64 sequence,             // Grows by one with each datagram of a sender.
  5: list<MemberRecord> records,
  6: bool reply,               // True if the sender wants a digest back.
  7: binary heartbeats,        // Heartbeats of other members, 8 bytes each:
                               // CRC-32 of their identity, then the counter;
                               // in a request, what the sender knows of the
                               // receiver's service.
}

struct CrashReport {
  1: string service_name,
  2: string instance,
  3: i64 crash_id,             // Random per crash; duplicates are ignored.
  4: list<binary> fingerprints,
}

struct QuarantineUpdate {
  1: string service_name,
  2: list<binary> quarantined,
  3: list<binary> cleared,
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
  13: bool handed_over,        // The sender decided; the receiver must not
                               // hand the request over again.
  14: string entry_service,    // Service that the kind enters at.
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
