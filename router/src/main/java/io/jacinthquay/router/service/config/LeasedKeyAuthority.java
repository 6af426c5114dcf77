package io.jacinthquay.router.service.config;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.CustomerPolicy;
import io.jacinthquay.model.policy.KeyRecord;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.KeyAuthority;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Authenticates keys by the configuration in force while the key lease is valid.
 *
 * <p>After the lease has expired, a known key is still accepted for the grace period of its
 * customer.
 */
public final class LeasedKeyAuthority implements KeyAuthority {
  private final PolicyHolder policies;
  private final KeyLease lease;
  private final WithdrawnKeys withdrawn;

  /**
   * Returns an authority.
   *
   * @param policies the configuration in force
   * @param lease the lease on its key table
   * @param withdrawn keys that are rejected although the configuration may still list them as valid
   */
  public LeasedKeyAuthority(PolicyHolder policies, KeyLease lease, WithdrawnKeys withdrawn) {
    this.policies = policies;
    this.lease = lease;
    this.withdrawn = withdrawn;
  }

  @Override
  public Either<Failure, CustomerPolicy> authenticate(KeyDigest digest, long nowNanos) {
    if (withdrawn.contains(digest)) {
      return Either.left(Failure.of(ResultCode.KEY_WITHDRAWN));
    }
    Policy policy = policies.view().policy();
    Optional<KeyRecord> key = policy.key(digest);
    Optional<CustomerPolicy> customer =
        key.flatMap(keyRecord -> policy.customer(keyRecord.customer()));
    if (customer.isEmpty()) {
      boolean current = lease.isCurrent(nowNanos, 0);
      return Either.left(
          Failure.of(current ? ResultCode.KEY_UNKNOWN : ResultCode.KEYS_NOT_CURRENT));
    }
    if (key.get().withdrawn()) {
      return Either.left(Failure.of(ResultCode.KEY_WITHDRAWN));
    }
    long graceNanos = TimeUnit.SECONDS.toNanos(customer.get().cutOffGraceSeconds());
    if (!lease.isCurrent(nowNanos, graceNanos)) {
      return Either.left(Failure.of(ResultCode.KEYS_NOT_CURRENT));
    }
    return Either.right(customer.get());
  }

  @Override
  public boolean isCurrent(long nowNanos) {
    return lease.isCurrent(nowNanos, 0);
  }
}
