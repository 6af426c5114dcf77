package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.BearingOptions;
import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.fairness.Waiting;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Grants the slots of one scope to the routers that are in session with it.
 *
 * <p>A pure state machine. It becomes the owner by being asked: it counts on the share of every
 * router in session, and on nothing else. It must not be used by several threads at once.
 *
 * <pre>{@code
 * SlotOwner owner = new SlotOwner(scope, self, incarnation, settings, sender, listener);
 * owner.voters(now, view.voters());
 * owner.upstreams(now, specs);
 * owner.receive(now, message);
 * owner.tick(now);
 * }</pre>
 */
public final class SlotOwner {
  private static final int PRUNE_TICKS = 64;
  private static final int MISMATCHES_TO_RESYNC = 2;
  private static final double FALLBACK_INTER_TOKEN_MS = 100;

  private final SlotScope scope;
  private final Settings settings;
  private final SlotOutbox outbox;
  private final SlotTable table;
  private final SlotDispatcher dispatcher;
  private final ShareKeeper shares;
  private final Map<VmId, Session> sessions = new TreeMap<>();
  private long nextKeepNanos = Long.MIN_VALUE;
  private long nextResendNanos = Long.MIN_VALUE;
  private int keeps;

  /**
   * What an owner is made with.
   *
   * @param classes the classes of the configuration in force
   * @param slots time limits and sizes
   * @param bearing how limits grow and shrink
   */
  public record Settings(ClassPolicies classes, SlotOptions slots, BearingOptions bearing) {}

  /**
   * Makes an owner that has no router in session.
   *
   * @param incarnation the start of this router
   */
  public SlotOwner(
      SlotScope scope,
      VmId self,
      long incarnation,
      Settings settings,
      SlotSender sender,
      DecisionListener listener) {
    this.scope = scope;
    this.settings = settings;
    this.outbox = new SlotOutbox(self, incarnation, sender, listener);
    this.table = new SlotTable(self, incarnation, settings.bearing());
    this.dispatcher = new SlotDispatcher(scope, settings.slots(), table, outbox);
    this.shares = new ShareKeeper(settings.slots(), table, sessions);
  }

  /** Takes in which routers vouch for a share. */
  public void voters(long nowNanos, List<VmId> voters) {
    outbox.now(nowNanos);
    shares.voters(nowNanos, voters);
    dispatcher.run(nowNanos);
  }

  /** Takes in which upstreams may get work; one that is missing gets no more. */
  public void upstreams(long nowNanos, List<UpstreamSpec> specs) {
    outbox.now(nowNanos);
    table.upstreams(specs);
    shares.update(nowNanos);
    dispatcher.run(nowNanos);
  }

  /** Takes in a load report. */
  public void load(long nowNanos, LoadReport report) {
    outbox.now(nowNanos);
    for (UpstreamSlots upstream : table.upstreams()) {
      if (upstream.id.equals(report.upstream())) {
        upstream.evidence.reported(report, upstream.slots);
        bear(nowNanos, upstream, () -> upstream.bearing.reported(nowNanos, report));
        dropOrphans(nowNanos, upstream);
        shares.reported(nowNanos, upstream);
      }
    }
    dispatcher.run(nowNanos);
  }

  /** Takes in a message of a router. */
  public void receive(long nowNanos, SlotMessage.ToOwner message) {
    outbox.now(nowNanos);
    Session session = sessionOf(nowNanos, message);
    if (session == null || !session.accept(message.stamp(), message instanceof SlotMessage.State)) {
      return;
    }
    boolean confirmed = session.confirmed();
    session.renew(message.stamp());
    if (!confirmed && session.confirmed()) {
      shares.update(nowNanos);
    }
    if (session.suspect) {
      session.suspect = false;
      outbox.send(session, stamp -> new SlotMessage.Resync(scope, stamp));
    }
    process(nowNanos, session, message);
    dispatcher.run(nowNanos);
    if (sessions.get(session.router) == session) {
      dispatcher.grantAhead(nowNanos, session);
    }
  }

  /** Does what is due. */
  public void tick(long nowNanos) {
    outbox.now(nowNanos);
    if (nowNanos >= nextKeepNanos) {
      nextKeepNanos = nowNanos + settings.slots().syncNanos() / 4;
      keep(nowNanos);
    }
    if (nowNanos >= nextResendNanos) {
      nextResendNanos = nowNanos + settings.slots().resendNanos();
      dispatcher.resend();
    }
    dispatcher.run(nowNanos);
  }

  /** Returns when {@link #tick} has something to do. */
  public long nextTickNanos() {
    long next = Math.min(nextKeepNanos, dispatcher.nextCheckNanos());
    return table.ordered().isEmpty() ? next : Math.min(next, nextResendNanos);
  }

  /** Returns whether no router is in session, so that this owner may be forgotten. */
  public boolean idle() {
    return sessions.isEmpty();
  }

