/*
 * Messages between the daemons of a fleet.
 *
 * Every struct has a frozen data class of the same name in the package that owns the
 * message. Field numbers are never reused: daemons of two releases run side by side.
 *
 * Regenerate with: make wire
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
}

union PeerMessage {
  1: Heartbeat heartbeat
  2: HeartbeatAcknowledged heartbeat_acknowledged
}

struct Envelope {
  /* Instance name and incarnation of the sender. */
  1: string sender
  2: i64 incarnation
  3: PeerMessage message
}
