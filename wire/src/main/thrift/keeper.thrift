/** Calls that routers, controllers and operators make to the keepers. */
namespace java io.jacinthquay.wire.gen

/** A numbered failure; the number is one of docs/RESULT-CODES.md. */
exception CallFailed {
  1: i32 code
  2: string detail
  /** Name of the keeper to ask instead, if known. */
  3: optional string leader
}

/** Sets one entity, or removes it where json is absent. */
struct EditMessage {
  /** Section name of the entity's kind. */
  1: string section
  2: string name
  3: optional string json
}

/** One committed change. */
struct ChangeMessage {
  1: i64 version
  2: list<EditMessage> edits
}

/** Changes to the configuration, keys and states, in the order of their versions. */
struct ConfigPage {
  /** Newest version that the answering process knows. */
  1: i64 newest
  /** Whether changes holds one change with the whole state instead of deltas. */
  2: bool snapshot
  3: list<ChangeMessage> changes
  /** How long the key table at version newest is current, from when the call was sent, in ms. */
  4: i64 keysCurrentMillis
}

/** A reader's position, sent with each poll. */
struct FeedPosition {
  /** Name of the reading VM. */
  1: string reader
  /** Failure domain of the reading VM. */
  2: string domain
  /** Version in force at the reader. */
  3: i64 inForce
  /** Versions in force at readers that poll through this one, by name. */
  4: map<string, i64> relayed
}

/** Delivers configuration changes; keepers and relays serve it. */
service ConfigFeed {
  /** Waits up to waitMillis for a version newer than the position and returns it. */
  ConfigPage changes(1: FeedPosition position, 2: i32 waitMillis) throws (1: CallFailed failed)
}

struct ApplyRequest {
  1: string changeId
  /** Version that the change was made against; -1 where any will do (keys and states only). */
  2: i64 expectedVersion
  3: list<EditMessage> edits
  /** How long to wait for routers to confirm, in ms; 0 answers at commit. */
  4: i32 confirmMillis
  /**
   * Digest of what the operator asked for, where the edits are derived from it and a resend may
   * derive others; the edits themselves are compared where it is absent.
   */
  5: optional string contentDigest
}

struct ApplyAnswer {
  1: i64 version
  /** Whether the answer repeats that of an earlier request with the same change id. */
  2: bool resent
  3: list<string> confirmed
  4: list<string> notConfirmed
}

/** One line of the change history. */
struct HistoryLine {
  1: i64 version
  2: string changeId
  3: i64 committedAtMillis
  4: i32 edits
  5: string author
}

struct LeaseGrant {
  1: string name
  /** The name in the holder's certificate, a slash and its incarnation. */
  2: string holder
  3: i64 fencing
  /** Length from when the holder sent its request, in ms, drift margin included. */
  4: i64 lengthMillis
}

enum ClaimState {
  /** The caller may send the request: nobody has. Only one attempt of one router hears this, also on a resend. */
  FRESH = 1
  /** Another request with this key runs. */
  IN_PROGRESS = 2
  /** The result is recorded. */
  DONE = 3
  /** An earlier request may or may not have run. */
  OUTCOME_UNKNOWN = 4
}

struct ClaimRequest {
  1: string customer
  2: string route
  3: string key
  /** SHA-256 of the body, hexadecimal. */
  4: string bodyDigest
  /** Drawn by the claiming router for each attempt. */
  5: string requestId
  /** Name of the claiming router, a slash and its incarnation. */
  6: string claimant
}

struct ClaimResult {
  1: i32 status
  2: string contentType
  3: binary body
}

struct ClaimAnswer {
  1: ClaimState state
  /** Absent where the state is DONE and the result was too large to keep or has been dropped. */
  2: optional ClaimResult result
}

/** Cumulative counter of one router incarnation; a larger one replaces a smaller one. */
struct UsageCounter {
  1: string incarnation
  2: string customer
  3: string model
  /** Start of the window in which the work occurred, ms since the epoch. */
  4: i64 windowStartMillis
  5: i64 requests
  6: i64 inputTokens
  7: i64 outputTokens
}

/** One line of a sealed window. */
struct UsageLine {
  1: string customer
  2: string model
  3: i64 requests
  4: i64 inputTokens
  5: i64 outputTokens
  /** Start of the window in which late work occurred; equals the window's start otherwise. */
  6: i64 occurredMillis
}

struct SealedWindow {
  1: i32 shard
  2: i64 windowStartMillis
  3: list<UsageLine> lines
  4: bool reported
}

/** An order to the platform or an upstream, recorded before it is sent. */
struct OrderRecord {
  1: string orderId
  2: string lease
  3: i64 fencing
  4: string domain
  /** Body as it is sent, each time the same bytes. */
  5: string json
  6: bool done
}

/** One keeper's view of the cluster. */
struct KeeperStatus {
  1: string name
  2: string role
  3: string leader
  4: i64 term
  5: i64 commitIndex
  6: i64 appliedIndex
  7: i64 configVersion
  8: list<string> members
  /** Version in force by reader, and how long ago it was heard from, in ms. */
  9: map<string, i64> inForce
  10: map<string, i64> heardMillisAgo
  11: list<LeaseGrant> leases
}

service Keeper extends ConfigFeed {
  ApplyAnswer apply(1: ApplyRequest request) throws (1: CallFailed failed)
  list<HistoryLine> history(1: i32 limit) throws (1: CallFailed failed)

  LeaseGrant acquireLease(1: string name, 2: string holder, 3: i64 lengthMillis) throws (1: CallFailed failed)
  LeaseGrant renewLease(1: string name, 2: string holder, 3: i64 fencing, 4: i64 lengthMillis) throws (1: CallFailed failed)
  void releaseLease(1: string name, 2: string holder, 3: i64 fencing) throws (1: CallFailed failed)

  ClaimAnswer beginClaim(1: ClaimRequest request) throws (1: CallFailed failed)
  void completeClaim(1: ClaimRequest request, 2: ClaimResult result) throws (1: CallFailed failed)
  /** Gives a claim back where the request surely did not run. */
  void releaseClaim(1: ClaimRequest request) throws (1: CallFailed failed)

  void shipUsage(1: list<UsageCounter> counters) throws (1: CallFailed failed)
  SealedWindow sealWindow(1: i32 shard, 2: i64 windowStartMillis, 3: string lease, 4: i64 fencing) throws (1: CallFailed failed)
  list<SealedWindow> sealedWindows(1: i32 shard, 2: bool unreportedOnly, 3: i32 limit) throws (1: CallFailed failed)
  void markReported(1: i32 shard, 2: i64 windowStartMillis, 3: string lease, 4: i64 fencing) throws (1: CallFailed failed)
  /** Counters of windows that are still open. */
  list<UsageCounter> openUsage() throws (1: CallFailed failed)

  void recordOrder(1: OrderRecord order) throws (1: CallFailed failed)
  void completeOrder(1: string orderId, 2: string lease, 3: i64 fencing) throws (1: CallFailed failed)
  list<OrderRecord> openOrders(1: string domain) throws (1: CallFailed failed)

  KeeperStatus status() throws (1: CallFailed failed)
}
