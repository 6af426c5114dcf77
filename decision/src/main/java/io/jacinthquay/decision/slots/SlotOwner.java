package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.ConcurrencyLimitOptions;
import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.fairness.WaitingRequest;
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
 * <p>A pure state machine. A router acts as owner as soon as other routers send it requests. An
 * owner grants only the shares of the routers in session with it and needs no other agreement. This
 * class is not thread-safe.
 *
 * <pre>{@code
 * SlotOwner owner = new SlotOwner(scope, self, incarnation, settings, sender, listener);
 * owner.setMembers(now, view.members());
 * owner.setUpstreams(now, specs);
 * owner.receive(now, message);
 * owner.tick(now);
 * }</pre>
 */
public final class SlotOwner {
  /** Number of maintenance runs between two removals of idle customers. */
  private static final int PRUNE_INTERVAL_RUNS = 64;

  /** Number of consecutive digest mismatches that trigger a resync. */
  private static final int MISMATCHES_TO_RESYNC = 2;

  /** Inter-token target of a class that is not configured here, in milliseconds. */
  private static final double FALLBACK_INTER_TOKEN_MS = 100;

  private final SlotScope scope;
  private final Settings settings;
  private final SlotOutbox outbox;
  private final SlotTable table;
  private final SlotDispatcher dispatcher;
  private final ShareCalculator shares;
  private final Map<VmId, Session> sessions = new TreeMap<>();
  private long nextMaintenanceNanos = Long.MIN_VALUE;
  private long nextResendNanos = Long.MIN_VALUE;
  private int maintenanceRuns;

  /**
   * The settings of an owner.
   *
   * @param classes the classes of the configuration in force
   * @param slots time limits and sizes of the slot protocol
   * @param limits how the concurrency limits of upstreams grow and shrink
   */
  public record Settings(
      ClassPolicies classes, SlotOptions slots, ConcurrencyLimitOptions limits) {}

  /**
   * Creates an owner without sessions.
   *
   * @param incarnation the incarnation number of this owner, which grows with every start
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
    this.table = new SlotTable(self, incarnation, settings.limits());
    this.dispatcher = new SlotDispatcher(scope, settings.slots(), table, outbox);
    this.shares = new ShareCalculator(settings.slots(), table, sessions);
  }

  /** Sets the routers that contribute a share of every upstream. */
  public void setMembers(long nowNanos, List<VmId> members) {
    outbox.setTime(nowNanos);
    shares.setMembers(nowNanos, members);
    dispatcher.run(nowNanos);
  }

  /** Sets the upstreams that may get work; an upstream that is missing gets no new work. */
  public void setUpstreams(long nowNanos, List<UpstreamSpec> specs) {
    outbox.setTime(nowNanos);
    table.upstreams(specs);
    shares.update(nowNanos);
    dispatcher.run(nowNanos);
  }

  /** Processes a load report. */
  public void reportLoad(long nowNanos, LoadReport report) {
    outbox.setTime(nowNanos);
    for (UpstreamSlots upstream : table.upstreams()) {
      if (upstream.id.equals(report.upstream())) {
        upstream.unknownLoad.addReport(report, upstream.slots);
        changeLimit(nowNanos, upstream, () -> upstream.limiter.recordReport(nowNanos, report));
        dropOrphans(nowNanos, upstream);
        shares.loadReported(nowNanos, upstream);
      }
    }
    dispatcher.run(nowNanos);
  }

