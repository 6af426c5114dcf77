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
 * Members of one or more failure domains that exchange their messages over lossy links.
 *
 * <pre>{@code
 * MembershipTrial trial = new MembershipTrial(64, 1, 0.01, seed, message -> 0);
 * trial.run(10);
 * trial.kill(trial.nodes().get(3).self().id());
 * }</pre>
 */
public final class MembershipTrial {
  static final long SECOND = 1_000_000_000L;

  private static final long LATENCY_NANOS = 500_000;
  private static final int SEEDS = 3;

  private final EventQueue events = new EventQueue();
  private final List<GossipNode> nodes = new ArrayList<>();
  private final Map<VmId, GossipNode> byId = new HashMap<>();
  private final Set<VmId> killed = new HashSet<>();
  private final Set<DomainId> cutOff = new HashSet<>();
  private final double loss;
  private final SplittableRandom random;
  private final ToIntFunction<OutgoingMessage> size;
  private long bytes;
  private long messages;

  /**
   * Starts the members.
   *
   * @param members number of members, at least 1
   * @param domains number of failure domains, 1 to {@code members}
   * @param loss share of messages that are lost, 0 to 1
   * @param seed of everything random
   * @param size bytes that a message takes at each end
   */
  public MembershipTrial(
      int members, int domains, double loss, long seed, ToIntFunction<OutgoingMessage> size) {
    this.loss = loss;
    this.random = new SplittableRandom(seed);
    this.size = size;
    List<Candidate> seeds = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      DomainId domain = new DomainId("region-" + i % domains % 5 + "-domain-" + i % domains);
      if (i / domains < SEEDS) {
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
    events.after(random.nextLong(SECOND / 5), () -> tick(node));
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

  private void send(GossipNode from, List<OutgoingMessage> out) {
    for (OutgoingMessage outgoing : out) {
      messages++;
      bytes += size.applyAsInt(outgoing);
      if (random.nextDouble() >= loss) {
        events.after(LATENCY_NANOS, () -> deliver(from, outgoing));
      }
    }
  }

  private void deliver(GossipNode from, OutgoingMessage outgoing) {
    GossipNode to = byId.get(outgoing.to());
    if (to == null || killed.contains(outgoing.to())) {
      return;
    }
    boolean sameDomain = from.self().domain().equals(to.self().domain());
    boolean cut =
        !sameDomain
            && (cutOff.contains(from.self().domain()) || cutOff.contains(to.self().domain()));
    if (!cut) {
      send(to, to.receive(outgoing.message(), events.now()));
    }
  }

  /** Lets time pass, in seconds. */
  public void run(double seconds) {
    events.runUntil(events.now() + (long) (seconds * SECOND));
  }

  /** Ends a member without a word. */
  public void kill(VmId id) {
    killed.add(id);
  }

  /** Cuts a failure domain off from the others, or reconnects it. */
  public void cut(DomainId domain, boolean cut) {
    if (cut) {
      cutOff.add(domain);
    } else {
      cutOff.remove(domain);
    }
  }

  /** Ends a member in an orderly way. */
  public void leave(GossipNode node) {
    send(node, node.announceLeft(events.now()));
    killed.add(node.self().id());
  }

  /** Returns all members, ended ones included. */
  public List<GossipNode> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns the members that run. */
  public List<GossipNode> running() {
    return nodes.stream().filter(n -> !killed.contains(n.self().id())).toList();
  }

  /** Returns how many running members hold a member for live. */
  public long holdForLive(VmId id) {
    return running().stream().filter(n -> n.domainView().live().contains(id)).count();
  }

  /**
   * Returns the pairs of running members of one domain in which one does not hold the other live.
   */
  public long falseDeaths() {
    long wrong = 0;
    for (GossipNode node : running()) {
      Set<VmId> live = new HashSet<>(node.domainView().live());
      for (GossipNode other : running()) {
        boolean same = other.self().domain().equals(node.self().domain());
        wrong += same && !live.contains(other.self().id()) ? 1 : 0;
      }
    }
    return wrong;
  }

  /** Returns the sum of the members' incarnations, which grows with each refuted suspicion. */
  public long refutations() {
    return nodes.stream().mapToLong(n -> n.self().incarnation() - 1).sum();
  }

  /** Returns the bytes sent so far. */
  public long bytes() {
    return bytes;
  }

  /** Returns the messages sent so far. */
  public long messages() {
    return messages;
  }

  /** Returns the time, in nanoseconds. */
  public long now() {
    return events.now();
  }
}
