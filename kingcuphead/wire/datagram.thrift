/*
 * Messages between daemons of `kingcuphead.entry`.
 *
 * Every struct has a frozen data class of the same name in the package that defines the
 * message. Field numbers are never reused, because daemons of two releases can run side
 * by side.
 *
 * Regenerate the Python code with: make wire
 */
namespace py datagram

struct TargetLoad {
  1: string target
  2: i32 running
  3: i64 unread_tokens
  4: optional i64 memory_tokens
}

struct LoadsReported {
  1: string sender
  2: i64 number
  3: list<TargetLoad> loads
  4: bool is_cut_off
}

struct PlacementAnnounced {
  1: string sender
  2: TargetLoad load
}

struct CreditAsked {
  1: string sender
  2: i64 number
  3: string organisation
  4: i64 tokens
  5: i64 extra = 0
}

struct CreditHanded {
  1: string receiver
  2: i64 number
  3: i64 tokens
  4: i64 free = -1
  5: i64 reserve = 0
}

struct RequestIdentity {
  1: string fingerprint
  2: list<string> parts
}

struct CrashReported {
  1: string target
  2: RequestIdentity request
}

struct AnswersReported {
  1: string subject
  2: string reporter
  3: i32 answers
}

struct FingerprintQuarantined {
  1: string fingerprint
  2: double remaining
}

struct QuarantineReported {
  1: list<FingerprintQuarantined> entries
}

struct BegunStream {
  1: string request_id
  2: string service_name
  3: string software_version
}

struct StreamsBegan {
  1: list<BegunStream> streams
}

struct StreamAsked {
  1: string request_id
}

struct TargetTerms {
  1: optional double requests_per_second
  2: optional i32 rejections_per_second
  3: optional double cold_requests_per_second
}

struct PermitAsked {
  1: i64 number
  2: string target
  3: TargetTerms terms
  4: i32 slots
  5: i32 open_requests
  6: bool is_doubtful = 0
  7: optional i64 memory_tokens
  8: optional i64 memory_capacity
}

struct RoomReported {
  1: i64 number
  2: string target
  3: i32 open_requests
  4: bool was_rejected
  5: optional i64 memory_tokens
}

struct PermitAnswered {
  1: i64 number
  2: bool is_granted
  3: double wait
  4: bool is_holder = 1
  5: optional bool is_full
}

struct CoordinatorProbed {
}

struct ProbeAnswered {
  1: bool is_known
}

struct TermsReported {
  1: string target
  2: TargetTerms terms
}

struct TargetStated {
  1: string target
  2: bool is_leaving
  3: double pause
  4: i64 started_at_ms = 0
}

/* The first messages on a connection between two daemons; see kingcuphead/paths. */
struct TunnelAsked {
  1: string address
}

struct TunnelAnswered {
  1: string outcome
}

struct CapacityReported {
  1: string sender
  2: i64 number
  3: string zone
  4: double load
  5: string readiness
}

struct ZonesAsked {
}

struct ZonesReported {
  1: i64 era
  2: i64 version
  3: list<string> zones
}

union Datagram {
  1: LoadsReported loads_reported
  2: CreditAsked credit_asked
  3: CreditHanded credit_handed
  6: QuarantineReported quarantine_reported
  7: StreamsBegan streams_began
  8: StreamAsked stream_asked
  9: AnswersReported answers_reported
  10: CrashReported crash_reported
  11: PermitAsked permit_asked
  12: PermitAnswered permit_answered
  13: CoordinatorProbed coordinator_probed
  14: ProbeAnswered probe_answered
  15: TermsReported terms_reported
  16: TargetStated target_stated
  17: RoomReported room_reported
  18: CapacityReported capacity_reported
  19: PlacementAnnounced placement_announced
  20: ZonesAsked zones_asked
  21: ZonesReported zones_reported
}
