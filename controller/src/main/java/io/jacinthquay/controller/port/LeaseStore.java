package io.jacinthquay.controller.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.LeaseName;
import io.vavr.control.Either;
import java.time.Duration;

/** Acquires, renews and releases leases in the replicated log. */
public interface LeaseStore {
  /**
   * Acquires a lease.
   *
   * @return the grant, or a failure while another holder has the lease
   */
  Either<Failure, Lease> acquire(LeaseName name, String holder, Duration length);

  /**
   * Renews a lease.
   *
   * @return the grant with the same fencing token, or a failure if the lease has been granted again
   */
  Either<Failure, Lease> renew(Lease lease, String holder, Duration length);

  /** Releases a lease before it expires. */
  Either<Failure, Void> release(Lease lease, String holder);
}
