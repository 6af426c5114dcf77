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

/** Looks keys up in the configuration in force, as long as the key lease lasts. */
public final class LeasedKeyAuthority implements KeyAuthority {
  private final PolicyHolder policies;
  private final KeyLease lease;
  private final WithdrawnKeys withdrawn;

  /** Returns an authority over the configuration in force. */
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
    Optional<CustomerPolicy> customer = key.flatMap(k -> policy.customer(k.customer()));
    if (customer.isEmpty()) {
      boolean current = lease.isCurrent(nowNanos, 0);
      return Either.left(
          Failure.of(current ? ResultCode.KEY_UNKNOWN : ResultCode.KEYS_NOT_CURRENT));
    }
    if (key.get().withdrawn()) {
      return Either.left(Failure.of(ResultCode.KEY_WITHDRAWN));
    }
    long grace = TimeUnit.SECONDS.toNanos(customer.get().cutOffGraceSeconds());
    if (!lease.isCurrent(nowNanos, grace)) {
      return Either.left(Failure.of(ResultCode.KEYS_NOT_CURRENT));
    }
    return Either.right(customer.get());
  }

  @Override
  public boolean isCurrent(long nowNanos) {
    return lease.isCurrent(nowNanos, 0);
  }
}
