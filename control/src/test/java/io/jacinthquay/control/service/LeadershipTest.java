package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.Role;
import io.jacinthquay.control.port.LeaderLease;
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
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final AtomicLong clock = new AtomicLong();
  private final AtomicLong wallOffsetMillis = new AtomicLong(1_000_000);
  private final Leadership leadership =
      new Leadership("vm-1", Duration.ofMillis(2_000), this::reading);

  private ClockReading reading() {
    return new ClockReading(clock.get(), clock.get() / NANOS_PER_MILLI + wallOffsetMillis.get());
  }

  private static LogStatus leaderStatus(long term) {
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
    clock.set(atMillis * NANOS_PER_MILLI);
    leadership.recordConfirmation(leaderStatus(term), reading());
  }

  @Test
  void holdsNoLeaseBeforeTheHoldTime() {
    confirm(3, 0);
    assertTrue(leadership.isConfirmed());
    assertTrue(leadership.lease().isEmpty());
    confirm(3, 1_999);
    assertTrue(leadership.lease().isEmpty());
    confirm(3, 2_000);
    assertEquals(3, leadership.lease().orElseThrow().fencingToken());
  }

  /**
   * A leader that is frozen or disconnected while it holds a lease must lose the lease without any
   * message.
   */
  @Test
  void losesLeaseWithoutConfirmation() {
    confirm(3, 0);
    confirm(3, 2_000);
    LeaderLease lease = leadership.lease().orElseThrow();
    assertTrue(lease.heldCheck().getAsBoolean());
    clock.set(2_700 * NANOS_PER_MILLI);
    assertFalse(lease.heldCheck().getAsBoolean());
    assertFalse(leadership.isConfirmed());
  }

  @Test
  void holdTimeStartsAgainInEachTerm() {
    confirm(3, 0);
    confirm(3, 2_000);
    LeaderLease formerLease = leadership.lease().orElseThrow();
    leadership.recordLoss();
    confirm(5, 2_100);
    assertTrue(leadership.lease().isEmpty());
    assertFalse(formerLease.heldCheck().getAsBoolean());
  }

  /**
   * The monotonic clock doesn't count the time of a suspension, after which another VM may lead.
   */
  @ParameterizedTest
  @ValueSource(longs = {700, 3_000, -3_000})
  void losesLeaseWhenClocksDisagree(long step) {
    confirm(3, 0);
    confirm(3, 2_000);
    LeaderLease lease = leadership.lease().orElseThrow();
    wallOffsetMillis.addAndGet(step);
    clock.set(2_010 * NANOS_PER_MILLI);
    assertFalse(lease.heldCheck().getAsBoolean());
    assertFalse(leadership.isConfirmed());
    assertTrue(leadership.lease().isEmpty());
  }

  /**
   * A confirmation that was asked for before a suspension proves nothing about the time after it.
   */
  @Test
  void ignoresConfirmationFromBeforeASuspension() {
    confirm(3, 0);
    confirm(3, 2_000);
    ClockReading requestTime = reading();
    wallOffsetMillis.addAndGet(3_000);
    clock.set(2_010 * NANOS_PER_MILLI);
    leadership.recordConfirmation(leaderStatus(3), requestTime);
    assertFalse(leadership.isConfirmed());
    confirm(3, 2_020);
    assertTrue(leadership.lease().isPresent());
  }
}
