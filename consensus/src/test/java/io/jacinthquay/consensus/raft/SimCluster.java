package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicaId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Simulates a history in virtual time over a network that drops, duplicates, delays and reorders
 * messages.
 */
final class SimCluster {
  static final long TICK_NANOS = 20_000_000;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long FORMATION_LIMIT_NANOS = 10 * NANOS_PER_SECOND;
  private static final long RECOVERY_LIMIT_NANOS = 60 * NANOS_PER_SECOND;
  private static final int MAX_MEMBERS = 7;

  /** Number of members that a new member is told of at most. */
  private static final int MAX_SEEDS = 3;

  /** Time from the start of a replacement in which entries are written. */
  private static final long WRITING_NANOS = 5 * NANOS_PER_SECOND;

  /** Bound on the restarts during a replacement; each one of a leader begins a snapshot anew. */
  private static final int MAX_RESTARTS = 5;

  private static final int MAX_LATENCY_FACTOR_BITS = 5;

  private record Event(long time, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final Fault fault;
  private final SplittableRandom random;
  private final Oracle oracle = new Oracle();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final TreeMap<MemberId, SimNode> nodes = new TreeMap<>();
  private final Set<MemberId> partitionedMembers = new HashSet<>();
  private final Set<MemberId> mutedSenders = new HashSet<>();
  private final Set<ReplicaId> lostReplicas = new HashSet<>();
  private final Set<MemberId> seeds = new TreeSet<>();
  private final Set<Membership> observedMemberships =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private long observedSinceIndex;
  private long now;
  private long order;
  private long incarnations;
  private int nextValue;
  private final int latencyFactor;
  private final int targetVoters;
  private boolean unreliable;

  private SimCluster(long seed, int members, Fault fault, int targetVoters) {
    this.fault = fault;
    this.targetVoters = targetVoters;
    random = new SplittableRandom(seed);
    latencyFactor = 1 << random.nextInt(MAX_LATENCY_FACTOR_BITS);
    for (int i = 0; i < members; i++) {
      seeds.add(new MemberId("m" + i));
    }
    seeds.forEach(member -> addNode(member, seeds));
  }

  /** Simulates a history and fails if an invariant is violated. */
  static void simulate(History history, Fault fault) {
    SimCluster cluster = new SimCluster(history.seed(), history.members(), fault, 0);
    cluster.runUntilWritable(FORMATION_LIMIT_NANOS);
    cluster.unreliable = true;
    for (Step step : history.steps()) {
      cluster.apply(step);
      cluster.run(
          cluster.random.nextLong(
              cluster.random.nextBoolean() ? 6 * NANOS_PER_MILLI : 60 * NANOS_PER_MILLI));
    }
    cluster.recoverAndCheck();
  }

  /**
   * Replaces each member by one at a new address, the next once the former has its place, while
   * others crash and restart, and fails if an invariant is violated or a replacement takes too
   * long. New members know up to three of the members of their start.
   */
  static void replaceAllMembers(long seed, int members) {
    SimCluster cluster = new SimCluster(seed, members, Fault.NONE, members);
    cluster.runUntilWritable(FORMATION_LIMIT_NANOS);
    for (MemberId member : List.copyOf(cluster.nodes.keySet())) {
      cluster.unreliable = true;
      cluster.replace(member);
    }
    cluster.recoverAndCheck();
  }

  private void replace(MemberId former) {
    propose(1 + random.nextInt(4));
    run(random.nextLong(20 * NANOS_PER_MILLI));
    nodes.remove(former).crash();
    List<MemberId> known = new ArrayList<>(nodes.keySet());
    while (known.size() > MAX_SEEDS) {
      known.remove(random.nextInt(known.size()));
    }
    MemberId replacement = new MemberId("x" + former.value());
    addNode(replacement, new TreeSet<>(known));
    long end = now + RECOVERY_LIMIT_NANOS;
    int restarts = random.nextInt(MAX_RESTARTS);
    while (!hasPlaceOf(former, replacement)) {
      if (now > end) {
        throw Oracle.violation(replacement + " does not replace " + former + describe());
      }
      // A snapshot takes long in chunks of a few bytes; it must not be outdated before its end.
      if (end - now > RECOVERY_LIMIT_NANOS - WRITING_NANOS) {
        propose(1);
      }
      run(random.nextLong(400 * NANOS_PER_MILLI));
      if (restarts > 0 && random.nextInt(4) == 0) {
        restarts--;
        restart(pick(random.nextInt(nodes.size())));
      }
    }
  }

  private boolean hasPlaceOf(MemberId former, MemberId replacement) {
    Set<ReplicaId> voters = oracle.latestMembership().voters();
    return voters.size() == targetVoters
        && voters.stream().anyMatch(voter -> voter.member().equals(replacement))
        && voters.stream().noneMatch(voter -> voter.member().equals(former));
  }

  /** Returns the number of voters up to which members are added; 0 for no such number. */
  int targetVoters() {
    return targetVoters;
  }

  long now() {
    return now;
  }

  Fault fault() {
    return fault;
  }

  SplittableRandom random() {
    return random;
  }

  Oracle oracle() {
    return oracle;
  }

  void schedule(long delay, Runnable action) {
    events.add(new Event(now + delay, order++, action));
  }

  private void run(long nanos) {
    long end = now + nanos;
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event event = events.poll();
      now = event.time();
      event.action().run();
    }
    now = end;
  }

