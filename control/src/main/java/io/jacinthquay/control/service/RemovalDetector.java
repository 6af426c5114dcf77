package io.jacinthquay.control.service;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.transport.PlainChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMultiplexedProtocol;

/**
 * Detects that this replica was removed from the group while it was unreachable: it knows no
 * leader, and a leader that it asks no longer lists it.
 */
public final class RemovalDetector {
  private static final Logger log = LogManager.getLogger();

  /**
   * Time without a leader after which other members are asked, in nanoseconds; longer than an
   * election takes.
   */
  private static final long LEADERLESS_NANOS = 4_000_000_000L;

  /** Timeout for connecting and for each read, in milliseconds. */
  private static final int TIMEOUT_MILLIS = 400;

  private final String service;
  private final Set<MemberId> seeds;
  private long leaderSeenNanos;

  /**
   * Returns a detector.
   *
   * @param service name of the Thrift service to call
   * @param seeds members to ask in addition to those that this replica knows
   */
  public RemovalDetector(String service, Set<MemberId> seeds) {
    this.service = service;
    this.seeds = Set.copyOf(seeds);
    this.leaderSeenNanos = System.nanoTime();
  }

  /**
   * Returns whether this replica was removed. Calls other members, one after the other, if there
   * was no leader for several seconds.
   *
   * @param status status of this replica
   */
  public boolean isRemoved(LogStatus status) {
    long now = System.nanoTime();
    boolean formed = !status.membership().voters().isEmpty();
    if (status.leader().isPresent() || !formed) {
      leaderSeenNanos = now;
    }
    if (now - leaderSeenNanos < LEADERLESS_NANOS) {
      return false;
    }
    leaderSeenNanos = now - LEADERLESS_NANOS / 2;
    Set<MemberId> others = new LinkedHashSet<>(seeds);
    status.membership().replicas().forEach(replica -> others.add(replica.member()));
    others.remove(status.self().member());
    return others.stream().anyMatch(member -> isRemovedBy(member, status));
  }

  private boolean isRemovedBy(MemberId member, LogStatus status) {
    try (PlainChannel channel =
        PlainChannel.open(SocketAddresses.parse(member.value()), TIMEOUT_MILLIS, TIMEOUT_MILLIS)) {
      Control.Client client =
          new Control.Client(new TMultiplexedProtocol(channel.protocol(), service));
      ControlViewMessage view = client.exchange(emptyReport());
      return view.isLeads() && !view.getReplicas().contains(status.self().toString());
    } catch (IOException | TException e) {
      log.info("cannot ask member {} whether this replica was removed: {}", member, e.getMessage());
      return false;
    }
  }

  private static RouterReportMessage emptyReport() {
    RouterReportMessage message = new RouterReportMessage();
    message.setRouter("");
    message.setDomain("");
    message.setLoads(new ArrayList<>());
    message.setCounts(new ArrayList<>());
    message.setDemand(new ArrayList<>());
    message.setReads(new ArrayList<>());
    return message;
  }
}
