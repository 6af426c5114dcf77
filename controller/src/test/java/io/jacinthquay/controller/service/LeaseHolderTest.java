package io.jacinthquay.controller.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Leases;
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
  private static final long MILLI = 1_000_000L;

  /** The clocks of a VM that may be suspended or stepped. */
  private static final class VmClock implements Ticker {
    private long nanos;
    private long wallAhead = 1_000_000;

    @Override
    public long nanos() {
      return nanos;
    }

    @Override
    public long wallMillis() {
      return nanos / MILLI + wallAhead;
    }
  }

  /** Grants everything until the lease is taken over. */
  private static final class Keepers implements Leases {
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
  private final Keepers keepers = new Keepers();
  private final LeaseHolder holder =
      new LeaseHolder(NAME, "c1/run", keepers, clock, LeaseTimes.DEFAULT);

  /** The monotonic clock doesn't count a suspension; another process holds the lease by then. */
  @ParameterizedTest
  @ValueSource(longs = {12_000, -12_000})
  void useNoLeaseWhereTheClocksDisagree(long step) {
    holder.step();
    Lease lease = holder.lease().orElseThrow();
    clock.wallAhead += step;
    clock.nanos += 10 * MILLI;
    assertFalse(holder.outlasts(lease, Duration.ZERO));
    assertFalse(holder.outlasts(Duration.ZERO));
    assertTrue(holder.lease().isEmpty());
  }

  @Test
  void askAtOnceWhetherTheLeaseIsStillHeldAfterASuspension() {
    holder.step();
    clock.wallAhead += 12_000;
    keepers.fencing = 3;
    holder.step();
    assertEquals(1, keepers.renewals);
    assertTrue(holder.lease().isEmpty());
    holder.step();
    assertEquals(3, holder.lease().orElseThrow().fencing().value());
  }

  @Test
  void keepTheLeaseOverAStepOfTheTimeOfDayByARenewal() {
    holder.step();
    clock.wallAhead += 5_000;
    holder.step();
    assertTrue(holder.outlasts(Duration.ofSeconds(2)));
  }
}
