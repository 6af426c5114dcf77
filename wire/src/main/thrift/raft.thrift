/** Calls between keepers. */
namespace java io.jacinthquay.wire.gen

struct ReplicaMessage {
  1: string member
  2: i64 incarnation
}

struct MembershipMessage {
  1: list<ReplicaMessage> voters
  2: list<ReplicaMessage> learners
}

struct VotePayload {
  1: i64 lastIndex
  2: i64 lastTerm
  3: bool handover
}

struct VoteReplyPayload {
  1: bool granted
}

/** Carries a command, a membership, or neither for a leader's first entry. */
struct EntryMessage {
  1: i64 index
  2: i64 term
  3: optional binary command
  4: optional MembershipMessage membership
}

struct AppendPayload {
  1: i64 prevIndex
  2: i64 prevTerm
  3: list<EntryMessage> entries
  4: i64 commitIndex
  5: i64 round
}

struct AppendReplyPayload {
  1: bool success
  2: i64 index
  3: i64 hintIndex
  4: i64 hintTerm
  5: i64 round
}

struct SnapshotChunkPayload {
  1: i64 index
  2: i64 term
  3: MembershipMessage membership
  4: i64 offset
  5: binary data
  6: bool last
}

struct SnapshotReplyPayload {
  1: i64 index
  2: i64 nextOffset
  3: bool installed
}

struct ReadPayload {
  1: i64 requestId
}

struct ReadReplyPayload {
  1: i64 requestId
  2: i64 readIndex
}

struct EmptyPayload {}

struct AnnounceReplyPayload {
  1: bool formed
}

union RaftPayload {
  1: VotePayload preVote
  2: VoteReplyPayload preVoteReply
  3: VotePayload vote
  4: VoteReplyPayload voteReply
  5: AppendPayload append
  6: AppendReplyPayload appendReply
  7: SnapshotChunkPayload snapshotChunk
  8: SnapshotReplyPayload snapshotReply
  9: ReadPayload read
  10: ReadReplyPayload readReply
  11: EmptyPayload handover
  12: EmptyPayload announce
  13: AnnounceReplyPayload announceReply
}

struct RaftMessage {
  1: ReplicaMessage sender
  2: ReplicaMessage receiver
  3: i64 term
  4: RaftPayload payload
}

/** A reader's version as one keeper heard it. */
struct ReaderReport {
  1: string reader
  2: i64 inForce
  3: i64 heardMillisAgo
}

service KeeperPeer {
  oneway void deliver(1: list<RaftMessage> messages)
  oneway void readers(1: list<ReaderReport> reports)
}
