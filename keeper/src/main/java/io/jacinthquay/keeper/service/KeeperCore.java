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
 * Everything that serves the calls of one keeper.
 *
 * @param log the replicated log
 * @param state the state behind it
 * @param proposer proposes commands
 * @param feed feeds readers
 * @param readers the versions in force at readers
 * @param confirmations waits for readers
 */
public record KeeperCore(
    ReplicatedLog log,
    KeeperState state,
    Proposer proposer,
    ConfigFeedService feed,
    ReaderTable readers,
    Confirmations confirmations) {
  /** Checks that all parts are present. */
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
   * Returns the core of a keeper.
   *
   * @param log the replicated log
   * @param state the state behind it
   * @param quorum tells when a quorum was last heard from
   * @param watch hears of new states
   * @param keyLease how long a key table is current once confirmed
   */
  public static KeeperCore of(
      ReplicatedLog log,
      KeeperState state,
      QuorumContact quorum,
      ConfigWatch watch,
      Duration keyLease) {
    ReaderTable readers = new ReaderTable(System::nanoTime);
    Signal readerHeard = new Signal();
    ConfigFeedService feed =
        new ConfigFeedService(state, quorum, readers, watch.signal(), readerHeard, keyLease);
    return new KeeperCore(
        log,
        state,
        new Proposer(log, state, PROPOSAL_TIMEOUT),
        feed,
        readers,
        new Confirmations(readers, readerHeard));
  }

  /** Returns the newest local state. */
  public Tables tables() {
    return state.tables();
  }

  /** Returns this keeper's own view, without asking a quorum. */
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
        readers.silence(),
        heldLeases(tables));
  }

  private static List<LeaseGrant> heldLeases(Tables tables) {
    long now = tables.clock().millis();
    return tables.leases().leases().values().filter(lease -> lease.heldAt(now)).asJava().stream()
        .map(lease -> grant(lease, now))
        .toList();
  }

  private static LeaseGrant grant(Lease lease, long nowMillis) {
    long left = lease.expiresMillis() - nowMillis;
    return new LeaseGrant(lease.name(), lease.holder(), lease.fencing(), left);
  }
}
