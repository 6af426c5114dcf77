/** Calls from routers of header-described requests to the control VMs, and what those store. */
namespace java io.jacinthquay.wire.gen

/** What one router has under way at one upstream. */
struct UpstreamLoadMessage {
  1: string upstream
  2: i32 inFlight
  /** Prompt tokens sent and not read yet, as far as the router can tell. */
  3: i64 promptTokens
  /** Tokens that the running requests keep in memory at most. */
  4: i64 memoryTokens
  /** Sum over its streams of how easily a pause makes them late. */
  5: double fragility
}

/** Requests of one customer that began in one window, counted by one run of one router. */
struct CustomerCountMessage {
  1: i64 window
  2: string customer
  3: i64 requests
}

/** What one router was asked to do for one pool since its start. */
struct PoolDemandMessage {
  1: string pool
  2: i64 requests
  3: i64 promptTokens
  4: i64 outputTokens
  5: i64 refused
  6: i32 waiting
  /** Requests that ended after their target. */
  7: i64 late
}

/** A prompt whose shared beginning an upstream has read. */
struct PrefixReadMessage {
  1: string upstream
  /** Ids of the shared parts in order. */
  2: list<i64> parts
  3: list<i32> tokens
}

/** A send whose connection the upstream closed before the answer was under way. */
struct BrokenSendMessage {
  1: string upstream
  /** Ids of the shared parts of its prompt. */
  2: list<i64> parts
  /** Wall clock of the router, ms since the epoch. */
  3: i64 wallMillis
}

/** An answer that was under way on a part of a prompt. */
struct EstablishedPartMessage {
  1: i64 part
  /** Wall clock of the router, ms since the epoch. */
  2: i64 wallMillis
}

/** A part of a prompt that crashes upstreams; requests with it are rejected. */
struct QuarantinedPartMessage {
  1: i64 part
  /** When it was confirmed, ms since the epoch. */
  2: i64 sinceMillis
  /** When a request with it may be tried again, ms since the epoch. */
  3: i64 retryAtMillis
  /** How often one was tried. */
  4: i32 trials
}

/** What a router has observed of one upstream; sums that decay. */
struct UpstreamEvidenceMessage {
  1: string upstream
  /** Prompt tokens before and of requests whose answer began, and the time to their first token. */
  2: double readTokens
  3: double readMillis
  /** Output tokens after the first event of streams, and the time that they took. */
  4: double emittedTokens
  5: double emitMillis
  /** Answers that were as fast as is usual for the pool. */
  6: double onTarget
  /** Answers that were slower, and requests that failed or were rejected. */
  7: double missed
}

/** Requests of one tier that wait for a pool. */
struct WaitingWorkMessage {
  1: string pool
  2: i32 tier
  3: i32 requests
  4: i64 promptTokens
}

/** What routers tell each other to decide alike; set only where they learn rates. */
struct RouterSignalsMessage {
  1: list<UpstreamEvidenceMessage> evidence
  2: list<WaitingWorkMessage> waiting
  /** Tokens served by customer; sums that decay. */
  3: map<string, double> servedTokens
}

/** Which version of an upstream's software began a stream. */
struct StreamOriginMessage {
  /** Digest of the customer and of the attempt that brought the first event. */
  1: binary stream
  2: string pool
  3: string version
  /** Time since the first event, in ms. */
  4: i64 ageMillis
}

struct RouterReportMessage {
  1: string router
  /** Drawn at each start of the router. */
  2: i64 incarnation
  3: string domain
  /** Version of the document in force; -1 for none. */
  4: i64 documentVersion
  /** Log index of the closed domains in force; -1 for none. */
  5: i64 closedIndex
  /**
   * Number of the list of upstreams held of the VM that is asked; -1 for none, -2 if it is needed
   * only from a leader or a relay.
   */
  6: i64 listNumber
  7: list<UpstreamLoadMessage> loads
  8: list<CustomerCountMessage> counts
  9: list<PoolDemandMessage> demand
  /** Wall clock of the router, ms since the epoch. */
  10: i64 wallMillis
  /** Whether the router is about to stop. */
  11: bool leaving
  /** Shared beginnings that the router sent since its last report to this VM. */
  12: list<PrefixReadMessage> reads
  /** Number of the last read of other routers that it took in; 0 at the start. */
  13: i64 readsSeen
  /** Term of the leader that numbered it. */
  14: i64 readsTerm
  15: list<BrokenSendMessage> brokenSends = []
  /** Answers on parts that are suspects or quarantined. */
  16: list<EstablishedPartMessage> establishedParts = []
  /** Quarantined parts with which requests were rejected since the last report. */
  17: list<i64> rejectedParts = []
  /** Log index of the quarantined parts in force; -1 for none. */
  18: i64 quarantineIndex = -1
  19: optional RouterSignalsMessage signals
  /** Streams that began since the last report, or all that are remembered if the epoch changed. */
  20: list<StreamOriginMessage> origins = []
}

struct ListedUpstreamMessage {
  1: string upstream
  2: string pool
  3: string domain
  /** ip:port */
  4: string address
  5: bool draining
  6: bool cheap
  7: i32 slots
  /** How much longer it is cold, in ms from when the list was read. */
  8: i64 coldMillis
  /** Version of its software; empty if the platform states none. */
  9: string version = ""
}

struct ListedUpstreamsMessage {
  1: list<ListedUpstreamMessage> upstreams
}

