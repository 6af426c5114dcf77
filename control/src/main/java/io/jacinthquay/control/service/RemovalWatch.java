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
 * Finds out that this replica was removed while it was away: it hears of no leader, and the leader
 * no longer counts it.
 */
public final class RemovalWatch {
  private static final Logger log = LogManager.getLogger();

  /** Time without a leader after which others are asked; longer than elections take. */
  private static final long LONELY_NANOS = 4_000_000_000L;

  private static final int TIMEOUT_MILLIS = 400;

  private final String service;
  private final Set<MemberId> seeds;
  private long leaderSeen;

  /**
   * Returns a watch.
   *
   * @param service name of the service that answers
   * @param seeds members to ask beside those that this replica knows
   */
  public RemovalWatch(String service, Set<MemberId> seeds) {
    this.service = service;
    this.seeds = Set.copyOf(seeds);
    this.leaderSeen = System.nanoTime();
  }

  /** Returns whether this replica was removed. */
  public boolean isRemoved(LogStatus status) {
    long now = System.nanoTime();
    boolean formed = !status.membership().voters().isEmpty();
    if (status.leader().isPresent() || !formed) {
      leaderSeen = now;
    }
    if (now - leaderSeen < LONELY_NANOS) {
      return false;
    }
    leaderSeen = now - LONELY_NANOS / 2;
    Set<MemberId> members = new LinkedHashSet<>(seeds);
    status.membership().replicas().forEach(replica -> members.add(replica.member()));
    members.remove(status.self().member());
    return members.stream().anyMatch(member -> isUnknownTo(member, status));
  }

  private boolean isUnknownTo(MemberId member, LogStatus status) {
    try (PlainChannel channel =
        PlainChannel.open(SocketAddresses.parse(member.value()), TIMEOUT_MILLIS, TIMEOUT_MILLIS)) {
      Control.Client client =
          new Control.Client(new TMultiplexedProtocol(channel.protocol(), service));
      ControlViewMessage view = client.exchange(question());
      return view.isLeads() && !view.getReplicas().contains(status.self().toString());
    } catch (IOException | TException e) {
      log.info("member {} does not answer: {}", member, e.getMessage());
      return false;
    }
  }

  private static RouterReportMessage question() {
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
