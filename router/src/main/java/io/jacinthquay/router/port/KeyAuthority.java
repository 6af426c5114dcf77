package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.CustomerPolicy;
import io.vavr.control.Either;

/**
 * Decides whom a key belongs to and whether it may be used now.
 *
 * <p>Every request is checked anew; the answer is never kept with a connection.
 */
public interface KeyAuthority {
  /**
   * Returns the owner of a key.
   *
   * @param digest the digest of the presented key
   * @param nowNanos the present time on the monotonic clock, in nanoseconds
   * @return the owner, or why the key may not be used
   */
  Either<Failure, CustomerPolicy> authenticate(KeyDigest digest, long nowNanos);

  /**
   * Returns whether withdrawals of keys reach this process in time.
   *
   * @param nowNanos the present time on the monotonic clock, in nanoseconds
   */
  boolean isCurrent(long nowNanos);
}