  /** Processes a message from a router. */
  public void receive(long nowNanos, SlotMessage.ToOwner message) {
    outbox.setTime(nowNanos);
    Session session = sessionOf(nowNanos, message);
    if (session == null || !session.accept(message.stamp(), message instanceof SlotMessage.State)) {
      return;
    }
    boolean wasConfirmed = session.confirmed();
    session.renew(message.stamp());
    if (!wasConfirmed && session.confirmed()) {
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

  /** Runs the work that is due. */
  public void tick(long nowNanos) {
    outbox.setTime(nowNanos);
    if (nowNanos >= nextMaintenanceNanos) {
      nextMaintenanceNanos = nowNanos + settings.slots().syncNanos() / 4;
      maintain(nowNanos);
    }
    if (nowNanos >= nextResendNanos) {
      nextResendNanos = nowNanos + settings.slots().resendNanos();
      dispatcher.resend();
    }
    dispatcher.run(nowNanos);
  }

  /** Returns when {@link #tick} is next due, on the clock of the caller. */
  public long nextTickNanos() {
    long next = Math.min(nextMaintenanceNanos, dispatcher.nextCheckNanos());
    return table.preempting().isEmpty() ? next : Math.min(next, nextResendNanos);
  }

  /** Returns whether no router is in session, so that this owner may be removed. */
  public boolean idle() {
    return sessions.isEmpty();
  }

  /** Returns the current state for operators. */
  public OwnerStatus status() {
    Map<UpstreamId, OwnerStatus.UpstreamStatus> upstreams = new TreeMap<>();
    for (UpstreamSlots upstream : table.upstreams()) {
      upstreams.put(
          upstream.id,
          new OwnerStatus.UpstreamStatus(
              upstream.limiter.limit(),
              upstream.usable(),
              upstream.granted,
              upstream.unaccounted() + upstream.orphans.size(),
              upstream.limiter.warming()));
    }
    return new OwnerStatus(
        dispatcher.queue().size(),
        table.size() - table.idleSize(),
        table.idleSize(),
        sessions.size(),
        shares.members().size(),
        upstreams,
        dispatcher.counts());
  }

  private Session sessionOf(long nowNanos, SlotMessage.ToOwner message) {
    ClientStamp stamp = message.stamp();
    Session existing = sessions.get(stamp.router());
    if (existing != null && existing.incarnation > stamp.incarnation()) {
      return null;
    }
    if (existing != null && existing.incarnation == stamp.incarnation()) {
      return existing;
    }
    if (!(message instanceof SlotMessage.State)) {
      if (!(message instanceof SlotMessage.Leave)) {
        outbox.resync(scope, stamp.router());
      }
      return null;
    }
    if (existing != null) {
      end(nowNanos, existing);
    }
    Session opened = new Session(stamp.router(), stamp.incarnation(), nowNanos, settings.slots());
    sessions.put(stamp.router(), opened);
    return opened;
  }

  private void process(long nowNanos, Session session, SlotMessage.ToOwner message) {
    if (message instanceof SlotMessage.Ask ask) {
      for (SlotRequest request : ask.requests()) {
        handleAsk(nowNanos, session, request);
      }
    } else if (message instanceof SlotMessage.Use use) {
      handleUse(nowNanos, session, use.slot(), use.request());
    } else if (message instanceof SlotMessage.Release release) {
      handleRelease(nowNanos, session, release.slot(), release.completion());
    } else if (message instanceof SlotMessage.Progress progress) {
      handleProgress(session, progress);
    } else if (message instanceof SlotMessage.Cancel cancel) {
      withdraw(nowNanos, session, cancel.request());
    } else if (message instanceof SlotMessage.Sync sync) {
      handleSync(session, sync);
    } else if (message instanceof SlotMessage.State state) {
      handleState(nowNanos, session, state);
    } else if (message instanceof SlotMessage.Leave) {
      end(nowNanos, session);
    }
  }

  private void handleAsk(long nowNanos, Session session, SlotRequest request) {
    RequestId id = request.request();
    if (!session.waiting.containsKey(id) && !session.running.containsKey(id)) {
      dispatcher.enqueue(nowNanos, session, request, policy(request.className()));
    }
  }

  private void withdraw(long nowNanos, Session session, RequestId request) {
    WaitingRequest<PendingRequest> entry = session.waiting.get(request);
    if (entry != null) {
      dispatcher.withdraw(nowNanos, entry);
    }
  }

  private void handleUse(long nowNanos, Session session, SlotId id, SlotRequest request) {
    Slot slot = table.slot(id);
    if (slot == null || slot.session != session || !slot.idle()) {
      return;
    }
    withdraw(nowNanos, session, request.request());
    ClassPolicy policy = policy(request.className());
    table.assign(nowNanos, slot, request, new SlotTable.Usage(policy, false));
    dispatcher.queue().charge(policy, request.customer(), request.tokens());
    dispatcher.queue().recordServed(nowNanos, policy);
    outbox.publish(
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

  private void handleProgress(Session session, SlotMessage.Progress progress) {
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

  private void handleRelease(long nowNanos, Session session, SlotId id, Completion completion) {
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
      dispatcher.addWastedTokens(completion.tokens());
    }
    table.release(nowNanos, slot);
    changeLimit(nowNanos, upstream, () -> updateLimit(nowNanos, upstream, completion, inFlight));
    outbox.publish(new SlotDecision.Released(nowNanos, scope, id, completion));
  }

  private static void updateLimit(
      long nowNanos, UpstreamSlots upstream, Completion completion, int inFlight) {
    switch (completion.end()) {
      case DONE ->
          upstream.limiter.completed(
              nowNanos, completion.onTarget(), completion.firstTokenNanos(), inFlight);
      case REFUSED -> upstream.limiter.recordOverload(nowNanos);
      default -> {
        // this end carries no information about the concurrency limit
      }
    }
  }

  private void changeLimit(long nowNanos, UpstreamSlots upstream, Runnable update) {
    table.change(
        upstream,
        () -> {
          update.run();
          shares.recount(nowNanos, upstream);
        });
  }

  private void handleSync(Session session, SlotMessage.Sync sync) {
    session.idleTarget = Math.min(sync.idleTarget(), settings.slots().maxIdlePerRouter());
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

  private void handleState(long nowNanos, Session session, SlotMessage.State state) {
    session.idleTarget = Math.min(state.idleTarget(), settings.slots().maxIdlePerRouter());
    session.mismatches = 0;
    shares.sessionOpened(nowNanos, session, state.formerLeaseNanos());
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
    handleUse(nowNanos, session, used.slot(), used.request());
  }

  private void replaceWaiting(long nowNanos, Session session, List<SlotRequest> waiting) {
    Set<RequestId> listed = new HashSet<>();
    waiting.forEach(request -> listed.add(request.request()));
    List<RequestId> withdrawn = new ArrayList<>(session.waiting.keySet());
    withdrawn.removeAll(listed);
    withdrawn.forEach(request -> withdraw(nowNanos, session, request));
    waiting.forEach(request -> handleAsk(nowNanos, session, request));
  }

  private void maintain(long nowNanos) {
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
    maintenanceRuns++;
    if (maintenanceRuns % PRUNE_INTERVAL_RUNS == 0) {
      dispatcher.queue().prune();
    }
  }

  /**
   * Ends a session. Work that its router may still run keeps counting against the limits until it
   * is known to have ended.
   */
  private void end(long nowNanos, Session session) {
    sessions.remove(session.router);
    for (WaitingRequest<PendingRequest> entry : new ArrayList<>(session.waiting.values())) {
      dispatcher.withdraw(nowNanos, entry);
    }
    long sinceNanos = nowNanos + settings.slots().expiryNanos();
    long untilNanos = nowNanos + settings.slots().orphanNanos();
    for (Slot slot : new ArrayList<>(session.slots.values())) {
      table.orphan(slot, sinceNanos, untilNanos);
    }
    table.clearInherited(session);
    shares.sessionEnded(nowNanos, session.router);
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

  /** Returns a policy of the lowest tier for a class that is not yet configured here. */
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
