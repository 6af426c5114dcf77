package io.jacinthquay.controller.adapter.thrift;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.LeaseStore;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.LeaseGrant;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;

/** Acquires, renews and releases leases at the keepers. */
public final class ThriftLeaseStore implements LeaseStore {
  private final KeeperClient keepers;

  /** Returns a store that calls the keepers through a client. */
  public ThriftLeaseStore(KeeperClient keepers) {
    this.keepers = Objects.requireNonNull(keepers, "keepers");
  }

  @Override
  public Either<Failure, Lease> acquire(LeaseName name, String holder, Duration length) {
    return keepers
        .call(keeper -> keeper.acquireLease(name.value(), holder, length.toMillis()))
        .map(ThriftLeaseStore::fromMessage);
  }

  @Override
  public Either<Failure, Lease> renew(Lease lease, String holder, Duration length) {
    long fencing = lease.fencing().value();
    return keepers
        .call(keeper -> keeper.renewLease(lease.name().value(), holder, fencing, length.toMillis()))
        .map(ThriftLeaseStore::fromMessage);
  }

  @Override
  public Either<Failure, Void> release(Lease lease, String holder) {
    return keepers.call(
        keeper -> {
          keeper.releaseLease(lease.name().value(), holder, lease.fencing().value());
          return null;
        });
  }

  private static Lease fromMessage(LeaseGrant grant) {
    return new Lease(
        new LeaseName(grant.getName()),
        new FencingToken(grant.getFencing()),
        Duration.ofMillis(grant.getLengthMillis()));
  }
}
