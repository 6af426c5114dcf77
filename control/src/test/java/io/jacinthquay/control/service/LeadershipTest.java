package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.Role;
import io.jacinthquay.control.port.Fence;
import io.jacinthquay.runtime.time.ClockReading;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LeadershipTest {
  private static final long MILLI = 1_000_000L;

  private final AtomicLong clock = new AtomicLong();
  private final AtomicLong wallAhead = new AtomicLong(1_000_000);
  private final Leadership leadership =
      new Leadership("vm-1", Duration.ofMillis(2_000), this::reading);

  private ClockReading reading() {
    return new ClockReading(clock.get(), clock.get() / MILLI + wallAhead.get());
  }

  private static LogStatus leading(long term) {
    ReplicaId self = new ReplicaId(new MemberId("10.0.0.1:1"), 1);
    return new LogStatus(
        self,
        Role.LEADER,
        term,
        Optional.of(self),
        1,
        1,
        1,
        1,
        Membership.EMPTY,
        Set.of(),
        List.of());
  }

  private void confirm(long term, long atMillis) {
    clock.set(atMillis * MILLI);
    leadership.confirmed(leading(term), reading());
  }

  @Test
  void actOnlyAfterTheHoldTime() {
    confirm(3, 0);
    assertTrue(leadership.isConfirmed());
    assertTrue(leadership.fence().isEmpty());
    confirm(3, 1_999);
    assertTrue(leadership.fence().isEmpty());
    confirm(3, 2_000);
    assertEquals(3, leadership.fence().orElseThrow().number());
  }

  /** A leader is frozen or cut off while it holds a right: the right ends without any message. */
  @Test
  void loseTheRightWithoutConfirmation() {
    confirm(3, 0);
    confirm(3, 2_000);
    Fence fence = leadership.fence().orElseThrow();
    assertTrue(fence.holds().getAsBoolean());
    clock.set(2_700 * MILLI);
    assertFalse(fence.holds().getAsBoolean());
    assertFalse(leadership.isConfirmed());
  }

  @Test
  void countTheHoldTimeAnewInEachTerm() {
    confirm(3, 0);
    confirm(3, 2_000);
    Fence old = leadership.fence().orElseThrow();
    leadership.lost();
    confirm(5, 2_100);
    assertTrue(leadership.fence().isEmpty());
    assertFalse(old.holds().getAsBoolean());
  }

  /** The monotonic clock doesn't count a suspension; another VM leads by the time it ends. */
  @ParameterizedTest
  @ValueSource(longs = {700, 3_000, -3_000})
  void loseTheRightWhereTheClocksDisagree(long step) {
    confirm(3, 0);
    confirm(3, 2_000);
    Fence fence = leadership.fence().orElseThrow();
    wallAhead.addAndGet(step);
    clock.set(2_010 * MILLI);
    assertFalse(fence.holds().getAsBoolean());
    assertFalse(leadership.isConfirmed());
    assertTrue(leadership.fence().isEmpty());
  }

  /** The answer to a question from before the suspension says nothing of the time after it. */
  @Test
  void takeNoConfirmationFromBeforeASuspension() {
    confirm(3, 0);
    confirm(3, 2_000);
    ClockReading asked = reading();
    wallAhead.addAndGet(3_000);
    clock.set(2_010 * MILLI);
    leadership.confirmed(leading(3), asked);
    assertFalse(leadership.isConfirmed());
    confirm(3, 2_020);
    assertTrue(leadership.fence().isPresent());
  }
}
