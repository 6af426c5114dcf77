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
 * node.candidates(seeds, now);
 * send(node.tick(now));                 // at nextTickNanos() or every few milliseconds
 * send(node.receive(message, now));
 * admission.view(now, domain, node.domainView());
 * }</pre>
 *
 * <p>Every period one member is probed, directly and then through others. One that does not answer
 * is suspected; one that does not refute the suspicion with a higher incarnation is dead. Not
 * thread-safe.
 */
public final class GossipNode {
  static final long MILLISECOND = 1_000_000;

  /** Shortest time between two readings of the own load that are passed on, in nanoseconds. */
  private static final long LOAD_NANOS = 1_000_000_000;

  /** The same for each member of the domain, so that messages keep their size, in nanoseconds. */
  private static final long LOAD_NANOS_PER_MEMBER = 70_000_000;

  /** How often a load or a summary is passed on; the next reading makes up for who missed it. */
  private static final int READINGS_TOLD = 3;

  /** Members up to which everything known is exchanged at the usual interval. */
  private static final int SYNC_MEMBERS = 64;

  /** Members that hear directly that this one leaves. */
  private static final int FAREWELLS = 8;

  /** How often news are passed on, per binary digit of the number of members. */
  private static final int TOLD_PER_DIGIT = 3;

  /** Periods between two calls to silent candidates, on average. */
  private static final int ONE_IN_SILENT = 5;

  /** Time for which this member introduces itself to one that is new to it, in nanoseconds. */
  private static final long INTRODUCTION_NANOS = 2_000_000_000;

  private final GossipSettings settings;
  private final SplittableRandom random;
  private final MemberTable table = new MemberTable();
  private final SummaryExchange summaries;
  private final TreeMap<VmId, Candidate> candidates = new TreeMap<>();
  private final Rumors<VmId> memberRumors = new Rumors<>();
  private final Rumors<VmId> loadRumors = new Rumors<>();
  private final Rumors<VmId> summaryRumors = new Rumors<>();
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
   * Returns a member that knows of no other yet.
   *
   * @param self the member; its incarnation must exceed that of every earlier start of the VM
   * @param settings the intervals and sizes
   * @param seed of the random choices
   */
  public static GossipNode create(Member self, GossipSettings settings, long seed) {
    return new GossipNode(self, settings, seed);
  }

  /**
   * Takes in the VMs that may be members, from settings and the platform's list together; a silent
   * member that is no longer on the list is forgotten.
   */
  public void candidates(Collection<Candidate> all, long nowNanos) {
    List<VmId> before = new ArrayList<>(candidates.keySet());
    candidates.clear();
    for (Candidate c : all) {
      if (c.domain().equals(self.domain()) && !c.id().equals(self.id())) {
        candidates.put(c.id(), c);
      }
    }
    before.stream().filter(id -> !candidates.containsKey(id)).forEach(table::forgetIfSilent);
    for (Entry entry : table.all()) {
      Candidate listed = candidates.get(entry.member.id());
      entry.markedLeaving = listed != null && listed.leaving();
    }
    summaries.candidates(all);
  }

  /** Sets the own load. */
  public void load(MemberLoad reading, long nowNanos) {
    long interval = Math.max(LOAD_NANOS, LOAD_NANOS_PER_MEMBER * table.all().size());
    boolean due = load.version() == 0 || nowNanos - loadSetAt >= interval;
    if (due) {
      loadSetAt = nowNanos;
      load = new LoadUpdate(self.id(), self.incarnation(), load.version() + 1, 0, reading);
      loadRumors.add(self.id());
    }
  }

  /** Returns when {@link #tick} has something to do. */
  public long nextTickNanos() {
    if (!started) {
      return Long.MIN_VALUE;
    }
    return Math.min(nextPeriod, prober.nextNanos());
  }