  private void addNode(MemberId member, Set<MemberId> knownSeeds) {
    SimNode node = new SimNode(this, knownSeeds, freshDisk(member));
    nodes.put(member, node);
    node.start();
  }

  private SimDisk freshDisk(MemberId member) {
    return new SimDisk(new ReplicaId(member, ++incarnations));
  }

  void send(Message message) {
    oracle.sent(message);
    SimNode target = nodes.get(message.to().member());
    MemberId from = message.from().member();
    MemberId to = message.to().member();
    int copies = 1;
    if (unreliable && random.nextInt(25) == 0) {
      copies = random.nextInt(3);
    }
    for (int i = 0; i < copies && target != null; i++) {
      schedule(delay(), () -> deliver(from, to, message));
    }
  }

  private long delay() {
    boolean delayed = unreliable && random.nextInt(30) == 0;
    return random.nextLong(
        200_000, delayed ? 800 * NANOS_PER_MILLI : latencyFactor() * 4 * NANOS_PER_MILLI);
  }

  /** Returns the factor, drawn once per history, that multiplies network and disk delays. */
  int latencyFactor() {
    return unreliable ? latencyFactor : 1;
  }

  private void deliver(MemberId from, MemberId to, Message message) {
    boolean dropped =
        partitionedMembers.contains(from) != partitionedMembers.contains(to)
            || mutedSenders.contains(from);
    SimNode target = nodes.get(to);
    if (!dropped && target != null) {
      target.receive(message);
    }
  }

  /** Picks a leader for odd targets, if there is one, since faults of a leader have most effect. */
  private SimNode pick(int target) {
    List<SimNode> leaders = leaders();
    if (target % 2 == 1 && !leaders.isEmpty()) {
      return leaders.get(target % leaders.size());
    }
    return new ArrayList<>(nodes.values()).get(target % nodes.size());
  }

  private List<SimNode> leaders() {
    return nodes.values().stream().filter(n -> n.isUp() && n.status().isLeader()).toList();
  }

  private void apply(Step step) {
    SimNode node = pick(step.target());
    MemberId member = node.replica().member();
    switch (step.kind()) {
      case PROPOSE -> propose(1 + step.amount() % 6);
      case READ -> nodes.values().stream().filter(SimNode::isUp).forEach(SimNode::read);
      case RUN -> run((step.amount() % 700) * NANOS_PER_MILLI);
      case CRASH -> node.crash();
      case RESTART -> restart(node);
      case WIPE -> wipe(node);
      case CUT -> cut(step.amount());
      case CUT_OUTGOING -> mutedSenders.add(member);
      case HEAL -> heal();
      case PAUSE -> node.pause((step.amount() % 1000) * NANOS_PER_MILLI);
      case CLOCK_RATE -> node.setClockRate(0.25 + (step.amount() % 100) / 25.0);
      case DISK_FAILURE -> node.failDisk();
      case ADD_MEMBER -> addMember();
      case REMOVE_MEMBER -> remove(node);
      case TRANSFER_LEADERSHIP -> leaders().forEach(SimNode::transferLeadership);
      default -> throw new IllegalArgumentException(step.toString());
    }
  }

  private void propose(int commands) {
    for (SimNode leader : leaders()) {
      for (int i = 0; i < commands; i++) {
        leader.propose(nextValue++);
      }
    }
  }

  private static void restart(SimNode node) {
    node.crash();
    node.start();
  }

