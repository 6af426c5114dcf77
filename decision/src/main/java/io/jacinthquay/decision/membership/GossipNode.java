package io.jacinthquay.decision.membership;

import io.jacinthquay.decision.membership.MemberTable.Entry;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The membership of one router, as a pure state machine.
 *
 * <pre>{@code
 * GossipNode node = GossipNode.create(Member.alive(id, domain, address, startMillis), settings, seed);
 * node.setCandidates(seeds, now);
 * send(node.tick(now));                 // at nextTickNanos() or every few milliseconds
 * send(node.receive(message, now));
 * admission.setView(now, domain, node.domainView());
 * }</pre>
 *
 * <p>In every period one member is probed, first directly and then through others. A member that
 * does not answer is suspected; one that does not refute the suspicion in time with a higher
 * incarnation is declared dead. Not thread-safe.
 */
public final class GossipNode {
  static final long NANOS_PER_MILLI = 1_000_000;

  /** Minimum time between two broadcasts of this member's load, in nanoseconds. */
  private static final long MIN_LOAD_INTERVAL_NANOS = 1_000_000_000;

  /**
   * The same per member of the failure domain, so that the size of messages stays bounded, in
   * nanoseconds.
   */
  private static final long LOAD_INTERVAL_PER_MEMBER_NANOS = 70_000_000;

  /**
   * Number of times a load or summary is transmitted. A few suffice, because a member that misses
   * one receives the next.
   */
  private static final int LOAD_TRANSMISSIONS = 3;

  /**
   * Number of members up to which the full state is exchanged at the configured interval; with more
   * members the interval grows in proportion.
   */
  private static final int MEMBERS_PER_SYNC_INTERVAL = 64;

  /** Maximum number of members that are notified directly that this one leaves. */
  private static final int MAX_LEAVE_NOTICES = 8;

  /** Number of times a member report is transmitted, per bit of the number of members. */
  private static final int TRANSMISSIONS_PER_BIT = 3;

  /** Mean number of periods between two contacts to unresponsive candidates. */
  private static final int UNRESPONSIVE_CONTACT_PERIODS = 5;

  /**
   * Time for which this member includes its own report in messages to a member whose report
   * changed, in nanoseconds.
   */
  private static final long INTRODUCTION_NANOS = 2_000_000_000;

  private final GossipSettings settings;
  private final SplittableRandom random;
  private final MemberTable table = new MemberTable();
  private final SummaryExchange summaries;
  private final TreeMap<VmId, Candidate> candidates = new TreeMap<>();
  private final BroadcastQueue<VmId> memberBroadcasts = new BroadcastQueue<>();
  private final BroadcastQueue<VmId> loadBroadcasts = new BroadcastQueue<>();
  private final BroadcastQueue<VmId> summaryBroadcasts = new BroadcastQueue<>();
  private final Prober prober;
  private Member self;
  private LoadUpdate load;
  private long loadSetAt;
  private long lastTick;
  private long nextPeriod;
  private long nextSync;
  private long nextSummary;
  private boolean started;

  private GossipNode(Member self, GossipSettings settings, long seed) {
    this.self = self;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.summaries = new SummaryExchange(self.domain());
    this.prober = new Prober(this, table, settings, random);
    this.load = new LoadUpdate(self.id(), self.incarnation(), 0, 0, MemberLoad.NONE);
  }

  /**
   * Returns the node of a member that knows of no other member yet.
   *
   * @param self the report about this member; its incarnation must exceed that of every earlier
   *     start of the VM
   * @param settings the intervals and sizes
   * @param seed the seed of the random choices
   */
  public static GossipNode create(Member self, GossipSettings settings, long seed) {
    return new GossipNode(self, settings, seed);
  }

