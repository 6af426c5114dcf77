package io.jacinthquay.decision.membership;

import io.jacinthquay.decision.membership.MemberTable.Entry;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Probes the members in turn and suspects those that do not answer. */
final class Prober {
  /** Maximum number of members that are asked to repeat an unanswered probe. */
  private static final int MAX_HELPERS = 3;

  /** A probe that this member sends on behalf of another one. */
  private record DelegatedProbe(Member requester, long sequence, long startedAt) {}

  private final GossipNode node;
  private final MemberTable table;
  private final GossipSettings settings;
  private final SplittableRandom random;
  private final List<VmId> round = new ArrayList<>();
  private final Map<Long, DelegatedProbe> delegatedProbes = new HashMap<>();
  private long sequence;

  /** The member that is being probed; null if none is. */
  private VmId target;

  private long targetSequence;
  private long probeSentAt;
  private boolean indirectSent;

  Prober(GossipNode node, MemberTable table, GossipSettings settings, SplittableRandom random) {
    this.node = node;
    this.table = table;
    this.settings = settings;
    this.random = random;
  }

  /**
   * Returns the time at which the running probe is due to be repeated through other members; {@link
   * Long#MAX_VALUE} if it is not.
   */
  long indirectProbeNanos() {
    return target == null || indirectSent ? Long.MAX_VALUE : probeSentAt + settings.probeNanos();
  }

  /** Cancels the running probe without suspecting its target. */
  void cancel() {
    target = null;
  }

  /** Repeats the running probe through other members if it was not answered in time. */
  void probeIndirectly(long now, List<OutgoingMessage> out) {
    if (target == null || indirectSent || now - probeSentAt < settings.probeNanos()) {
      return;
    }
    indirectSent = true;
    List<Entry> helpers = table.responsive();
    helpers.removeIf(e -> e.member.id().equals(target));
    for (int i = 0; i < MAX_HELPERS && !helpers.isEmpty(); i++) {
      Member helper = helpers.remove(random.nextInt(helpers.size())).member;
      out.add(
          outgoing(
              helper,
              new GossipMessage.PingRequest(
                  node.self().id(), targetSequence, target, node.payloadFor(helper.id(), now))));
    }
  }

  /** Suspects the target of a running probe, and starts the next probe. */
  void startNext(long now, List<OutgoingMessage> out) {
    if (target != null) {
      suspect(now);
    }
    delegatedProbes.values().removeIf(e -> now - e.startedAt() > settings.suspicionNanos());
    for (Entry entry : table.responsive()) {
      if (entry.suspectedLocally) {
        out.add(ping(entry.member, node.payloadFor(entry.member.id(), now), now));
      }
    }
    Entry chosen = nextTarget();
    if (chosen != null) {
      target = chosen.member.id();
      out.add(ping(chosen.member, node.payloadFor(target, now), now));
      targetSequence = sequence;
      probeSentAt = now;
      indirectSent = false;
    }
  }

  private void suspect(long now) {
    Entry entry = table.find(target);
    target = null;
    if (entry != null && entry.member.state() == MemberState.ALIVE) {
      node.merge(entry.member.withState(MemberState.SUSPECT), now);
      entry.suspectedLocally = true;
    }
  }

  /**
   * Returns the next member to probe, or null if there is none. Every member is probed once per
   * round, in random order.
   */
  private Entry nextTarget() {
    while (true) {
      if (round.isEmpty()) {
        table.responsive().forEach(e -> round.add(e.member.id()));
        if (round.isEmpty()) {
          return null;
        }
      }
      int last = round.size() - 1;
      int index = random.nextInt(round.size());
      VmId id = round.set(index, round.get(last));
      round.remove(last);
      Entry entry = table.find(id);
      if (entry != null && entry.isResponsive()) {
        return entry;
      }
    }
  }

  /** Returns a ping with a new sequence number. */
  OutgoingMessage ping(Member to, GossipPayload payload, long now) {
    sequence++;
    return outgoing(to, new GossipMessage.Ping(node.self().id(), sequence, payload));
  }

  private static OutgoingMessage outgoing(Member member, GossipMessage message) {
    return new OutgoingMessage(member.id(), member.address(), message);
  }

  /** Handles a message. Ignores one from an unknown member. */
  void receive(GossipMessage message, long now, List<OutgoingMessage> out) {
    Entry sender = table.find(message.from());
    if (sender == null) {
      return;
    }
    if (message instanceof GossipMessage.Ping ping) {
      out.add(ack(sender.member, ping.sequence(), node.self().id(), now));
    } else if (message instanceof GossipMessage.PingRequest request) {
      probeFor(sender.member, request, now, out);
    } else if (message instanceof GossipMessage.Ack ack) {
      handleAck(ack, now, out);
    }
  }

  private OutgoingMessage ack(Member to, long sequenceNumber, VmId about, long now) {
    GossipPayload payload = node.payloadFor(to.id(), now);
    return outgoing(to, new GossipMessage.Ack(node.self().id(), sequenceNumber, about, payload));
  }

  private void probeFor(
      Member requester, GossipMessage.PingRequest request, long now, List<OutgoingMessage> out) {
    Entry entry = table.find(request.target());
    if (entry != null) {
      out.add(ping(entry.member, node.payloadFor(request.target(), now), now));
      delegatedProbes.put(sequence, new DelegatedProbe(requester, request.sequence(), now));
    }
  }

  private void handleAck(GossipMessage.Ack ack, long now, List<OutgoingMessage> out) {
    DelegatedProbe delegated = delegatedProbes.remove(ack.sequence());
    if (delegated != null && ack.about().equals(ack.from())) {
      out.add(ack(delegated.requester(), delegated.sequence(), ack.about(), now));
      return;
    }
    if (ack.sequence() == targetSequence && ack.about().equals(target)) {
      target = null;
    }
  }
}
