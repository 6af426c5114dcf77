package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * The origins of streams that this router began or asked for, and which of them the leader still
 * has to be told. The I/O thread records and finds; the link's thread reports.
 */
final class StreamOriginLog {
  /**
   * Maximum number of streams: 136 new ones a second for as long as callers may take them up, about
   * 2 MB of memory. Only streams whose first event has arrived are recorded, so the rate of the
   * upstreams bounds them, not that of the callers.
   */
  static final int MAX_STREAMS = 8_192;

  /** Maximum number of streams in one report, about 20 KB. The others follow in later reports. */
  static final int MAX_REPORTED = 512;

  private static final String THIS_ROUTER = "";

  private final LongSupplier clock;
  private final OriginTable table;

  /** Streams that were never reported. */
  private final Set<StreamId> unreported = new LinkedHashSet<>();

  /** Older streams that are reported again, the newest ones first. */
  private final Set<StreamId> again = new LinkedHashSet<>();

  private final Set<StreamId> underWay = new HashSet<>();
  private int underWayCount;
  private long epoch;

  /**
   * Returns an empty log.
   *
   * @param clock monotonic, in nanoseconds
   */
  StreamOriginLog(LongSupplier clock) {
    this.clock = clock;
    this.table = new OriginTable(MAX_STREAMS, MAX_STREAMS, clock.getAsLong());
  }

  /** Records a stream that began now, for the next report. */
  synchronized OriginTable.Result recordBegun(StreamOrigin origin) {
    OriginTable.Result result = table.record(origin, THIS_ROUTER, 0, clock.getAsLong());
    if (result == OriginTable.Result.RECORDED) {
      unreported.add(origin.stream());
      // The report that is under way may hold another origin of the same id.
      underWay.remove(origin.stream());
    }
    return result;
  }

  /** Records what the leader answered; it is reported only to another leader. */
  synchronized void recordFound(OriginTable.Aged found) {
    table.record(found.origin(), THIS_ROUTER, found.ageMillis(), clock.getAsLong());
  }

  /** Returns the origin of a stream; empty if it isn't known or in conflict with another one. */
  synchronized Optional<StreamOrigin> find(StreamId stream) {
    return table.find(stream, clock.getAsLong()).map(OriginTable.Aged::origin);
  }

  /** Returns whether several origins are known for a stream, so that none counts. */
  synchronized boolean isInConflict(StreamId stream) {
    return table.reported(stream, clock.getAsLong()).size() > 1;
  }

  synchronized int size() {
    return table.size();
  }

  /** Returns what the next report carries; {@link #recordView} tells that it has arrived. */
  synchronized List<StreamOriginMessage> report() {
    long now = clock.getAsLong();
    List<StreamOriginMessage> messages = new ArrayList<>();
    List<StreamId> reported = new ArrayList<>();
    Stream.concat(unreported.stream(), again.stream()).limit(MAX_REPORTED).forEach(reported::add);
    for (StreamId stream : reported) {
      table.reported(stream, now).forEach(origin -> messages.add(OriginMessages.toMessage(origin)));
    }
    underWay.clear();
    underWay.addAll(reported);
    underWayCount = reported.size();
    return messages;
  }

  /**
   * Records that a report has arrived. A leader with another epoch lacks what was reported before.
   *
   * @return the number of streams that were reported
   */
  synchronized int recordView(long newEpoch) {
    int reported = underWayCount;
    underWayCount = 0;
    underWay.forEach(unreported::remove);
    underWay.forEach(again::remove);
    underWay.clear();
    if (newEpoch != epoch) {
      epoch = newEpoch;
      reportAllAgain();
    }
    return reported;
  }

  /**
   * Reports all streams again, after a relay was lost that may not have passed some on. The newest
   * are reported first, as most callers return soon.
   */
  synchronized void reportAllAgain() {
    unreported.clear();
    again.clear();
    again.addAll(table.streams(clock.getAsLong()));
  }
}