  /**
   * Replaces the VMs that may be members, from the settings and the platform's list. A member that
   * is dead or has left and is no longer included is removed.
   */
  public void setCandidates(Collection<Candidate> all, long nowNanos) {
    List<VmId> previous = new ArrayList<>(candidates.keySet());
    candidates.clear();
    for (Candidate candidate : all) {
      if (candidate.domain().equals(self.domain()) && !candidate.id().equals(self.id())) {
        candidates.put(candidate.id(), candidate);
      }
    }
    previous.stream()
        .filter(id -> !candidates.containsKey(id))
        .forEach(table::removeIfUnresponsive);
    for (Entry entry : table.all()) {
      Candidate listed = candidates.get(entry.member.id());
      entry.markedLeaving = listed != null && listed.leaving();
    }
    summaries.setCandidates(all);
  }

  /** Sets the load of this member. It is ignored if the previous one was set too recently. */
  public void setLoad(MemberLoad newLoad, long nowNanos) {
    long interval =
        Math.max(MIN_LOAD_INTERVAL_NANOS, LOAD_INTERVAL_PER_MEMBER_NANOS * table.all().size());
    boolean due = load.version() == 0 || nowNanos - loadSetAt >= interval;
    if (due) {
      loadSetAt = nowNanos;
      load = new LoadUpdate(self.id(), self.incarnation(), load.version() + 1, 0, newLoad);
      loadBroadcasts.add(self.id());
    }
  }

  /** Returns the time at which {@link #tick} is due. */
  public long nextTickNanos() {
    if (!started) {
      return Long.MIN_VALUE;
    }
    return Math.min(nextPeriod, prober.indirectProbeNanos());
  }

  /** Performs the actions that are due, and returns the messages to send. */
  public List<OutgoingMessage> tick(long nowNanos) {
    List<OutgoingMessage> out = new ArrayList<>();
    handlePause(nowNanos);
    for (Member dead : table.expiredSuspicions(nowNanos, settings.suspicionNanos())) {
      merge(dead, nowNanos);
    }
    prober.probeIndirectly(nowNanos, out);
    if (nowNanos - nextPeriod >= 0) {
      nextPeriod = nowNanos + settings.periodNanos();
      table.removeExpired(nowNanos, settings.forgetNanos());
      summaries.expire(nowNanos);
      prober.startNext(nowNanos, out);
      contactUnresponsive(out);
    }
    if (nowNanos - nextSync >= 0) {
      nextSync = nowNanos + syncInterval();
      randomMember().ifPresent(e -> out.add(sync(e.member.id(), e.member.address(), false)));
    }
    if (nowNanos - nextSummary >= 0) {
      nextSummary = nowNanos + settings.summaryNanos();
      exchangeSummaries(nowNanos, out);
    }
    return out;
  }

  /**
   * After a pause of this process, extends suspicions and cancels the running probe, because
   * answers could not be received in the meantime.
   */
  private void handlePause(long now) {
    if (!started) {
      started = true;
      nextPeriod = now;
      nextSync = now + random.nextLong(settings.syncNanos());
      nextSummary = now + random.nextLong(settings.summaryNanos());
    } else if (now - lastTick > 2 * settings.periodNanos()) {
      table.extendSuspicions(now - lastTick);
      prober.cancel();
    }
    lastTick = now;
  }

  private long syncInterval() {
    long scale = Math.max(1, table.all().size() / MEMBERS_PER_SYNC_INTERVAL);
    return settings.syncNanos() * scale / 2 + random.nextLong(settings.syncNanos() * scale);
  }

  private Optional<Entry> randomMember() {
    List<Entry> responsive = table.responsive();
    return responsive.isEmpty()
        ? Optional.empty()
        : Optional.of(responsive.get(random.nextInt(responsive.size())));
  }