  /** Returns the state for operators. */
  public OwnerStatus status() {
    Map<UpstreamId, OwnerStatus.UpstreamStatus> upstreams = new TreeMap<>();
    for (UpstreamSlots upstream : table.upstreams()) {
      upstreams.put(
          upstream.id,
          new OwnerStatus.UpstreamStatus(
              upstream.bearing.limit(),
              upstream.usable(),
              upstream.granted,
              upstream.foreign() + upstream.orphans.size(),
              upstream.bearing.warming()));
    }
    return new OwnerStatus(
        dispatcher.queue().size(),
        table.size() - table.idleSize(),
        table.idleSize(),
        sessions.size(),
        shares.voters().size(),
        upstreams,
        dispatcher.counts());
  }

  private Session sessionOf(long nowNanos, SlotMessage.ToOwner message) {
    ClientStamp stamp = message.stamp();
    Session known = sessions.get(stamp.router());
    if (known != null && known.incarnation > stamp.incarnation()) {
      return null;
    }
    if (known != null && known.incarnation == stamp.incarnation()) {
      return known;
    }
    if (!(message instanceof SlotMessage.State)) {
      if (!(message instanceof SlotMessage.Leave)) {
        outbox.resync(scope, stamp.router());
      }
      return null;
    }
    if (known != null) {
      end(nowNanos, known);
    }
    Session opened = new Session(stamp.router(), stamp.incarnation(), nowNanos, settings.slots());
    sessions.put(stamp.router(), opened);
    return opened;
  }

  private void process(long nowNanos, Session session, SlotMessage.ToOwner message) {
    if (message instanceof SlotMessage.Ask ask) {
      for (SlotRequest request : ask.requests()) {
        ask(nowNanos, session, request);
      }
    } else if (message instanceof SlotMessage.Use use) {
      use(nowNanos, session, use.slot(), use.request());
    } else if (message instanceof SlotMessage.Release release) {
      release(nowNanos, session, release.slot(), release.completion());
    } else if (message instanceof SlotMessage.Progress progress) {
      progress(session, progress);
    } else if (message instanceof SlotMessage.Cancel cancel) {
      withdraw(nowNanos, session, cancel.request());
    } else if (message instanceof SlotMessage.Sync sync) {
      sync(session, sync);
    } else if (message instanceof SlotMessage.State state) {
      state(nowNanos, session, state);
    } else if (message instanceof SlotMessage.Leave) {
      end(nowNanos, session);
    }
  }

  private void ask(long nowNanos, Session session, SlotRequest request) {
    RequestId id = request.request();
    if (!session.waiting.containsKey(id) && !session.running.containsKey(id)) {
      dispatcher.enqueue(nowNanos, session, request, policy(request.className()));
    }
  }

  private void withdraw(long nowNanos, Session session, RequestId request) {
    Waiting<Pending> entry = session.waiting.get(request);
    if (entry != null) {
      dispatcher.withdraw(nowNanos, entry);
    }
  }

  private void use(long nowNanos, Session session, SlotId id, SlotRequest request) {
    Slot slot = table.slot(id);
    if (slot == null || slot.session != session || !slot.idle()) {
      return;
    }
    withdraw(nowNanos, session, request.request());
    ClassPolicy policy = policy(request.className());
    table.use(nowNanos, slot, request, new SlotTable.Usage(policy, false));
    dispatcher.queue().charge(policy, request.customer(), request.tokens());
    dispatcher.queue().served(nowNanos, policy);
    outbox.decided(
        new SlotDecision.Used(
            nowNanos,
            scope,
            session.router,
            request.request(),
            id,
            slot.upstream.id,
            policy.name(),
            policy.tier(),
            request.preemptible()));
  }

  private void progress(Session session, SlotMessage.Progress progress) {
    Slot slot = table.slot(progress.slot());
    if (slot != null && slot.session == session && !slot.idle()) {
      charge(slot, Math.max(progress.tokens(), progress.expected()));
    }
  }

  private void charge(Slot slot, double tokens) {
    double correction = tokens - slot.charged;
    slot.charged = tokens;
    dispatcher.queue().charge(slot.policy, slot.request.customer(), correction);
  }

  private void release(long nowNanos, Session session, SlotId id, Completion completion) {
    Slot slot = table.slot(id);
    if (slot == null || slot.session != session) {
      return;
    }
    UpstreamSlots upstream = slot.upstream;
    int inFlight = upstream.granted - upstream.idle;
    if (!slot.idle()) {
      charge(slot, completion.tokens());
    }
    if (completion.end() == Completion.End.PREEMPTED) {
      dispatcher.wasted(completion.tokens());
    }
    table.release(nowNanos, slot);
    bear(nowNanos, upstream, () -> ended(nowNanos, upstream, completion, inFlight));
    outbox.decided(new SlotDecision.Released(nowNanos, scope, id, completion));
  }

