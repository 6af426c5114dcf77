package io.jacinthquay.router.adapter.thrift;

import com.codahale.metrics.Counter;
import io.jacinthquay.router.service.forward.ForwardMetrics;
import io.jacinthquay.runtime.LogThrottle;
import io.jacinthquay.wire.gen.ControlViewMessage;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs which control VM a router follows and maintains the metrics of its link; docs/METRICS.md
 * lists them. Methods are called by the thread of the link, except those about lists, which that of
 * the poller calls too; the metrics are read by others.
 */
final class ControlLinkMonitor {
  private static final Logger log = LogManager.getLogger();

  /** Time without a view after which the search is logged, in nanoseconds. */
  private static final long SEARCH_LOG_NANOS = 3_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NONE = -1;

  private final LongSupplier clock;
  private final ListInForce list;
  private final Counter unusableDocuments;
  private final long startNanos;
  private final LogThrottle followLines;
  private final LogThrottle documentLines;
  private String listKind = ListInForce.Source.NONE.kind();
  private String followed = "";
  private long followedSinceNanos;
  private long leftOutChanges;
  private long searchLineNanos;
  private volatile boolean heard;
  private volatile long viewNanos;
  private volatile long namedVersion = NONE;
  private volatile int knownMembers;

  /**
   * Registers the metrics.
   *
   * @param list the list of upstreams in force
   * @param clock monotonic, in nanoseconds
   */
  ControlLinkMonitor(ForwardMetrics metrics, ListInForce list, LongSupplier clock) {
    this.clock = clock;
    this.list = list;
    this.startNanos = clock.getAsLong();
    this.followLines = new LogThrottle(startNanos);
    this.searchLineNanos = startNanos;
    this.documentLines = new LogThrottle(startNanos);
    this.viewNanos = startNanos;
    this.unusableDocuments =
        metrics.registry().counter("jq_forward_control_unusable_documents_total");
    metrics.gauge("jq_forward_control_view_age_milliseconds", this::viewAgeMillis);
    metrics.gauge("jq_forward_control_document_version", () -> namedVersion);
    metrics.gauge("jq_forward_control_members", () -> knownMembers);
    metrics.gauge("jq_forward_list_age_milliseconds", this::listAgeMillis);
    metrics.gauge("jq_forward_list_source", () -> list.source().ordinal());
  }

  /** Returns the time since the last view, or since the start if there was none. */
  private long viewAgeMillis() {
    return (clock.getAsLong() - viewNanos) / NANOS_PER_MILLI;
  }

  /** Returns whether the leader or a relay was heard before, but not within a time. */
  boolean isSilentFor(long millis) {
    return heard && viewAgeMillis() >= millis;
  }

  /** Returns the age of the list of upstreams in force, or {@link #NONE}. */
  private long listAgeMillis() {
    return list.source() == ListInForce.Source.NONE ? NONE : list.age(clock.getAsLong()).toMillis();
  }

  /** Records that a list of upstreams may have come into force. */
  synchronized void recordList() {
    ListInForce.Source source = list.source();
    if (source != ListInForce.Source.NONE && source.kind() != listKind) {
      log.info(
          "the list of upstreams comes from {} ({}) now, before from {}; it is {} ms old",
          source.kind(),
          list.origin(),
          listKind,
          listAgeMillis());
      listKind = source.kind();
    }
  }

  /** Records a view of the leader or a relay. */
  void recordView(String source, ControlViewMessage view, long versionInForce, int known) {
    long now = clock.getAsLong();
    boolean first = !heard;
    long silentMillis = viewAgeMillis();
    viewNanos = now;
    searchLineNanos = now;
    heard = true;
    namedVersion = view.getDocumentVersion();
    knownMembers = known;
    logIfOlder(view, source, versionInForce, now);
    if (!first && source.equals(followed)) {
      return;
    }
    if (!followLines.tryAcquire(now)) {
      leftOutChanges++;
    } else {
      log.info(
          "following the {} {} after {} ms without a view, before {} for {} ms; it names version"
              + " {}, in force is {}; members {}; leftOut={}",
          view.isLeads() ? "leader" : "relay",
          source,
          silentMillis,
          followed.isEmpty() ? "nobody" : followed,
          (now - followedSinceNanos(now)) / NANOS_PER_MILLI,
          view.getDocumentVersion(),
          versionInForce,
          view.getMembers(),
          leftOutChanges);
      leftOutChanges = 0;
    }
    followed = source;
    followedSinceNanos = now;
  }

  private long followedSinceNanos(long now) {
    return followed.isEmpty() ? now : followedSinceNanos;
  }

  /** Records that the link goes on searching. */
  void recordSearch(LeaderSearch search, long versionInForce) {
    knownMembers = search.known().size();
    long now = clock.getAsLong();
    if (now - viewNanos >= SEARCH_LOG_NANOS && now - searchLineNanos >= SEARCH_LOG_NANOS) {
      searchLineNanos = now;
      log.warn(
          "no control VM leads or relays for {} ms; asking {}, of which {} did not answer; document"
              + " {} stays in force",
          viewAgeMillis(),
          search.known(),
          search.unreachableCount(),
          versionInForce);
    }
  }

  /**
   * Records a view that names a newer version than the one in force without a usable document.
   *
   * @param version the version that it names
   * @param reason why its document is not usable
   */
  void recordUnusableDocument(long version, String reason) {
    unusableDocuments.inc();
    if (documentLines.tryAcquire(clock.getAsLong())) {
      log.error("no usable document of version {} from {}: {}", version, followed, reason);
    }
  }

  private void logIfOlder(ControlViewMessage view, String source, long versionInForce, long now) {
    boolean older = view.isLeads() && view.getDocumentVersion() < versionInForce;
    if (older && documentLines.tryAcquire(now)) {
      log.error(
          "leader {} names version {}, older than {}, which is in force",
          source,
          view.getDocumentVersion(),
          versionInForce);
    }
  }
}
