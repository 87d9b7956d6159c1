/*
 * Messages between the daemons of a fleet.
 *
 * Every struct has a frozen data class of the same name in the package that defines the
 * message. Field numbers are never reused, because daemons of two releases can run side
 * by side.
 *
 * Regenerate the Python code with: make wire
 */
namespace py generated

struct Member {
  1: string name
  2: string address
  3: string zone
  4: string region
  5: i64 incarnation
  6: i64 counter
  7: string status
}

struct Notice {
  1: string kind
  2: string subject
  3: string detail
  4: string origin
  5: i64 number
}

struct Heartbeat {
  1: i64 number
  2: Member sender
  3: i64 revision
  4: list<Member> members
  5: list<Notice> notices
}

struct HeartbeatAcknowledged {
  1: i64 number
  2: Member sender
  3: i64 revision
  4: list<Member> members
  5: list<Notice> notices
  6: double confirmed_age
}

struct Bill {
  1: string bill_id
  2: string request_id
  3: string budget
  4: string organisation
  5: string borrower
  6: string grant_id
  7: i64 tokens
  8: i64 prompt_tokens
  9: i64 completion_tokens
  10: bool measured
  11: double settled_at
}

struct CreditRequested {
  1: string sender
  2: string budget
  3: string lender
  4: i64 received_total
  5: i64 returned_total
  6: i64 needed
  7: i64 wanted
  8: string policy
  9: i64 queued
  10: i64 sequence
}

struct CreditLent {
  1: string sender
  2: string budget
  3: i64 lent_total
  4: i64 returned_total
  5: string borrower
  6: bool scarce
}

struct CreditDenied {
  1: string sender
  2: string budget
  4: double retry_after
  5: i64 sequence
  6: string denial
}

struct CreditReturned {
  1: string sender
  2: string budget
  3: string lender
  4: i64 received_total
  5: i64 returned_total
  6: i64 recall
}

struct CreditRecalled {
  1: string sender
  2: string budget
  3: i64 lent_total
  4: string borrower
  5: i64 recall
}

struct GrantRecalled {
  1: string sender
  2: string budget
}

struct GrantYielded {
  1: string sender
  2: string budget
}

struct BillsSubmitted {
  1: string sender
  2: list<Bill> bills
}

struct BillsAccepted {
  1: string sender
  2: list<string> bill_ids
}

struct BillsCommitted {
  1: string sender
  2: list<string> bill_ids
}

struct BillsDuplicated {
  1: string sender
  2: list<string> bill_ids
}

struct BillsRejected {
  1: string sender
  2: list<string> bill_ids
}

struct BillsCopied {
  1: string sender
  2: list<Bill> bills
}

struct BillCopiesAcknowledged {
  1: string sender
  2: list<string> bill_ids
}

struct BillCopiesDropped {
  1: string sender
  2: list<string> bill_ids
}

struct SurrenderRequested {
  1: string sender
  2: string budget
  3: string grant_id
}

struct Surrendered {
  1: string sender
  2: string budget
  3: string grant_id
  4: i64 outstanding
}

struct ConfigurationRequested {
  1: string sender
}

struct ConfigurationOffered {
  1: string sender
  2: binary content
}

struct TargetLoad {
  1: string target
  2: i32 running
  3: i64 unread_tokens
}

struct LoadsReported {
  1: string sender
  2: i64 number
  3: list<TargetLoad> loads
  4: bool is_cut_off
}

struct CreditAsked {
  1: string sender
  2: i64 number
  3: string organisation
  4: i64 tokens
}

struct CreditHanded {
  1: string receiver
  2: i64 number
  3: i64 tokens
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
}

struct RoomReported {
  1: i64 number
  2: string target
  3: i32 open_requests
  4: bool was_rejected
}

struct PermitAnswered {
  1: i64 number
  2: bool is_granted
  3: double wait
  4: bool is_holder = 1
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
}

struct ZonesAsked {
}

struct ZonesReported {
  1: i64 era
  2: i64 version
  3: list<string> zones
}

/* The first messages on a connection between two daemons; see kingcuphead/paths. */
struct TunnelAsked {
  1: string address
}

struct TunnelAnswered {
  1: string outcome
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
  18: ZonesAsked zones_asked
  19: ZonesReported zones_reported
}

union PeerMessage {
  1: Heartbeat heartbeat
  2: HeartbeatAcknowledged heartbeat_acknowledged
  10: CreditRequested credit_requested
  11: CreditLent credit_lent
  12: CreditDenied credit_denied
  13: CreditReturned credit_returned
  14: CreditRecalled credit_recalled
  15: GrantRecalled grant_recalled
  16: GrantYielded grant_yielded
  17: BillsSubmitted bills_submitted
  18: BillsAccepted bills_accepted
  19: BillsCommitted bills_committed
  20: BillsDuplicated bills_duplicated
  21: BillsRejected bills_rejected
  22: BillsCopied bills_copied
  23: BillCopiesAcknowledged bill_copies_acknowledged
  24: BillCopiesDropped bill_copies_dropped
  25: SurrenderRequested surrender_requested
  26: Surrendered surrendered
  27: ConfigurationRequested configuration_requested
  28: ConfigurationOffered configuration_offered
}

struct Envelope {
  /* Instance name and incarnation of the sending daemon. */
  1: string sender
  2: i64 incarnation
  3: PeerMessage message
}
