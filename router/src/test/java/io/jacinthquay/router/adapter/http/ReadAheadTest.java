package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ReadAheadTest {
  private static final int SHARED_BYTES = 20_000;
  private static final int MOST_BYTES = 15_000;

  private final BodyMemory memory = new BodyMemory(SHARED_BYTES);

  /** Reads until nothing more may be kept; returns how many bytes that were. */
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
  @ValueSource(ints = {1, 100, 5_000, MOST_BYTES})
  void bytesComeBackInTheirOrder(int eachTime) {
    ReadAhead ahead = new ReadAhead(memory, MOST_BYTES);
    assertEquals(MOST_BYTES, fill(ahead));
    int next = 0;
    while (!ahead.isEmpty()) {
      ByteBuffer part = ByteBuffer.allocate(eachTime);
      ahead.take(part);
      part.flip();
      while (part.hasRemaining()) {
        assertEquals((byte) next, part.get());
        next++;
      }
    }
    assertEquals(MOST_BYTES, next);
  }

  /** Many callers that send much ahead share what bodies may take, and each keeps a little. */
  @Test
  void connectionsShareTheMemory() {
    fill(new ReadAhead(memory, MOST_BYTES));
    int second = fill(new ReadAhead(memory, MOST_BYTES));
    assertTrue(second >= 4 * 1024 && second < MOST_BYTES, "kept " + second);
    assertEquals(4 * 1024, fill(new ReadAhead(new BodyMemory(0), MOST_BYTES)));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatIsNoLongerKeptIsGivenBack(boolean taken) {
    ReadAhead ahead = new ReadAhead(memory, MOST_BYTES);
    fill(ahead);
    assertFalse(memory.tryTake(SHARED_BYTES));
    if (taken) {
      assertEquals(MOST_BYTES, ahead.take(ByteBuffer.allocate(MOST_BYTES)));
    } else {
      ahead.clear();
    }
    assertTrue(ahead.isEmpty());
    assertTrue(memory.tryTake(SHARED_BYTES));
  }

  @Test
  void roomThatNothingWasReadIntoIsGivenBack() {
    ReadAhead ahead = new ReadAhead(memory, MOST_BYTES);
    fill(ahead);
    ahead.take(ByteBuffer.allocate(MOST_BYTES));
    ahead.add(ahead.room().flip());
    assertTrue(memory.tryTake(SHARED_BYTES));
  }
}