  private void cut(int mask) {
    partitionedMembers.clear();
    int bit = 0;
    for (MemberId member : nodes.keySet()) {
      if ((mask >> bit++ & 1) == 1) {
        partitionedMembers.add(member);
      }
    }
  }

  private void heal() {
    partitionedMembers.clear();
    mutedSenders.clear();
  }

  /** Wipes a disk if every membership that may be in force keeps a quorum of intact disks. */
  private void wipe(SimNode node) {
    Set<ReplicaId> lostAfterWipe = new HashSet<>(lostReplicas);
    lostAfterWipe.add(node.replica());
    if (!possibleMemberships().stream().allMatch(m -> keepsQuorum(m, lostAfterWipe))) {
      return;
    }
    lostReplicas.add(node.replica());
    SimDisk fresh =
        fault == Fault.WIPED_DISK_KEEPS_IDENTITY
            ? new SimDisk(node.replica())
            : freshDisk(node.replica().member());
    node.wipe(fresh);
    node.start();
  }

  private static boolean keepsQuorum(Membership membership, Set<ReplicaId> lost) {
    long intact = membership.voters().stream().filter(v -> !lost.contains(v)).count();
    return intact >= membership.quorum();
  }

  /** Records a membership that a replica holds, since messages in flight may carry it to others. */
  void observeMembership(Membership membership) {
    if (observedSinceIndex != oracle.latestReconfiguration()) {
      observedSinceIndex = oracle.latestReconfiguration();
      observedMemberships.clear();
    }
    observedMemberships.add(membership);
  }

  private List<Membership> possibleMemberships() {
    List<Membership> memberships = new ArrayList<>(observedMemberships);
    for (SimNode node : nodes.values()) {
      memberships.addAll(node.disk().membershipsFrom(oracle.latestReconfiguration()));
    }
    memberships.removeIf(Membership.EMPTY::equals);
    return memberships;
  }

  private void addMember() {
    if (nodes.size() < MAX_MEMBERS) {
      addNode(new MemberId("x" + nodes.size()), seeds);
    }
    for (SimNode leader : leaders()) {
      leader.status().joinCandidates().stream()
          .filter(replica -> !seeds.contains(replica.member()))
          .findFirst()
          .ifPresent(replica -> leader.change(new MembershipChange.AddLearner(replica)));
    }
  }

  /** Removes a replica if the remaining voters keep a quorum of intact disks. */
  private void remove(SimNode node) {
    MembershipChange change = new MembershipChange.Remove(node.replica());
    for (SimNode leader : leaders()) {
      Membership after = leader.status().membership().with(change);
      if (after.voters().size() > 1 && keepsQuorum(after, lostReplicas)) {
        leader.change(change);
      }
    }
  }

  private String describe() {
    StringBuilder text = new StringBuilder();
    for (SimNode node : nodes.values()) {
      text.append("\n  ").append(node.status());
    }
    return text.append("\n  lost ").append(lostReplicas).toString();
  }

  private void runUntilWritable(long limit) {
    long end = now + limit;
    long acknowledged = oracle.highestAcknowledged();
    while (oracle.highestAcknowledged() == acknowledged) {
      if (now > end) {
        throw Oracle.violation(
            "no write is acknowledged although every replica is running: " + describe());
      }
      propose(1);
      run(100 * NANOS_PER_MILLI);
    }
  }

  /** Ends all faults, then checks that writes succeed and that every voter has every entry. */
  private void recoverAndCheck() {
    unreliable = false;
    heal();
    for (Map.Entry<MemberId, SimNode> entry : nodes.entrySet()) {
      entry.getValue().setClockRate(1);
      entry.getValue().pause(0);
      restart(entry.getValue());
    }
    runUntilWritable(RECOVERY_LIMIT_NANOS);
    long expected = oracle.highestAcknowledged();
    run(2 * NANOS_PER_SECOND);
    Set<ReplicaId> voters = oracle.latestMembership().voters();
    for (SimNode node : nodes.values()) {
      if (voters.contains(node.replica())) {
        check(node, expected);
      }
    }
  }

  private void check(SimNode node, long expected) {
    if (node.appliedIndex() < expected) {
      throw Oracle.violation(
          node.replica() + " applied up to " + node.appliedIndex() + " of " + expected);
    }
    if (!node.state().equals(oracle.commandsTo(node.appliedIndex()))) {
      throw Oracle.violation(node.replica() + " has a wrong state");
    }
  }
}
