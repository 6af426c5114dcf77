package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.CustomerPolicy;
import io.vavr.control.Either;

/**
 * Authenticates API keys.
 *
 * <p>Every request is checked again; the result is never cached per connection.
 */
public interface KeyAuthority {
  /**
   * Returns the owner of a key if the key may be used now.
   *
   * @param digest the digest of the key in the request
   * @param nowNanos the current time on the monotonic clock, in nanoseconds
   * @return the owner, or the reason why the key may not be used
   */
  Either<Failure, CustomerPolicy> authenticate(KeyDigest digest, long nowNanos);

  /**
   * Returns whether this process still receives withdrawals of keys in time.
   *
   * @param nowNanos the current time on the monotonic clock, in nanoseconds
   */
  boolean isCurrent(long nowNanos);
}
