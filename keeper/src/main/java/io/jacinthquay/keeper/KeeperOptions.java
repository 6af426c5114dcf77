package io.jacinthquay.keeper;

import io.jacinthquay.consensus.LogOptions;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;

/**
 * Options of a keeper.
 *
 * @param name the keeper's name, as in its certificate
 * @param listen address to listen on; port 0 selects a free port
 * @param folder the data folder
 * @param identity certificate of the keeper and trusted authority
 * @param peers addresses of the other keepers by name; empty for a single keeper
 * @param keyLease how long a key table is current after it was confirmed
 * @param maxConnections maximum number of simultaneous connections
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
  /** Default key lease. */
  public static final Duration DEFAULT_KEY_LEASE = Duration.ofSeconds(5);

  /** Default maximum number of simultaneous connections. */
  public static final int DEFAULT_MAX_CONNECTIONS = 512;

  /** Maximum size of a command, in bytes; fits a complete policy document at its expected size. */
  private static final int MAX_COMMAND_BYTES = 4 << 20;

  /** Log entries between two snapshots; a restart replays at most this many. */
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;

  /**
   * Copies the map and checks the options.
   *
   * @throws IllegalArgumentException if the name is missing, empty or among the peers
   */
  public KeeperOptions {
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(folder, "folder");
    Objects.requireNonNull(identity, "identity");
    Objects.requireNonNull(keyLease, "keyLease");
    Objects.requireNonNull(log, "log");
    peers = Map.copyOf(peers);
    if (name == null || name.isEmpty() || peers.containsKey(name)) {
      throw new IllegalArgumentException(
          "the name of a keeper must not be empty or the name of a peer");
    }
  }

  /**
   * Returns the options of a keeper without peers and with default limits.
   *
   * @param name the keeper's name
   * @param listen address to listen on; port 0 selects a free port
   * @param folder the data folder
   * @param identity certificate of the keeper and trusted authority
   */
  public static KeeperOptions withoutPeers(
      String name, InetSocketAddress listen, Path folder, TlsIdentity identity) {
    return new KeeperOptions(
        name,
        listen,
        folder,
        identity,
        Map.of(),
        DEFAULT_KEY_LEASE,
        DEFAULT_MAX_CONNECTIONS,
        defaultLogOptions());
  }

  /** Returns the default limits of the log. */
  public static LogOptions defaultLogOptions() {
    LogOptions log = LogOptions.DEFAULT;
    return new LogOptions(
        log.heartbeatInterval(),
        log.electionTimeout(),
        log.proposalTimeout(),
        SNAPSHOT_INTERVAL_ENTRIES,
        log.retainedEntries(),
        log.segmentBytes(),
        MAX_COMMAND_BYTES,
        log.autoReplace(),
        log.targetVoters());
  }
}
