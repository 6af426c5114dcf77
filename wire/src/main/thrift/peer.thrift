/** Calls between routers: slots, membership, configuration, usage copies and withdrawals. */
namespace java io.jacinthquay.wire.gen

include "keeper.thrift"
include "report.thrift"

/** The upstreams of one pool in one failure domain. */
struct ScopeMessage {
  1: string pool
  2: string domain
}

struct SlotIdMessage {
  1: string owner
  2: i64 incarnation
  3: i64 number
}

/** Who sent a message to an owner, and when by its own monotonic clock. */
struct ClientStampMessage {
  1: string router
  2: i64 incarnation
  3: i64 sequence
  4: i64 sentAtNanos
  /** The latest clock reading of the owner that the sender has taken in. */
  5: i64 heardNanos
}

/** Which owner sent a message, and the receiver's clock that its session counts from. */
struct OwnerStampMessage {
  1: string owner
  2: i64 incarnation
  3: i64 basisNanos
  4: i64 leaseNanos
  5: i64 sentAtNanos
}

struct SlotRequestMessage {
  1: string request
  2: string className
  3: string customer
  4: i64 slackNanos
  5: i64 firstTokenNanos
  6: i64 tokens
  7: bool preemptible
  8: bool firm
  9: double lag
  10: list<string> preferred
  11: list<string> avoided
}

struct UsedSlotMessage {
  1: SlotIdMessage slot
  2: string upstream
  3: SlotRequestMessage request
}

struct SlotDigestMessage {
  1: i32 count
  2: i64 hash
}

struct SlotSync {
  1: SlotDigestMessage held
  2: SlotDigestMessage waiting
  3: i32 wanted
}

/** The limit of an upstream as a former owner knew it. */
struct BearingHintMessage {
  1: string upstream
  2: i32 limit
  3: bool warming
  4: i64 ageNanos
}

struct SlotState {
  1: list<UsedSlotMessage> used
  2: list<SlotIdMessage> idle
  3: list<SlotRequestMessage> waiting
  4: i32 wanted
  5: i64 vouchFreeNanos
  6: list<BearingHintMessage> hints
}

struct SlotAsk {
  1: list<SlotRequestMessage> requests
}

struct SlotUse {
  1: SlotIdMessage slot
  2: SlotRequestMessage request
}

struct SlotProgress {
  1: SlotIdMessage slot
  2: i64 tokens
  3: i64 expected
}

struct SlotRelease {
  1: SlotIdMessage slot
  /** Name of the kind of ending. */
  2: string kind
  3: i64 tokens
  4: i64 firstTokenNanos
  5: bool onTarget
}

struct SlotCancel {
  1: string request
}

struct SlotLeave {
}

/** What a router tells the owner. */
union ToOwnerBody {
  1: SlotSync sync
  2: SlotState state
  3: SlotAsk ask
  4: SlotUse taken
  5: SlotProgress progress
  6: SlotRelease release
  7: SlotCancel cancel
  8: SlotLeave leave
}

struct ToOwnerMessage {
  1: ScopeMessage scope
  2: ClientStampMessage stamp
  3: ToOwnerBody body
}

struct SlotGrant {
  1: SlotIdMessage slot
  2: string upstream
  /** The request that it is for; absent for a slot ahead of demand. */
  3: optional string request
  4: double lag
  5: i32 limit
  6: bool warming
}

struct SlotDeny {
  1: string request
  2: i32 code
  3: i64 retryAfterNanos
}

struct SlotPreempt {
  1: SlotIdMessage slot
  2: string request
}

struct SlotRecall {
  1: SlotIdMessage slot
}

struct SlotAck {
}

struct SlotResync {
}

/** What an owner tells a router. */
union ToClientBody {
  1: SlotGrant grant
  2: SlotDeny deny
  3: SlotPreempt preempt
  4: SlotRecall recall
  5: SlotAck ack
  6: SlotResync resync
}

struct ToClientMessage {
  1: ScopeMessage scope
  2: OwnerStampMessage stamp
  3: ToClientBody body
}

struct MemberMessage {
  1: string id
  2: string domain
  3: string address
  4: i64 incarnation
  /** Name of the state. */
  5: string state
  6: bool leaving
}

struct MemberLoadMessage {
  1: i32 running
  2: i32 waiting
}

struct LoadUpdateMessage {
  1: string id
  2: i64 incarnation
  3: i64 version
  4: i64 ageMillis
  5: MemberLoadMessage load
}

struct RelayMessage {
  1: string id
  2: string address
}

struct DomainSummaryMessage {
  1: string domain
  2: string origin
  3: i64 incarnation
  4: i64 version
  5: i64 ageMillis
  6: i32 live
  7: MemberLoadMessage load
  8: list<RelayMessage> relays
}

struct GossipPayloadMessage {
  1: list<MemberMessage> members
  2: list<LoadUpdateMessage> loads
  3: list<DomainSummaryMessage> summaries
}

enum GossipKind {
  PING = 1
  ACK = 2
  PING_REQUEST = 3
  SYNC = 4
  SUMMARIES = 5
}

/** One message of the membership; which fields are set depends on the kind. */
struct GossipEnvelope {
  1: GossipKind kind
  2: string sender
  3: GossipPayloadMessage payload
  4: optional i64 sequence
  /** Whom an answer is about, or whom to ping. */
  5: optional string about
  /** The sender, where it introduces itself. */
  6: optional MemberMessage member
  7: optional bool answer
}

/** Messages that wait for one receiver, in the order in which they were made. */
struct PeerBatch {
  1: list<ToOwnerMessage> toOwner
  2: list<ToClientMessage> toClient
  3: list<GossipEnvelope> gossip
  /** Usage counters of the sender, of which the receiver keeps a copy. */
  4: list<keeper.UsageCounter> usage
  /** Digests of keys that were withdrawn on this side of a cut. */
  5: list<string> withdrawn
}

/** Served by routers for other routers of the system, and for operators on their side of a cut. */
service Peer extends report.RouterReport {
  /** Delivers messages; lost ones are made good by their protocols. */
  oneway void deliver(1: PeerBatch batch)

  /** Withdraws keys on this side of a cut; answers when this router refuses them. */
  void withdraw(1: list<string> digests) throws (1: keeper.CallFailed failed)
}