  /**
   * Contacts one unresponsive candidate or dead member, so that joins and healed network partitions
   * are noticed: in every period if no member responds, otherwise in random ones.
   */
  private void contactUnresponsive(List<OutgoingMessage> out) {
    List<Candidate> unresponsive = new ArrayList<>();
    for (Candidate candidate : candidates.values()) {
      Entry entry = table.find(candidate.id());
      if (entry == null || entry.member.state() == MemberState.DEAD) {
        unresponsive.add(candidate);
      }
    }
    for (Entry entry : table.all()) {
      Member m = entry.member;
      if (m.state() == MemberState.DEAD && !candidates.containsKey(m.id())) {
        unresponsive.add(new Candidate(m.id(), m.domain(), m.address(), false));
      }
    }
    boolean isolated = table.responsive().isEmpty();
    if (!unresponsive.isEmpty()
        && (isolated || random.nextInt(UNRESPONSIVE_CONTACT_PERIODS) == 0)) {
      Candidate chosen = unresponsive.get(random.nextInt(unresponsive.size()));
      out.add(sync(chosen.id(), chosen.address(), false));
    }
  }

  private OutgoingMessage sync(VmId to, String address, boolean answer) {
    List<Member> all = new ArrayList<>();
    for (Entry entry : table.all()) {
      all.add(entry.member);
    }
    GossipPayload payload = new GossipPayload(all, List.of(), List.of());
    return new OutgoingMessage(to, address, new GossipMessage.Sync(self, answer, payload));
  }

  private void exchangeSummaries(long now, List<OutgoingMessage> out) {
    List<Member> liveMembers = liveMembers();
    List<Relay> relays = summaries.relays(liveMembers);
    if (relays.stream().noneMatch(r -> r.id().equals(self.id()))) {
      return;
    }
    MemberLoad sum = load.load();
    for (Entry entry : table.responsive()) {
      sum = entry.load == null ? sum : sum.plus(entry.load.load());
    }
    out.addAll(summaries.messages(self, liveMembers.size(), sum, relays, now, random));
  }

  private List<Member> liveMembers() {
    List<Member> liveMembers = new ArrayList<>(List.of(self));
    table.responsive().forEach(e -> liveMembers.add(e.member));
    return liveMembers;
  }

  /** Handles a message and returns the answers. */
  public List<OutgoingMessage> receive(GossipMessage message, long nowNanos) {
    if (message instanceof GossipMessage.Sync sync) {
      merge(sync.self(), nowNanos);
    }
    apply(message.payload(), nowNanos);
    List<OutgoingMessage> out = new ArrayList<>();
    if (message instanceof GossipMessage.Sync sync) {
      if (!sync.answer()) {
        out.add(sync(sync.from(), sync.self().address(), true));
      }
    } else {
      prober.receive(message, nowNanos, out);
    }
    return out;
  }

  private void apply(GossipPayload payload, long now) {
    payload.members().forEach(m -> merge(m, now));
    for (LoadUpdate update : payload.loads()) {
      if (table.merge(update, now)) {
        loadBroadcasts.add(update.id());
      }
    }
    for (DomainSummary summary : payload.summaries()) {
      if (summaries.merge(summary, now)) {
        summaryBroadcasts.add(summary.origin());
      }
    }
  }

  /** Applies a report, and broadcasts it if it changed anything. */
  void merge(Member report, long now) {
    if (report.id().equals(self.id())) {
      refute(report);
    } else if (report.domain().equals(self.domain()) && table.merge(report, now)) {
      memberBroadcasts.add(report.id());
      Candidate listed = candidates.get(report.id());
      table.find(report.id()).markedLeaving = listed != null && listed.leaving();
    }
  }

  private void refute(Member report) {
    boolean newer = report.incarnation() > self.incarnation();
    boolean suspected =
        report.incarnation() == self.incarnation() && report.state() != MemberState.ALIVE;
    if (self.state() == MemberState.ALIVE && (newer || suspected)) {
      announce(self.withIncarnation(report.incarnation() + 1, self.leaving()));
    }
  }

  private void announce(Member newSelf) {
    self = newSelf;
    memberBroadcasts.add(self.id());
  }

