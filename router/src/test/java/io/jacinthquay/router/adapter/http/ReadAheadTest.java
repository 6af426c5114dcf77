package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.runtime.http.BufferBudget;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ReadAheadTest {
  private static final int SHARED_BYTES = 22_000;
  private static final int MAX_BYTES = 15_000;

  private final BufferBudget memory = new BufferBudget(SHARED_BYTES);

  /** Fills the buffer until it has no room; returns the number of bytes added. */
  private static int fill(ReadAhead ahead) {
    int total = 0;
    ByteBuffer room = ahead.room();
    while (room.hasRemaining()) {
      while (room.hasRemaining()) {
        room.put((byte) total);
        total++;
      }
      ahead.add(room.flip());
      room = ahead.room();
    }
    return total;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 100, 5_000, MAX_BYTES})
  void bytesAreReturnedInOrder(int chunkBytes) {
    ReadAhead ahead = new ReadAhead(memory, MAX_BYTES);
    assertEquals(MAX_BYTES, fill(ahead));
    int next = 0;
    while (!ahead.isEmpty()) {
      ByteBuffer target = ByteBuffer.allocate(chunkBytes);
      ahead.take(target);
      target.flip();
      while (target.hasRemaining()) {
        assertEquals((byte) next, target.get());
        next++;
      }
    }
    assertEquals(MAX_BYTES, next);
  }

  /**
   * Guards against memory that grows with the number of connections that send ahead: they share one
   * budget, which only small amounts may exceed, and these by a quarter in sum.
   */
  @Test
  void connectionsShareTheBudget() {
    fill(new ReadAhead(memory, MAX_BYTES));
    int second = fill(new ReadAhead(memory, MAX_BYTES));
    assertTrue(second >= 4 * 1024 && second < MAX_BYTES, "held " + second);
    assertEquals(4 * 1024, fill(new ReadAhead(memory, MAX_BYTES)));
    assertEquals(0, fill(new ReadAhead(memory, MAX_BYTES)));
    assertEquals(0, fill(new ReadAhead(new BufferBudget(0), MAX_BYTES)));
  }

  /** Each byte that arrived by itself took a buffer of 4 KB. */
  @Test
  void partsOfOneByteAreChargedWithTheirMemory() {
    ReadAhead ahead = new ReadAhead(memory, MAX_BYTES);
    int count = 0;
    ByteBuffer room = ahead.room();
    while (room.hasRemaining()) {
      ahead.add(room.put((byte) 1).flip());
      count++;
      room = ahead.room();
    }
    assertTrue(count > 100 && count < SHARED_BYTES / 50, "held " + count);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void removedBytesAreReleasedToTheBudget(boolean takeBytes) {
    ReadAhead ahead = new ReadAhead(memory, MAX_BYTES);
    fill(ahead);
    assertFalse(memory.tryReserve(SHARED_BYTES));
    if (takeBytes) {
      assertEquals(MAX_BYTES, ahead.take(ByteBuffer.allocate(MAX_BYTES)));
    } else {
      ahead.clear();
    }
    assertTrue(ahead.isEmpty());
    assertTrue(memory.tryReserve(SHARED_BYTES));
  }

  @Test
  void unusedRoomIsReleasedToTheBudget() {
    ReadAhead ahead = new ReadAhead(memory, MAX_BYTES);
    fill(ahead);
    ahead.take(ByteBuffer.allocate(MAX_BYTES));
    ahead.add(ahead.room().flip());
    assertTrue(memory.tryReserve(SHARED_BYTES));
  }
}
