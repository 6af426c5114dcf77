package io.jacinthquay.keeper;

import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.keeper.adapter.thrift.KeeperHandler;
import io.jacinthquay.keeper.adapter.thrift.ThriftPeerTransport;
import io.jacinthquay.keeper.service.ConfigChangeNotifier;
import io.jacinthquay.keeper.service.KeeperCore;
import io.jacinthquay.keeper.service.QuorumContact;
import io.jacinthquay.keeper.service.ReaderExchange;
import io.jacinthquay.keeper.state.KeeperState;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.ServiceGroup;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.gen.KeeperStatus;
import io.jacinthquay.wire.transport.SecureServer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TProcessor;

/**
 * A keeper: a replicated log, its state machine and the server for its calls.
 *
 * <pre>{@code
 * KeeperService keeper = new KeeperService(KeeperOptions.withoutPeers("k1", address, folder, identity));
 * keeper.start();
 * int port = keeper.port();
 * }</pre>
 */
public final class KeeperService implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final int QUORUM_READS_PER_KEY_LEASE = 10;

  private final KeeperOptions options;
  private final ThriftPeerTransport transport;
  private final ReplicatedLog replicatedLog;
  private final KeeperCore core;
  private final SecureServer server;
  private final ServiceGroup services;

  /** Creates a keeper that is not yet started. */
  public KeeperService(KeeperOptions options) {
    this.options = options;
    ConfigChangeNotifier configChanges = new ConfigChangeNotifier();
    KeeperState state = new KeeperState(configChanges);
    transport = new ThriftPeerTransport(options.peers(), options.identity());
    replicatedLog = newLog(state);
    Duration interval = options.keyLease().dividedBy(QUORUM_READS_PER_KEY_LEASE);
    QuorumContact quorum = new QuorumContact(replicatedLog, interval);
    core = KeeperCore.of(replicatedLog, state, quorum, configChanges, options.keyLease());
    server =
        new SecureServer(
            options.listen(), options.identity(), options.maxConnections(), this::processor);
    ReaderExchange exchange = new ReaderExchange(core.readers(), transport::sendReports);
    services = new ServiceGroup(List.of(server, new LogService(), quorum, exchange));
  }

  private ReplicatedLog newLog(KeeperState state) {
    Set<MemberId> seeds = new HashSet<>();
    seeds.add(new MemberId(options.name()));
    options.peers().keySet().forEach(peer -> seeds.add(new MemberId(peer)));
    return ReplicatedLog.builder()
        .member(new MemberId(options.name()))
        .seeds(seeds)
        .folder(options.folder())
        .transport(transport)
        .stateMachine(state)
        .options(options.log())
        .build();
  }

  private TProcessor processor(PeerIdentity peer) {
    return peer.role() == PeerRole.KEEPER
        ? transport.processor(peer, core.confirmations()::addReports)
        : new Keeper.Processor<>(new KeeperHandler(core, peer));
  }

  @Override
  public void start() {
    services.start();
    log.info("keeper {} listens on port {}", options.name(), port());
  }

  /** Returns the port that the keeper listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the status as this keeper sees it, without asking a quorum. */
  public KeeperStatus status() {
    return core.status();
  }

  @Override
  public void stop() {
    services.stop();
  }

  /** Service that starts the log after the server, and stops it before the server. */
  private final class LogService implements Service {
    @Override
    public void start() {
      try {
        replicatedLog.start();
      } catch (LogException e) {
        throw new IllegalStateException(e.getMessage(), e);
      }
    }

    @Override
    public void stop() {
      replicatedLog.stop();
    }
  }
}
