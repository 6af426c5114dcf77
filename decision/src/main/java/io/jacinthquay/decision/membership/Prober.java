package io.jacinthquay.decision.membership;

import io.jacinthquay.decision.membership.MemberTable.Entry;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Probes one member after the other and suspects those that do not answer. */
final class Prober {
  /** Members that are asked to repeat an unanswered probe. */
  private static final int HELPERS = 3;

  /** A probe that this member makes for another one. */
  private record Errand(Member asker, long sequence, long startedAt) {}

  private final GossipNode node;
  private final MemberTable table;
  private final GossipSettings settings;
  private final SplittableRandom random;
  private final List<VmId> round = new ArrayList<>();
  private final Map<Long, Errand> errands = new HashMap<>();
  private long sequence;

  /** The member under probe; null while none is. */
  private VmId target;

  private long targetSequence;
  private long probedAt;
  private boolean helpersAsked;

  Prober(GossipNode node, MemberTable table, GossipSettings settings, SplittableRandom random) {
    this.node = node;
    this.table = table;
    this.settings = settings;
    this.random = random;
  }

  /** Returns when the running probe needs helpers. */
  long nextNanos() {
    return target == null || helpersAsked ? Long.MAX_VALUE : probedAt + settings.probeNanos();
  }

  /** Gives up the running probe without blame. */
  void reset() {
    target = null;
  }

  /** Asks helpers if the running probe got no answer. */
  void timeOut(long now, List<Outgoing> out) {
    if (target == null || helpersAsked || now - probedAt < settings.probeNanos()) {
      return;
    }
    helpersAsked = true;
    List<Entry> helpers = table.answering();
    helpers.removeIf(e -> e.member.id().equals(target));
    for (int i = 0; i < HELPERS && !helpers.isEmpty(); i++) {
      Member helper = helpers.remove(random.nextInt(helpers.size())).member;
      out.add(
          to(
              helper,
              new GossipMessage.PingRequest(
                  node.self().id(), targetSequence, target, node.payloadFor(helper.id(), now))));
    }
  }

  /** Ends the running probe and starts the next one. */
  void next(long now, List<Outgoing> out) {
    if (target != null) {
      suspect(now);
    }
    errands.values().removeIf(e -> now - e.startedAt() > settings.suspicionNanos());
    for (Entry entry : table.answering()) {
      if (entry.suspectedHere) {
        out.add(ping(entry.member, node.payloadFor(entry.member.id(), now), now));
      }
    }
    Entry chosen = choose();
    if (chosen != null) {
      target = chosen.member.id();
      out.add(ping(chosen.member, node.payloadFor(target, now), now));
      targetSequence = sequence;
      probedAt = now;
      helpersAsked = false;
    }
  }

  private void suspect(long now) {
    Entry entry = table.find(target);
    target = null;
    if (entry != null && entry.member.state() == MemberState.ALIVE) {
      node.merge(entry.member.in(MemberState.SUSPECT), now);
      entry.suspectedHere = true;
    }
  }

  /** Returns the next member of the round; every member has one turn in a round. */
  private Entry choose() {
    while (true) {
      if (round.isEmpty()) {
        table.answering().forEach(e -> round.add(e.member.id()));
        if (round.isEmpty()) {
          return null;
        }
      }
      int last = round.size() - 1;
      int index = random.nextInt(round.size());
      VmId id = round.set(index, round.get(last));
      round.remove(last);
      Entry entry = table.find(id);
      if (entry != null && entry.answers()) {
        return entry;
      }
    }
  }

  /** Returns a ping under a new number. */
  Outgoing ping(Member to, GossipPayload payload, long now) {
    sequence++;
    return to(to, new GossipMessage.Ping(node.self().id(), sequence, payload));
  }

  private static Outgoing to(Member member, GossipMessage message) {
    return new Outgoing(member.id(), member.address(), message);
  }

  /** Takes a message in; one from a stranger is answered by asking who it is. */
  void receive(GossipMessage message, long now, List<Outgoing> out) {
    Entry sender = table.find(message.from());
    if (sender == null) {
      return;
    }
    if (message instanceof GossipMessage.Ping ping) {
      out.add(ack(sender.member, ping.sequence(), node.self().id(), now));
    } else if (message instanceof GossipMessage.PingRequest request) {
      runErrand(sender.member, request, now, out);
    } else if (message instanceof GossipMessage.Ack ack) {
      acknowledged(ack, now, out);
    }
  }

  private Outgoing ack(Member to, long number, VmId about, long now) {
    GossipPayload payload = node.payloadFor(to.id(), now);
    return to(to, new GossipMessage.Ack(node.self().id(), number, about, payload));
  }

  private void runErrand(
      Member asker, GossipMessage.PingRequest request, long now, List<Outgoing> out) {
    Entry entry = table.find(request.target());
    if (entry != null) {
      out.add(ping(entry.member, node.payloadFor(request.target(), now), now));
      errands.put(sequence, new Errand(asker, request.sequence(), now));
    }
  }

  private void acknowledged(GossipMessage.Ack ack, long now, List<Outgoing> out) {
    Errand errand = errands.remove(ack.sequence());
    if (errand != null && ack.about().equals(ack.from())) {
      out.add(ack(errand.asker(), errand.sequence(), ack.about(), now));
      return;
    }
    if (ack.sequence() == targetSequence && ack.about().equals(target)) {
      target = null;
    }
  }
}
