package io.jacinthquay.controller.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.LeaseStore;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LeaseHolderTest {
  private static final LeaseName NAME = new LeaseName("usage/0");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The clocks of a VM that may be suspended or whose wall clock may be set. */
  private static final class VmClock implements Ticker {
    private long nanos;
    private long wallOffsetMillis = 1_000_000;

    @Override
    public long nanos() {
      return nanos;
    }

    @Override
    public long wallMillis() {
      return nanos / NANOS_PER_MILLI + wallOffsetMillis;
    }
  }

  /** Grants every request while the fencing token stays the same. */
  private static final class FakeKeepers implements LeaseStore {
    private long fencing = 1;
    private int renewals;

    @Override
    public Either<Failure, Lease> acquire(LeaseName name, String holder, Duration length) {
      return Either.right(new Lease(name, new FencingToken(fencing), length));
    }

    @Override
    public Either<Failure, Lease> renew(Lease lease, String holder, Duration length) {
      renewals++;
      return lease.fencing().value() == fencing
          ? Either.right(lease)
          : Either.left(Failure.of(ResultCode.LEASE_LOST));
    }

    @Override
    public Either<Failure, Void> release(Lease lease, String holder) {
      return Either.right(null);
    }
  }

  private final VmClock clock = new VmClock();
  private final FakeKeepers keepers = new FakeKeepers();
  private final LeaseHolder holder =
      new LeaseHolder(NAME, "c1/run", keepers, clock, LeaseOptions.DEFAULT);

  /**
   * The monotonic clock doesn't advance while the VM is suspended, so the lease may have expired
   * and another process may hold it.
   */
  @ParameterizedTest
  @ValueSource(longs = {12_000, -12_000})
  void leaseIsNotUsedWhileTheClocksDisagree(long wallStepMillis) {
    holder.acquireOrRenew();
    Lease lease = holder.lease().orElseThrow();
    clock.wallOffsetMillis += wallStepMillis;
    clock.nanos += 10 * NANOS_PER_MILLI;
    assertFalse(holder.isValidFor(lease, Duration.ZERO));
    assertFalse(holder.isValidFor(Duration.ZERO));
    assertTrue(holder.lease().isEmpty());
  }

  @Test
  void leaseLostDuringASuspensionIsDetectedByAnImmediateRenewal() {
    holder.acquireOrRenew();
    clock.wallOffsetMillis += 12_000;
    keepers.fencing = 3;
    holder.acquireOrRenew();
    assertEquals(1, keepers.renewals);
    assertTrue(holder.lease().isEmpty());
    holder.acquireOrRenew();
    assertEquals(3, holder.lease().orElseThrow().fencing().value());
  }

  @Test
  void renewalKeepsTheLeaseAfterAStepOfTheWallClock() {
    holder.acquireOrRenew();
    clock.wallOffsetMillis += 5_000;
    holder.acquireOrRenew();
    assertTrue(holder.isValidFor(Duration.ofSeconds(2)));
  }
}
