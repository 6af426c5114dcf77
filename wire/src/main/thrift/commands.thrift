/** Commands of the replicated log and the items of its snapshots. Stored on disk: only add fields. */
namespace java io.jacinthquay.wire.gen

include "keeper.thrift"

/** When the leader proposed a command. */
struct Stamp {
  /** Term in which the leader took its clock's base. */
  1: i64 term
  /** Elapsed time that leaders have counted, in ms; never ahead of real elapsed time. */
  2: i64 clockMillis
  /** The leader's wall clock, ms since the epoch. */
  3: i64 wallMillis
}

struct ApplyCommand {
  1: string changeId
  2: i64 expectedVersion
  3: list<keeper.EditMessage> edits
  4: string author
  5: optional string contentDigest
}

/** Acquires where fencing is absent, else renews. */
struct LeaseCommand {
  1: string name
  2: string holder
  3: i64 lengthMillis
  4: optional i64 fencing
}

/** Proves that the sender holds a lease. */
struct LeaseProof {
  1: string name
  2: i64 fencing
}

struct ReleaseLeaseCommand {
  1: string name
  2: string holder
  3: i64 fencing
}

struct CompleteClaimCommand {
  1: keeper.ClaimRequest request
  2: keeper.ClaimResult result
}

struct ShipUsageCommand {
  1: list<keeper.UsageCounter> counters
}

struct SealCommand {
  1: i32 shard
  2: i64 windowStartMillis
  3: LeaseProof lease
}

struct MarkReportedCommand {
  1: i32 shard
  2: i64 windowStartMillis
  3: LeaseProof lease
}

struct CompleteOrderCommand {
  1: string orderId
  2: LeaseProof lease
}

union CommandBody {
  1: ApplyCommand apply
  2: LeaseCommand lease
  3: ReleaseLeaseCommand releaseLease
  4: keeper.ClaimRequest beginClaim
  5: CompleteClaimCommand completeClaim
  6: keeper.ClaimRequest releaseClaim
  7: ShipUsageCommand shipUsage
  8: SealCommand seal
  9: MarkReportedCommand markReported
  10: keeper.OrderRecord recordOrder
  11: CompleteOrderCommand completeOrder
}

struct Command {
  1: Stamp stamp
  2: CommandBody body
}

struct CommandFailure {
  1: i32 code
  2: string detail
}

struct ApplyResult {
  1: i64 version
  2: bool resent
}

/** What the state machine answers; no field set means done. */
union CommandAnswer {
  1: CommandFailure failure
  2: ApplyResult applied
  3: keeper.LeaseGrant lease
  4: keeper.ClaimAnswer claim
  5: keeper.SealedWindow window
  6: bool done
}

/** A line of the history, with the change itself while it is kept for readers. */
struct StoredChange {
  1: optional keeper.ChangeMessage change
  2: keeper.HistoryLine line
}

struct StoredAnswer {
  1: string changeId
  2: string requestDigest
  3: i64 version
  4: optional CommandFailure failure
}

struct StoredLease {
  1: string name
  2: string holder
  3: i64 fencing
  /** 0 once released. */
  4: i64 expiresClockMillis
}

struct StoredClaim {
  1: keeper.ClaimRequest request
  2: keeper.ClaimState state
  3: optional keeper.ClaimResult result
  4: i64 sinceClockMillis
}

struct StoredCounter {
  1: keeper.UsageCounter counted
  2: i64 sealedRequests
  3: i64 sealedInputTokens
  4: i64 sealedOutputTokens
}

struct StoredIncarnation {
  1: string claimant
  2: string incarnation
}

struct SnapshotHeader {
  1: i32 format
  2: Stamp stamp
  3: i64 configVersion
}

/** One item of a snapshot; the last is total. */
union SnapshotItem {
  1: SnapshotHeader header
  2: keeper.EditMessage entity
  3: StoredChange change
  4: StoredAnswer answer
  5: StoredLease lease
  6: StoredClaim claim
  7: StoredCounter counter
  8: keeper.SealedWindow window
  9: keeper.OrderRecord order
  /** Number of items before this one. */
  10: i64 total
  11: StoredIncarnation incarnation
}
