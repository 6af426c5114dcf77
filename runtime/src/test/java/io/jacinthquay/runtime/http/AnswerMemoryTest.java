package io.jacinthquay.runtime.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class AnswerMemoryTest {
  private static final long SMALL_BYTES = 10;

  private final AnswerMemory memory = new AnswerMemory(1_000);
  private final List<String> givenUp = new ArrayList<>();

  private AnswerMemory.Holding holding(String name, long bytes) {
    AnswerMemory.Holding holding =
        memory.newHolding(SMALL_BYTES, Runnable::run, () -> givenUp.add(name));
    assertTrue(holding.tryResize(bytes));
    return holding;
  }

  /** Usual responses failed while faulty ones held all of the memory. */
  @Test
  void largestIsGivenUpForAUsualOne() {
    AnswerMemory.Holding largest = holding("largest", 600);
    AnswerMemory.Holding large = holding("large", 395);
    holding("usual", SMALL_BYTES);
    assertEquals(List.of("largest"), givenUp);
    assertFalse(largest.tryResize(1));
    holding("second usual", SMALL_BYTES);
    assertEquals(List.of("largest"), givenUp);
    largest.release();
    assertTrue(large.tryResize(400));
    assertTrue(largest.tryResize(100));
    assertEquals(520, memory.heldBytes());
  }

  /** Many connections of a thread are read before one of them is closed. */
  @Test
  void memoryCountsUntilItsOwnerHasDroppedIt() {
    AnswerMemory.Holding largest = holding("largest", 600);
    holding("large", 390);
    AnswerMemory.Holding next = memory.newHolding(SMALL_BYTES, Runnable::run, () -> {});
    assertFalse(next.tryResize(300));
    assertEquals(990, memory.heldBytes());
    largest.release();
    next.release();
    assertTrue(next.tryResize(300));
  }

  @Test
  void largestFailsIfItAsksForMore() {
    AnswerMemory.Holding largest = holding("largest", 600);
    holding("large", 400);
    assertFalse(largest.tryResize(700));
    assertTrue(largest.isGivenUp());
    assertEquals(List.of(), givenUp);
    largest.release();
    assertEquals(400, memory.heldBytes());
  }

  @Test
  void smallResponsesExceedTheMemoryByAQuarter() {
    List<AnswerMemory.Holding> small = new ArrayList<>();
    for (int i = 0; i < 125; i++) {
      small.add(holding("small", SMALL_BYTES));
    }
    AnswerMemory.Holding next = memory.newHolding(SMALL_BYTES, Runnable::run, () -> {});
    assertFalse(next.tryResize(SMALL_BYTES));
    assertEquals(1_250, memory.heldBytes());
    small.forEach(AnswerMemory.Holding::release);
    assertEquals(0, memory.heldBytes());
  }
}