  /**
   * Returns the updates for a message. If the receiver is not considered alive, its report comes
   * first so that it can refute the report.
   */
  GossipPayload payloadFor(VmId receiver, long now) {
    int maxTransmissions =
        TRANSMISSIONS_PER_BIT * (Integer.SIZE - Integer.numberOfLeadingZeros(table.all().size()));
    List<Member> members = new ArrayList<>();
    Entry receiverEntry = table.find(receiver);
    if (receiverEntry != null && receiverEntry.member.state() != MemberState.ALIVE) {
      members.add(receiverEntry.member);
    }
    if (receiverEntry != null && now - receiverEntry.changedAt < INTRODUCTION_NANOS) {
      members.add(self);
    }
    for (VmId id : memberBroadcasts.next(settings.membersPerMessage(), maxTransmissions)) {
      if (id.equals(self.id())) {
        members.add(self);
      } else if (table.find(id) != null) {
        members.add(table.find(id).member);
      }
    }
    return new GossipPayload(members, loadUpdates(now), summaryUpdates(now));
  }

  private List<LoadUpdate> loadUpdates(long now) {
    List<LoadUpdate> loads = new ArrayList<>();
    for (VmId id : loadBroadcasts.next(settings.loadsPerMessage(), LOAD_TRANSMISSIONS)) {
      Entry entry = table.find(id);
      if (id.equals(self.id())) {
        loads.add(load.withAge((now - loadSetAt) / NANOS_PER_MILLI));
      } else if (entry != null && entry.load != null) {
        loads.add(entry.load.withAge(entry.loadAgeMillis(now)));
      }
    }
    return loads;
  }

  private List<DomainSummary> summaryUpdates(long now) {
    List<DomainSummary> updates = new ArrayList<>();
    for (VmId origin : summaryBroadcasts.next(settings.summariesPerMessage(), LOAD_TRANSMISSIONS)) {
      DomainSummary summary = summaries.find(origin, now);
      if (summary != null) {
        updates.add(summary);
      }
    }
    return updates;
  }

  /** Announces that this member is leaving, so that it gets no new work. It still answers. */
  public List<OutgoingMessage> announceLeaving(long nowNanos) {
    announce(self.withIncarnation(self.incarnation() + 1, true));
    return leaveNotices(nowNanos);
  }

  /** Announces that this member stops. Must be called last. */
  public List<OutgoingMessage> announceLeft(long nowNanos) {
    announce(self.withIncarnation(self.incarnation() + 1, true).withState(MemberState.LEFT));
    return leaveNotices(nowNanos);
  }

  private List<OutgoingMessage> leaveNotices(long now) {
    List<Entry> receivers = table.responsive();
    List<OutgoingMessage> out = new ArrayList<>();
    GossipPayload payload = new GossipPayload(List.of(self), List.of(), List.of());
    while (!receivers.isEmpty() && out.size() < MAX_LEAVE_NOTICES) {
      Member to = receivers.remove(random.nextInt(receivers.size())).member;
      out.add(prober.ping(to, payload, now));
    }
    return out;
  }

  /** Returns the current report of this member about itself. */
  public Member self() {
    return self;
  }

  /** Returns the other members of the failure domain, ordered by name. */
  public List<MemberView> members(long nowNanos) {
    return table.all().stream().map(e -> e.view(nowNanos)).toList();
  }

  /** Returns the other failure domains for which there is a summary, ordered by name. */
  public List<SummaryView> domains(long nowNanos) {
    return summaries.views(nowNanos);
  }

  /** Returns the relays of the local failure domain, as this member sees them. */
  public List<Relay> relays() {
    return summaries.relays(liveMembers());
  }

  /**
   * Returns the routers of the failure domain for the slot protocol. Members that are alive or
   * suspected and not leaving are live; dead members stay voters until they have left or are
   * removed.
   */
  public DomainView domainView() {
    List<VmId> voters = new ArrayList<>(List.of(self.id()));
    List<VmId> live = new ArrayList<>();
    if (!self.leaving()) {
      live.add(self.id());
    }
    for (Entry entry : table.all()) {
      if (entry.member.state() != MemberState.LEFT) {
        voters.add(entry.member.id());
      }
      if (entry.isResponsive() && !entry.isLeaving()) {
        live.add(entry.member.id());
      }
    }
    return new DomainView(voters, live);
  }
}
