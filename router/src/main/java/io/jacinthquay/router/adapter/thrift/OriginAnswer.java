package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.router.port.StreamOrigins.Origin;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * What the leader knows of the streams that a router asked for.
 *
 * @param found the streams that it remembers
 * @param onlyVersions versions of the pools that have had one version for longer than streams last
 * @param recovering whether routers may not have reported all their streams to this leader yet
 * @param atNanos when the answer arrived, on the monotonic clock
 */
record OriginAnswer(
    Map<StreamId, OriginTable.Aged> found,
    Map<PoolName, SoftwareVersion> onlyVersions,
    boolean recovering,
    long atNanos) {
  /**
   * Time in nanoseconds for which a stream that isn't found is asked for again: the longest way of
   * a report, an exchange of 300 ms with a relay and 100 ms until the relay calls the leader.
   */
  static final long REPORT_NANOS = 500_000_000L;

  /** What a question gets. */
  record Resolution(OriginMonitor.Outcome outcome, Origin origin) {
    static final Resolution NO_ANSWER =
        new Resolution(OriginMonitor.Outcome.NO_ANSWER, Origin.NO_ANSWER);

    static Resolution onlyVersion(PoolName pool, SoftwareVersion version) {
      return new Resolution(OriginMonitor.Outcome.ONLY_VERSION, Origin.of(pool, version));
    }
  }

  /**
   * Returns the answer that a message carries.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  static OriginAnswer of(StreamOriginsMessage message, long atNanos) {
    Map<StreamId, OriginTable.Aged> found = new HashMap<>();
    for (StreamOriginMessage origin : message.getFound()) {
      OriginTable.Aged aged = OriginMessages.toOrigin(origin);
      found.put(aged.origin().stream(), aged);
    }
    Map<PoolName, SoftwareVersion> versions = new HashMap<>();
    message
        .getOnlyVersions()
        .forEach((pool, version) -> versions.put(new PoolName(pool), new SoftwareVersion(version)));
    return new OriginAnswer(found, versions, message.isRecovering(), atNanos);
  }

  /** Returns the answer without the only versions of pools that are not accepted. */
  OriginAnswer withOnlyVersions(BiPredicate<PoolName, SoftwareVersion> accepted) {
    Map<PoolName, SoftwareVersion> versions = new HashMap<>(onlyVersions);
    versions.entrySet().removeIf(only -> !accepted.test(only.getKey(), only.getValue()));
    return new OriginAnswer(found, versions, recovering, atNanos);
  }

  /** Returns what a question gets; empty if it is to be asked again. */
  Optional<Resolution> resolve(OriginQuestion question) {
    Optional<StreamOrigin> origin = question.stream().map(found::get).map(OriginTable.Aged::origin);
    if (origin.isPresent()) {
      return Optional.of(
          question.pools().contains(origin.get().pool())
              ? new Resolution(
                  OriginMonitor.Outcome.FOUND,
                  Origin.of(origin.get().pool(), origin.get().version()))
              : new Resolution(OriginMonitor.Outcome.OTHER_POOL, Origin.UNKNOWN));
    }
    if (recovering) {
      return Optional.empty();
    }
    Optional<Resolution> only =
        question
            .onlyPool()
            .filter(onlyVersions::containsKey)
            .map(pool -> Resolution.onlyVersion(pool, onlyVersions.get(pool)));
    if (only.isPresent()) {
      return only;
    }
    boolean reportMayCome =
        question.stream().isPresent() && atNanos - question.askedNanos() < REPORT_NANOS;
    return reportMayCome
        ? Optional.empty()
        : Optional.of(new Resolution(OriginMonitor.Outcome.UNKNOWN, Origin.UNKNOWN));
  }
}
