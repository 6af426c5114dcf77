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
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class LeadershipTest {
  private static final long MILLI = 1_000_000L;

  private final AtomicLong clock = new AtomicLong();
  private final Leadership leadership =
      new Leadership("vm-1", Duration.ofMillis(2_000), clock::get);

  private static LogStatus leading(long term) {
    ReplicaId self = new ReplicaId(new MemberId("10.0.0.1:1"), 1);
    return new LogStatus(
        self, Role.LEADER, term, Optional.of(self), 1, 1, 1, 1, Membership.EMPTY, List.of());
  }

  private void confirm(long term, long atMillis) {
    clock.set(atMillis * MILLI);
    leadership.confirmed(leading(term), atMillis * MILLI);
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
}