struct ControlViewMessage {
  /**
   * Whether the answering VM leads. One that neither leads nor relays sets nothing but leader,
   * members and, if the router needs it, the list of upstreams with its number and age.
   */
  1: bool leads
  /** Address of the leader, ip:port; empty if not known. */
  2: string leader
  /** Addresses of all control VMs. */
  3: list<string> members
  4: i64 documentVersion
  /** Set where the router holds another version. */
  5: optional binary document
  6: i64 closedIndex
  /** Set where the router holds another index. */
  7: optional list<string> closedDomains
  8: i64 listNumber
  /** Set where the router holds another number. */
  9: optional ListedUpstreamsMessage upstreams
  /** Routers heard of lately, this one included. */
  10: i32 routers
  /** Sum over all other routers. */
  11: list<UpstreamLoadMessage> otherLoads
  12: i64 wallMillis
  /** Time since the platform was polled for the list of upstreams, in ms. */
  13: i64 listAgeMillis
  /** Reads of other routers after the last one seen, and the number of the newest. */
  14: list<PrefixReadMessage> reads
  15: i64 readsNumber
  16: i64 readsTerm
  /** Voters and learners with the identities of their data folders. */
  17: list<string> replicas
  /** Whether the answering VM doesn't lead but passes on what the leader told it a moment ago. */
  18: bool relays
  /** Address of the relay of the router's failure domain, ip:port; not set if there is none. */
  19: optional string relay
  20: i64 quarantineIndex
  /** Set where the router holds another index. */
  21: optional list<QuarantinedPartMessage> quarantinedParts
  /** Parts of prompts that may have crashed an upstream. */
  22: list<i64> suspectParts = []
  /** Quarantined parts with each of which the router may send one request. */
  23: list<i64> trialParts = []
  /** Sum over all other routers; set only if one of them reported signals. */
  24: optional RouterSignalsMessage otherSignals
  /**
   * Routers before the caller in the order of all routers, by failure domain and name; for a relay,
   * those of the domains before its own.
   */
  25: optional i32 position
  /**
   * Drawn by the leader when it begins to remember streams; a router that sees another one reports
   * all streams that it remembers.
   */
  26: i64 originsEpoch = 0
}

/** A stream that a caller takes up, and the pool that its route leads to. */
struct StreamQuestionMessage {
  1: binary stream
  2: string pool
}

/** What the leader knows of streams that callers take up. */
struct StreamOriginsMessage {
  /** Whether the answering VM leads; one that doesn't knows nothing. */
  1: bool leads
  /** The streams that it remembers. */
  2: list<StreamOriginMessage> found
  /** Versions of the pools that have had one version for longer than streams last, by pool. */
  3: map<string, string> onlyVersions
  /** Whether routers may not have reported all streams to this leader yet. */
  4: optional bool recovering
}

/** What a relay passes on for the routers of its failure domain. */
struct RelayReportMessage {
  /** Address of the relay, ip:port. */
  1: string relay
  /** Failure domain of the relay. */
  2: string domain
  /** What its routers reported since its last call, in order. */
  3: list<RouterReportMessage> reports
  /** Number of the leader's list of upstreams that it holds; -1 for none. */
  4: i64 listNumber
  /** Number of the last read of other routers that it took in; 0 at the start. */
  5: i64 readsSeen
  /** Term of the leader that numbered it. */
  6: i64 readsTerm
}

service Control {
  ControlViewMessage exchange(1: RouterReportMessage report)
  /** Answers what all routers beside those of the relay have under way, and no documents. */
  ControlViewMessage relay(1: RelayReportMessage report)
  /** Answers which versions began some streams. */
  StreamOriginsMessage findOrigins(1: list<StreamQuestionMessage> questions)
}

/** A document as the operator sent it. */
struct DocumentCommand {
  1: i64 version
  2: binary content
}

struct CloseDomainCommand {
  1: string domain
  2: bool closed
}

/** Fixes the counts of a window, so that every report of it is the same. */
struct SealCountsCommand {
  1: i64 window
  2: map<string, i64> counts
}

/** Records which versions of its software a pool has, whenever that changes. */
struct PoolVersionsCommand {
  1: string pool
  2: list<string> versions
  /** Wall clock of the leader, ms since the epoch. */
  3: i64 wallMillis
}

/** The versions of a pool from a moment on. */
struct PoolVersionsMessage {
  1: string pool
  2: list<string> versions
  /** ms since the epoch */
  3: i64 sinceMillis
  /** Log index of the change. */
  4: i64 index
}

/** Quarantines a part of a prompt, or changes when it is tried again. */
struct QuarantinePartCommand {
  1: QuarantinedPartMessage part
}

struct ReleasePartCommand {
  1: i64 part
}

union ControlCommand {
  1: DocumentCommand document
  2: CloseDomainCommand closeDomain
  3: SealCountsCommand sealCounts
  4: QuarantinePartCommand quarantinePart
  5: ReleasePartCommand releasePart
  6: PoolVersionsCommand poolVersions
}

struct ControlSnapshot {
  1: i64 version
  2: optional binary document
  3: list<string> closedDomains
  4: i64 closedIndex
  5: map<i64, map<string, i64>> sealed
  6: list<QuarantinedPartMessage> quarantinedParts = []
  7: i64 quarantineIndex = 0
  /** Versions of pools, oldest first. */
  8: list<PoolVersionsMessage> poolVersions = []
}
