package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StreamOriginLogTest {
  private static final long EPOCH = 7;

  private long now;
  private final StreamOriginLog log = new StreamOriginLog(() -> now);

  private static StreamOrigin origin(String attempt) {
    return new StreamOrigin(
        StreamId.of(Optional.empty(), attempt), new PoolName("p"), new SoftwareVersion("v1"));
  }

  private void begin(String... attempts) {
    List.of(attempts).forEach(attempt -> log.recordBegun(origin(attempt)));
  }

  private int exchange(long epoch) {
    int reported = log.report().size();
    log.recordView(epoch);
    return reported;
  }

  @Test
  void reportsEachStreamOnceToALeader() {
    exchange(EPOCH);
    begin("a", "b");
    assertEquals(2, exchange(EPOCH));
    begin("c");
    assertEquals(1, exchange(EPOCH));
    assertEquals(0, exchange(EPOCH));
  }

  /** An exchange that fails leaves its streams for the next one. */
  @Test
  void reportsAgainAfterAFailedExchange() {
    exchange(EPOCH);
    begin("a");
    assertEquals(1, log.report().size());
    begin("b");
    assertEquals(2, exchange(EPOCH));
    assertEquals(0, exchange(EPOCH));
  }

  /** A leader took a stream for known that had begun again at another version. */
  @Test
  void reportsAnotherOriginThatIsRecordedWhileAReportIsUnderWay() {
    exchange(EPOCH);
    begin("a", "b");
    assertEquals(2, log.report().size());
    StreamOrigin first = origin("a");
    log.recordBegun(new StreamOrigin(first.stream(), first.pool(), new SoftwareVersion("v2")));
    log.recordView(EPOCH);
    assertEquals(2, exchange(EPOCH));
    assertEquals(0, exchange(EPOCH));
  }

  /** A leader was lost, or a relay that may not have passed reports on. */
  @ParameterizedTest
  @CsvSource({"true, 0, 3", "false, 1, 3", "true, 60000, 0", "true, 1000, 3"})
  void reportsAllThatItRemembersAfterALoss(boolean leaderLost, long afterMillis, int expected) {
    exchange(EPOCH);
    begin("a", "b");
    assertEquals(2, exchange(EPOCH));
    log.recordFound(new OriginTable.Aged(origin("found"), 0));
    assertEquals(0, exchange(EPOCH));
    now += afterMillis * 1_000_000L;
    if (leaderLost) {
      exchange(EPOCH + 1);
    } else {
      log.reportAllAgain();
    }
    long epoch = leaderLost ? EPOCH + 1 : EPOCH;
    assertEquals(expected, exchange(epoch));
    assertEquals(0, exchange(epoch));
  }

  /** The streams that callers are most likely to take up must not wait for all older ones. */
  @Test
  void reportsTheNewestStreamsFirstAfterALoss() {
    exchange(EPOCH);
    for (int i = 0; i < 2 * StreamOriginLog.MAX_REPORTED; i++) {
      begin("stream-" + i);
      now += 1_000_000L;
    }
    log.reportAllAgain();
    begin("last");
    List<StreamOriginMessage> first = log.report();
    assertEquals(message(origin("last")), first.get(0).bufferForStream());
    assertEquals(
        message(origin("stream-" + (2 * StreamOriginLog.MAX_REPORTED - 1))),
        first.get(1).bufferForStream());
    assertEquals(StreamOriginLog.MAX_REPORTED, exchange(EPOCH));
    assertEquals(StreamOriginLog.MAX_REPORTED, exchange(EPOCH));
    assertEquals(1, exchange(EPOCH));
  }

  private static ByteBuffer message(StreamOrigin origin) {
    return ByteBuffer.wrap(origin.stream().bytes());
  }

  /** A report of many streams would hold up the exchange, so they follow in parts. */
  @Test
  void floodOfStreamsIsBoundedAndReportedInParts() {
    for (int i = 0; i < StreamOriginLog.MAX_STREAMS + 10; i++) {
      begin("flood-" + i);
    }
    assertEquals(StreamOriginLog.MAX_STREAMS, log.size());
    assertEquals(true, log.find(origin("flood-0").stream()).isPresent());
    exchange(EPOCH);
    int reports = StreamOriginLog.MAX_STREAMS / StreamOriginLog.MAX_REPORTED;
    for (int i = 0; i < reports; i++) {
      assertEquals(StreamOriginLog.MAX_REPORTED, exchange(EPOCH));
    }
    assertEquals(0, exchange(EPOCH));
  }
}
