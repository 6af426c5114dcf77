package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.StreamId;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class StreamOriginsTableTest {
  private long now;
  private long term = 1;
  private final StreamOriginsTable table = new StreamOriginsTable(() -> now, () -> term);

  private static StreamId stream(String attempt) {
    return StreamId.of(Optional.empty(), attempt);
  }

  private static StreamOriginMessage message(byte[] stream, String pool) {
    return new StreamOriginMessage(ByteBuffer.wrap(stream), pool, "v1", 0);
  }

  private void report(String router, StreamOriginMessage... origins) {
    table.recordReport(new RouterReportMessage().setRouter(router).setOrigins(List.of(origins)));
  }

  /** Routers report all again only if the epoch changes; the former leader's streams are lost. */
  @Test
  void eachTermHasAnEpochAndATimeOfRecovery() {
    long first = table.epoch();
    assertTrue(table.isRecovering());
    now += StreamOriginsTable.RECOVERY_NANOS;
    assertFalse(table.isRecovering());
    assertEquals(first, table.epoch());
    report("r", message(stream("a").bytes(), "p"));
    term = 3;
    assertNotEquals(first, table.epoch());
    assertTrue(table.isRecovering());
    assertTrue(table.find(stream("a")).isPresent());
  }

  /** One invalid entry of a report must not lose the others. */
  @Test
  void recordsTheValidStreamsOfAReport() {
    report(
        "r",
        message(new byte[3], "p"),
        message(stream("a").bytes(), ""),
        new StreamOriginMessage(),
        message(stream("b").bytes(), "p"));
    assertEquals(1, table.size());
    assertTrue(table.find(stream("b")).isPresent());
  }

  /** A router that reports without end must leave room for the streams of others. */
  @Test
  void oneRouterCannotFillTheTable() {
    for (int i = 0; i <= StreamOriginsTable.MAX_STREAMS_PER_ROUTER; i++) {
      report("r1", message(stream("flood-" + i).bytes(), "p"));
    }
    assertEquals(StreamOriginsTable.MAX_STREAMS_PER_ROUTER, table.size());
    report("r2", message(stream("a").bytes(), "p"));
    assertTrue(table.find(stream("a")).isPresent());
  }
}
