package io.jacinthquay.controller.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.LeaseName;
import io.vavr.control.Either;
import java.time.Duration;

/** Grants leases through the replicated log. */
public interface Leases {
  /** Acquires a lease, or fails while another holder has it. */
  Either<Failure, Lease> acquire(LeaseName name, String holder, Duration length);

  /** Renews a lease under its fencing number, or fails if it was granted anew. */
  Either<Failure, Lease> renew(Lease lease, String holder, Duration length);

  /** Gives a lease back before its end. */
  Either<Failure, Void> release(Lease lease, String holder);
}
