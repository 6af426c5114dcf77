package io.jacinthquay.bench.membership;

import io.jacinthquay.bench.engine.EventQueue;
import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.decision.membership.GossipNode;
import io.jacinthquay.decision.membership.GossipSettings;
import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;

/**
 * Simulates the members of one or more failure domains, which exchange messages over lossy links.
 *
 * <pre>{@code
 * MembershipTrial trial = new MembershipTrial(64, 1, 0.01, seed, message -> 0);
 * trial.run(10);
 * trial.kill(trial.nodes().get(3).self().id());
 * }</pre>
 */
public final class MembershipTrial {
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** One-way delay of a message. */
  private static final long LATENCY_NANOS = 500_000;

  /** Seed nodes in each failure domain. */
  private static final int SEEDS_PER_DOMAIN = 3;

  private final EventQueue events = new EventQueue();
  private final List<GossipNode> nodes = new ArrayList<>();
  private final Map<VmId, GossipNode> byId = new HashMap<>();
  private final Set<VmId> killed = new HashSet<>();
  private final Set<DomainId> partitionedDomains = new HashSet<>();
  private final double loss;
  private final SplittableRandom random;
  private final ToIntFunction<OutgoingMessage> messageSize;
  private long sentBytes;
  private long sentMessages;

  /**
   * Starts the members.
   *
   * @param members number of members, at least 1
   * @param domains number of failure domains, 1 to {@code members}
   * @param loss share of messages that are lost, 0 to 1
   * @param seed seed of all random numbers
   * @param messageSize returns the bytes that a message takes at its sender and at its receiver
   */
  public MembershipTrial(
      int members,
      int domains,
      double loss,
      long seed,
      ToIntFunction<OutgoingMessage> messageSize) {
    this.loss = loss;
    this.random = new SplittableRandom(seed);
    this.messageSize = messageSize;
    List<Candidate> seeds = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      DomainId domain = new DomainId("region-" + i % domains % 5 + "-domain-" + i % domains);
      if (i / domains < SEEDS_PER_DOMAIN) {
        seeds.add(new Candidate(vm(i), domain, address(i), false));
      }
      add(Member.alive(vm(i), domain, address(i), 1));
    }
    nodes.forEach(n -> n.setCandidates(seeds, 0));
  }

  private static VmId vm(int number) {
    return new VmId("entry-" + number);
  }

  private static String address(int number) {
    return "10.1." + number / 250 + "." + number % 250 + ":7400";
  }

  private void add(Member self) {
    GossipNode node = GossipNode.create(self, GossipSettings.defaults(), random.nextLong());
    nodes.add(node);
    byId.put(self.id(), node);
    events.after(random.nextLong(NANOS_PER_SECOND / 5), () -> tick(node));
  }

  private void tick(GossipNode node) {
    if (killed.contains(node.self().id())) {
      return;
    }
    node.setLoad(new MemberLoad(random.nextInt(200), random.nextInt(50)), events.now());
    send(node, node.tick(events.now()));
    long delay = Math.max(LATENCY_NANOS, node.nextTickNanos() - events.now());
    events.after(delay + random.nextLong(LATENCY_NANOS), () -> tick(node));
  }

  private void send(GossipNode sender, List<OutgoingMessage> outgoingMessages) {
    for (OutgoingMessage outgoing : outgoingMessages) {
      sentMessages++;
      sentBytes += messageSize.applyAsInt(outgoing);
      if (random.nextDouble() >= loss) {
        events.after(LATENCY_NANOS, () -> deliver(sender, outgoing));
      }
    }
  }

  private void deliver(GossipNode sender, OutgoingMessage outgoing) {
    GossipNode receiver = byId.get(outgoing.to());
    if (receiver == null || killed.contains(outgoing.to())) {
      return;
    }
    boolean sameDomain = sender.self().domain().equals(receiver.self().domain());
    boolean partitioned =
        !sameDomain
            && (partitionedDomains.contains(sender.self().domain())
                || partitionedDomains.contains(receiver.self().domain()));
    if (!partitioned) {
      send(receiver, receiver.receive(outgoing.message(), events.now()));
    }
  }

  /** Advances the virtual time by a number of seconds. */
  public void run(double seconds) {
    events.runUntil(events.now() + (long) (seconds * NANOS_PER_SECOND));
  }

  /** Stops a member without notice. */
  public void kill(VmId id) {
    killed.add(id);
  }

  /** Partitions a failure domain from the others, or reconnects it. */
  public void setPartitioned(DomainId domain, boolean partitioned) {
    if (partitioned) {
      partitionedDomains.add(domain);
    } else {
      partitionedDomains.remove(domain);
    }
  }

  /** Stops a member after it has announced that it leaves. */
  public void leave(GossipNode node) {
    send(node, node.announceLeft(events.now()));
    killed.add(node.self().id());
  }

  /** Returns all members, including stopped ones. */
  public List<GossipNode> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns the running members. */
  public List<GossipNode> running() {
    return nodes.stream().filter(n -> !killed.contains(n.self().id())).toList();
  }

  /** Returns the number of running members that regard a member as live. */
  public long countSeeingLive(VmId id) {
    return running().stream().filter(n -> n.domainView().live().contains(id)).count();
  }

  /**
   * Returns the number of ordered pairs of running members of one domain in which the first does
   * not regard the second as live.
   */
  public long falseDeaths() {
    long count = 0;
    for (GossipNode node : running()) {
      Set<VmId> live = new HashSet<>(node.domainView().live());
      for (GossipNode other : running()) {
        boolean sameDomain = other.self().domain().equals(node.self().domain());
        count += sameDomain && !live.contains(other.self().id()) ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the number of refuted suspicions; each raises the incarnation of a member by one. */
  public long refutations() {
    return nodes.stream().mapToLong(n -> n.self().incarnation() - 1).sum();
  }

  /** Returns the bytes sent so far. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the messages sent so far. */
  public long sentMessages() {
    return sentMessages;
  }

  /** Returns the virtual time, in nanoseconds. */
  public long now() {
    return events.now();
  }
}