  private static void ended(
      long nowNanos, UpstreamSlots upstream, Completion completion, int inFlight) {
    switch (completion.end()) {
      case DONE ->
          upstream.bearing.completed(
              nowNanos, completion.onTarget(), completion.firstTokenNanos(), inFlight);
      case REFUSED -> upstream.bearing.overloaded(nowNanos);
      default -> {
        // says nothing about what the upstream bears
      }
    }
  }

  private void bear(long nowNanos, UpstreamSlots upstream, Runnable change) {
    table.change(
        upstream,
        () -> {
          change.run();
          shares.recount(nowNanos, upstream);
        });
  }

  private void sync(Session session, SlotMessage.Sync sync) {
    session.wanted = Math.min(sync.wanted(), settings.slots().maxIdlePerRouter());
    boolean same =
        sync.held().equals(session.heldDigest) && sync.waiting().equals(session.waitingDigest);
    session.mismatches = same ? 0 : session.mismatches + 1;
    if (session.mismatches >= MISMATCHES_TO_RESYNC) {
      session.mismatches = 0;
      outbox.send(session, stamp -> new SlotMessage.Resync(scope, stamp));
    } else {
      outbox.send(session, stamp -> new SlotMessage.Ack(scope, stamp));
    }
  }

  private void state(long nowNanos, Session session, SlotMessage.State state) {
    session.wanted = Math.min(state.wanted(), settings.slots().maxIdlePerRouter());
    session.mismatches = 0;
    shares.joined(nowNanos, session, state.vouchFreeNanos());
    state.hints().forEach(table::restore);
    Set<SlotId> listed = new HashSet<>(state.idle());
    for (SlotMessage.UsedSlot used : state.used()) {
      listed.add(used.slot());
      adopt(nowNanos, session, used);
    }
    List<Slot> unlisted = new ArrayList<>(session.slots.values());
    unlisted.removeIf(slot -> listed.contains(slot.id));
    unlisted.forEach(slot -> dispatcher.sendGrant(nowNanos, slot));
    for (SlotId id : state.idle()) {
      if (!session.slots.containsKey(id)) {
        outbox.send(session, stamp -> new SlotMessage.Recall(scope, stamp, id));
      }
    }
    replaceWaiting(nowNanos, session, state.waiting());
    outbox.send(session, stamp -> new SlotMessage.Ack(scope, stamp));
    shares.update(nowNanos);
  }

  private void adopt(long nowNanos, Session session, SlotMessage.UsedSlot used) {
    if (table.slot(used.slot()) == null) {
      table.adopt(used.slot(), nowNanos, session, used.upstream());
    }
    use(nowNanos, session, used.slot(), used.request());
  }

  private void replaceWaiting(long nowNanos, Session session, List<SlotRequest> waiting) {
    Set<RequestId> listed = new HashSet<>();
    waiting.forEach(request -> listed.add(request.request()));
    List<RequestId> gone = new ArrayList<>(session.waiting.keySet());
    gone.removeAll(listed);
    gone.forEach(request -> withdraw(nowNanos, session, request));
    waiting.forEach(request -> ask(nowNanos, session, request));
  }

  private void keep(long nowNanos) {
    for (Session session : new ArrayList<>(sessions.values())) {
      if (nowNanos >= session.expiresAtNanos()) {
        end(nowNanos, session);
      }
    }
    for (UpstreamSlots upstream : table.upstreams()) {
      dropOrphans(nowNanos, upstream);
    }
    shares.update(nowNanos);
    for (Session session : sessions.values()) {
      dispatcher.grantAhead(nowNanos, session);
    }
    keeps++;
    if (keeps % PRUNE_TICKS == 0) {
      dispatcher.queue().prune();
    }
  }

  /**
   * Ends a session; what its router still runs goes on counting until it is known to have ended.
   */
  private void end(long nowNanos, Session session) {
    sessions.remove(session.router);
    for (Waiting<Pending> entry : new ArrayList<>(session.waiting.values())) {
      dispatcher.withdraw(nowNanos, entry);
    }
    long lapsed = nowNanos + settings.slots().lapseNanos();
    long until = nowNanos + settings.slots().orphanNanos();
    for (Slot slot : new ArrayList<>(session.slots.values())) {
      table.orphan(slot, lapsed, until);
    }
    table.disinherit(session);
    shares.lost(nowNanos, session.router);
    shares.update(nowNanos);
  }

  private void dropOrphans(long nowNanos, UpstreamSlots upstream) {
    for (Slot slot : upstream.endedOrphans(nowNanos)) {
      table.dropOrphan(slot);
    }
  }

  private ClassPolicy policy(ClassName name) {
    return settings.classes().find(name).orElseGet(() -> fallback(name));
  }

  /** Returns the lowest tier for a class that the configuration here does not have yet. */
  private static ClassPolicy fallback(ClassName name) {
    return new ClassPolicy(
        name,
        new Tier(Tier.MAX),
        86_400_000,
        FALLBACK_INTER_TOKEN_MS,
        ClassPolicy.DEFAULT_OBJECTIVE,
        false,
        ClassPolicy.DEFAULT_FLOOR_INTERVAL_MS);
  }
}