  /** Does what is due. */
  public List<Outgoing> tick(long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    notePause(nowNanos);
    for (Member dead : table.overdue(nowNanos, settings.suspicionNanos())) {
      merge(dead, nowNanos);
    }
    prober.timeOut(nowNanos, out);
    if (nowNanos - nextPeriod >= 0) {
      nextPeriod = nowNanos + settings.periodNanos();
      table.forget(nowNanos, settings.forgetNanos());
      summaries.expire(nowNanos);
      prober.next(nowNanos, out);
      contactSilent(out);
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

  /** After a pause of this process, others are not blamed for answers that could not be read. */
  private void notePause(long now) {
    if (!started) {
      started = true;
      nextPeriod = now;
      nextSync = now + random.nextLong(settings.syncNanos());
      nextSummary = now + random.nextLong(settings.summaryNanos());
    } else if (now - lastTick > 2 * settings.periodNanos()) {
      table.extendSuspicions(now - lastTick);
      prober.reset();
    }
    lastTick = now;
  }

  private long syncInterval() {
    long scale = Math.max(1, table.all().size() / SYNC_MEMBERS);
    return settings.syncNanos() * scale / 2 + random.nextLong(settings.syncNanos() * scale);
  }

  private Optional<Entry> randomMember() {
    List<Entry> answering = table.answering();
    return answering.isEmpty()
        ? Optional.empty()
        : Optional.of(answering.get(random.nextInt(answering.size())));
  }

  /** Calls one candidate or dead member, so that joins and healed cuts are noticed. */
  private void contactSilent(List<Outgoing> out) {
    List<Candidate> silent = new ArrayList<>();
    for (Candidate candidate : candidates.values()) {
      Entry entry = table.find(candidate.id());
      if (entry == null || entry.member.state() == MemberState.DEAD) {
        silent.add(candidate);
      }
    }
    for (Entry entry : table.all()) {
      Member m = entry.member;
      if (m.state() == MemberState.DEAD && !candidates.containsKey(m.id())) {
        silent.add(new Candidate(m.id(), m.domain(), m.address(), false));
      }
    }
    boolean alone = table.answering().isEmpty();
    if (!silent.isEmpty() && (alone || random.nextInt(ONE_IN_SILENT) == 0)) {
      Candidate chosen = silent.get(random.nextInt(silent.size()));
      out.add(sync(chosen.id(), chosen.address(), false));
    }
  }

  private Outgoing sync(VmId to, String address, boolean answer) {
    List<Member> all = new ArrayList<>();
    for (Entry entry : table.all()) {
      all.add(entry.member);
    }
    GossipPayload payload = new GossipPayload(all, List.of(), List.of());
    return new Outgoing(to, address, new GossipMessage.Sync(self, answer, payload));
  }

  private void exchangeSummaries(long now, List<Outgoing> out) {
    List<Member> living = living();
    List<Relay> relays = summaries.relays(living);
    if (relays.stream().noneMatch(r -> r.id().equals(self.id()))) {
      return;
    }
    MemberLoad sum = load.load();
    for (Entry entry : table.answering()) {
      sum = entry.load == null ? sum : sum.plus(entry.load.load());
    }
    out.addAll(summaries.messages(self, living.size(), sum, relays, now, random));
  }

  private List<Member> living() {
    List<Member> living = new ArrayList<>(List.of(self));
    table.answering().forEach(e -> living.add(e.member));
    return living;
  }

  /** Takes a message in and returns the answers. */
  public List<Outgoing> receive(GossipMessage message, long nowNanos) {
    if (message instanceof GossipMessage.Sync sync) {
      merge(sync.self(), nowNanos);
    }
    take(message.payload(), nowNanos);
    List<Outgoing> out = new ArrayList<>();
    if (message instanceof GossipMessage.Sync sync) {
      if (!sync.answer()) {
        out.add(sync(sync.from(), sync.self().address(), true));
      }
    } else {
      prober.receive(message, nowNanos, out);
    }
    return out;
  }

  private void take(GossipPayload payload, long now) {
    payload.members().forEach(m -> merge(m, now));
    for (LoadUpdate update : payload.loads()) {
      if (table.merge(update, now)) {
        loadRumors.add(update.id());
      }
    }
    for (DomainSummary summary : payload.summaries()) {
      if (summaries.merge(summary, now)) {
        summaryRumors.add(summary.origin());
      }
    }
  }

  /** Takes a report in and passes it on if it is news. */
  void merge(Member report, long now) {
    if (report.id().equals(self.id())) {
      refute(report);
    } else if (report.domain().equals(self.domain()) && table.merge(report, now)) {
      memberRumors.add(report.id());
      Candidate listed = candidates.get(report.id());
      table.find(report.id()).markedLeaving = listed != null && listed.leaving();
    }
  }

  private void refute(Member report) {
    boolean newer = report.incarnation() > self.incarnation();
    boolean wrong =
        report.incarnation() == self.incarnation() && report.state() != MemberState.ALIVE;
    if (self.state() == MemberState.ALIVE && (newer || wrong)) {
      announce(self.aliveAgain(report.incarnation() + 1, self.leaving()));
    }
  }

  private void announce(Member changed) {
    self = changed;
    memberRumors.add(self.id());
  }

  /** Returns the news for a message; the receiver hears first what is wrong about itself. */
  GossipPayload payloadFor(VmId receiver, long now) {
    int times = TOLD_PER_DIGIT * (Integer.SIZE - Integer.numberOfLeadingZeros(table.all().size()));
    List<Member> members = new ArrayList<>();
    Entry about = table.find(receiver);
    if (about != null && about.member.state() != MemberState.ALIVE) {
      members.add(about.member);
    }
    if (about != null && now - about.changedAt < INTRODUCTION_NANOS) {
      members.add(self);
    }
    for (VmId id : memberRumors.next(settings.membersPerMessage(), times)) {
      if (id.equals(self.id())) {
        members.add(self);
      } else if (table.find(id) != null) {
        members.add(table.find(id).member);
      }
    }
    return new GossipPayload(members, loads(now), summariesToTell(now));
  }

  private List<LoadUpdate> loads(long now) {
    List<LoadUpdate> loads = new ArrayList<>();
    for (VmId id : loadRumors.next(settings.loadsPerMessage(), READINGS_TOLD)) {
      Entry entry = table.find(id);
      if (id.equals(self.id())) {
        loads.add(load.aged((now - loadSetAt) / MILLISECOND));
      } else if (entry != null && entry.load != null) {
        loads.add(entry.load.aged(entry.loadAgeMillis(now)));
      }
    }
    return loads;
  }

  private List<DomainSummary> summariesToTell(long now) {
    List<DomainSummary> tell = new ArrayList<>();
    for (VmId origin : summaryRumors.next(settings.summariesPerMessage(), READINGS_TOLD)) {
      DomainSummary summary = summaries.find(origin, now);
      if (summary != null) {
        tell.add(summary);
      }
    }
    return tell;
  }

  /** Announces that this member leaves, so that it gets no new duties; it still answers. */
  public List<Outgoing> leaving(long nowNanos) {
    announce(self.aliveAgain(self.incarnation() + 1, true));
    return farewell(nowNanos);
  }

  /** Announces that this member ends; call it last. */
  public List<Outgoing> left(long nowNanos) {
    announce(self.aliveAgain(self.incarnation() + 1, true).in(MemberState.LEFT));
    return farewell(nowNanos);
  }

  private List<Outgoing> farewell(long now) {
    List<Entry> others = table.answering();
    List<Outgoing> out = new ArrayList<>();
    GossipPayload payload = new GossipPayload(List.of(self), List.of(), List.of());
    while (!others.isEmpty() && out.size() < FAREWELLS) {
      Member to = others.remove(random.nextInt(others.size())).member;
      out.add(prober.ping(to, payload, now));
    }
    return out;
  }

  /** Returns this member as it describes itself. */
  public Member self() {
    return self;
  }

  /** Returns the other members of the failure domain, by name. */
  public List<MemberView> members(long nowNanos) {
    return table.all().stream().map(e -> e.view(nowNanos)).toList();
  }

  /** Returns the other failure domains of which a summary was heard, by name. */
  public List<SummaryView> domains(long nowNanos) {
    return summaries.views(nowNanos);
  }

  /** Returns the relays of the own failure domain, as this member sees them. */
  public List<Relay> relays() {
    return summaries.relays(living());
  }

  /**
   * Returns the routers of the failure domain for the slot protocol: those that answer and do not
   * leave are live, and silent ones stay voters until they are known to be gone.
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
      if (entry.answers() && !entry.leaves()) {
        live.add(entry.member.id());
      }
    }
    return new DomainView(voters, live);
  }
}
