package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.keeper.state.KeeperState;
import io.jacinthquay.keeper.state.Lease;
import io.jacinthquay.keeper.state.Tables;
import io.jacinthquay.wire.gen.KeeperStatus;
import io.jacinthquay.wire.gen.LeaseGrant;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * The components that serve the calls to one keeper.
 *
 * @param log the replicated log
 * @param state the state machine of the log
 * @param proposer proposes commands
 * @param feed serves configuration changes to readers
 * @param readers the versions in force at readers
 * @param confirmations waits until readers have a version in force
 */
public record KeeperCore(
    ReplicatedLog log,
    KeeperState state,
    Proposer proposer,
    ConfigFeedService feed,
    ReaderTable readers,
    Confirmations confirmations) {
  /** Checks that no component is null. */
  public KeeperCore {
    Objects.requireNonNull(log, "log");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(proposer, "proposer");
    Objects.requireNonNull(feed, "feed");
    Objects.requireNonNull(readers, "readers");
    Objects.requireNonNull(confirmations, "confirmations");
  }

  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(10);

  /**
   * Creates the components of a keeper.
   *
   * @param log the replicated log
   * @param state the state machine of the log
   * @param quorum the time of the last contact with a quorum
   * @param configChanges raises a signal after each new configuration version
   * @param keyLease how long a key table is current after it was confirmed
   */
  public static KeeperCore of(
      ReplicatedLog log,
      KeeperState state,
      QuorumContact quorum,
      ConfigChangeNotifier configChanges,
      Duration keyLease) {
    ReaderTable readers = new ReaderTable(System::nanoTime);
    Signal readerUpdated = new Signal();
    ConfigFeedService feed =
        new ConfigFeedService(
            state, quorum, readers, configChanges.signal(), readerUpdated, keyLease);
    return new KeeperCore(
        log,
        state,
        new Proposer(log, state, PROPOSAL_TIMEOUT),
        feed,
        readers,
        new Confirmations(readers, readerUpdated));
  }

  /** Returns the current local state, without asking a quorum. */
  public Tables tables() {
    return state.tables();
  }

  /** Returns the status as this keeper sees it, without asking a quorum. */
  public KeeperStatus status() {
    LogStatus status = log.status();
    Tables tables = state.tables();
    return new KeeperStatus(
        status.self().member().value(),
        status.role().name().toLowerCase(Locale.ROOT),
        status.leader().map(leader -> leader.member().value()).orElse(""),
        status.term(),
        status.commitIndex(),
        status.appliedIndex(),
        tables.config().version(),
        status.membership().replicas().stream().map(Object::toString).toList(),
        readers.inForce(),
        readers.millisSinceHeard(),
        heldLeases(tables));
  }

  private static List<LeaseGrant> heldLeases(Tables tables) {
    long now = tables.clock().millis();
    return tables.leases().leases().values().filter(lease -> lease.heldAt(now)).asJava().stream()
        .map(lease -> grant(lease, now))
        .toList();
  }

  private static LeaseGrant grant(Lease lease, long nowMillis) {
    long remainingMillis = lease.expiresMillis() - nowMillis;
    return new LeaseGrant(lease.name(), lease.holder(), lease.fencingToken(), remainingMillis);
  }
}
