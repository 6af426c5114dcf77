package io.jacinthquay.keeper;

import io.jacinthquay.consensus.LogOptions;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * What a keeper is built from.
 *
 * @param name the keeper's name, which its certificate also carries
 * @param listen where it serves calls; port 0 takes a free one
 * @param folder the data folder
 * @param identity the certificate and trusted authority
 * @param peers addresses of the other keepers by name; empty for a single keeper
 * @param keyLease how long a key table is current once confirmed
 * @param maxConnections most connections at one time
 * @param log timeouts and limits of the log
 */
public record KeeperOptions(
    String name,
    InetSocketAddress listen,
    Path folder,
    TlsIdentity identity,
    Map<String, InetSocketAddress> peers,
    Duration keyLease,
    int maxConnections,
    LogOptions log) {
  /** Key lease where none is set. */
  public static final Duration DEFAULT_KEY_LEASE = Duration.ofSeconds(5);

  /** Most connections where nothing else is set. */
  public static final int DEFAULT_MAX_CONNECTIONS = 512;

  /** Most bytes of one command: a whole policy document at the planned size. */
  private static final int MAX_COMMAND_BYTES = 4 << 20;

  /** Entries between two snapshots; a restart replays no more than these. */
  private static final int SNAPSHOT_EVERY_ENTRIES = 10_000;

  /**
   * Copies the map and checks the parts.
   *
   * @throws IllegalArgumentException if the name is empty or among the peers
   */
  public KeeperOptions {
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(folder, "folder");
    Objects.requireNonNull(identity, "identity");
    Objects.requireNonNull(keyLease, "keyLease");
    Objects.requireNonNull(log, "log");
    peers = Map.copyOf(peers);
    if (name == null || name.isEmpty() || peers.containsKey(name)) {
      throw new IllegalArgumentException("a keeper needs a name that no peer has");
    }
  }

  /**
   * Returns the options of a keeper without peers and with default limits.
   *
   * @param name the keeper's name
   * @param listen where it serves calls; port 0 takes a free one
   * @param folder the data folder
   * @param identity the certificate and trusted authority
   */
  public static KeeperOptions single(
      String name, InetSocketAddress listen, Path folder, TlsIdentity identity) {
    return new KeeperOptions(
        name,
        listen,
        folder,
        identity,
        Map.of(),
        DEFAULT_KEY_LEASE,
        DEFAULT_MAX_CONNECTIONS,
        defaultLog());
  }

  /** Returns the default limits of the log. */
  public static LogOptions defaultLog() {
    LogOptions log = LogOptions.DEFAULT;
    return new LogOptions(
        log.heartbeatInterval(),
        log.electionTimeout(),
        log.proposalTimeout(),
        SNAPSHOT_EVERY_ENTRIES,
        log.retainedEntries(),
        log.segmentBytes(),
        MAX_COMMAND_BYTES,
        log.autoReplace(),
        log.targetVoters());
  }
}
