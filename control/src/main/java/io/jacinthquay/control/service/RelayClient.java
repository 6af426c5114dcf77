package io.jacinthquay.control.service;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.transport.PlainChannel;
import java.io.IOException;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMultiplexedProtocol;

/**
 * Calls the leader for a relay, over one connection that it keeps open. Used by one thread at a
 * time.
 */
public final class RelayClient {
  private static final Logger log = LogManager.getLogger();

  /** Timeout for connecting and for each read, in milliseconds; the VMs are milliseconds apart. */
  private static final int TIMEOUT_MILLIS = 400;

  private final String service;
  private final DomainRelay relay;
  private final LongSupplier clock;
  private final LeaderReachability reachability;
  private MemberId connectedLeader;
  private PlainChannel channel;

  /**
   * Returns a client for a relay that is not connected yet.
   *
   * @param service name of the Thrift service to call
   * @param clock monotonic, in nanoseconds
   */
  public RelayClient(String service, DomainRelay relay, LongSupplier clock) {
    this.service = service;
    this.relay = relay;
    this.clock = clock;
    this.reachability = new LeaderReachability(clock);
  }

  /**
   * Sends the reports of the routers to the leader and applies the view it returns; closes the
   * connection if this VM leads or knows no leader. A leader that does not answer is reported to
   * the log, which hears it over other connections.
   */
  public synchronized void run() {
    Optional<MemberId> leader = relay.leader();
    if (leader.isEmpty()) {
      close();
      reachability.recordNoLeader();
      return;
    }
    if (!relay.isDue()) {
      return;
    }
    RelayReportMessage report = relay.takeReport(leader.get());
    reachability.recordCall(leader.get());
    try {
      if (!leader.get().equals(connectedLeader)) {
        close();
        channel =
            PlainChannel.open(
                SocketAddresses.parse(leader.get().value()), TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        connectedLeader = leader.get();
      }
      long requestNanos = clock.getAsLong();
      ControlViewMessage view =
          new Control.Client(new TMultiplexedProtocol(channel.protocol(), service)).relay(report);
      reachability.recordAnswer();
      if (view.isLeads()) {
        relay.applyView(leader.get(), view, requestNanos);
      } else {
        relay.requeue(report);
      }
    } catch (TApplicationException e) {
      // The leader answers, so that another one would gain nothing from the same report.
      reachability.recordAnswer();
      log.warn("the leader {} failed to take a report: {}", leader.get(), e.getMessage());
      relay.recordLostReports();
      close();
    } catch (IOException | TException e) {
      log.info("relay cannot reach the leader {}: {}", leader.get(), e.getMessage());
      relay.requeue(report);
      close();
      reachability.recordFailure();
      if (reachability.isLost()) {
        log.warn("the leader {} answers no calls; another one is to be elected", leader.get());
        relay.avoid(leader.get());
        reachability.recordReport();
      }
    }
  }

  /** Closes the connection. */
  public synchronized void close() {
    if (channel != null) {
      channel.close();
    }
    channel = null;
    connectedLeader = null;
  }
}
