package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.fairness.WaitingQueue;
import io.jacinthquay.decision.fairness.WaitingRequest;
import io.jacinthquay.decision.slots.SlotDecision.Reason;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Decides which waiting request of a scope gets a free slot, which work is preempted for it and
 * which requests are shed.
 */
final class SlotDispatcher {
  /**
   * Fraction of the floor interval after which a class gets the next slot unless the head of the
   * queue would then be late.
   */
  private static final double FLOOR_CLAIM_FRACTION = 0.6;

  /** Fraction of the floor interval after which a class gets the next slot in any case. */
  private static final double FLOOR_FORCE_FRACTION = 0.85;

  /** Resend intervals without an answer after which a router gets no more grants. */
  private static final int SUSPECT_RESENDS = 4;

  /** Divisor of the usable slots that gives the part never granted ahead of demand. */
  private static final int AHEAD_RESERVE_DIVISOR = 8;

  /** Divisor of the queue capacity that gives the limit for requests that can't be shed. */
  private static final int UNSHEDDABLE_DIVISOR = 2;

  private static final Comparator<WaitingRequest<PendingRequest>> NEXT_CHECK =
      Comparator.<WaitingRequest<PendingRequest>>comparingLong(
              waiting -> waiting.attachment().checkAtNanos)
          .thenComparing(WaitingRequest::request);

  private final SlotScope scope;
  private final SlotOptions options;
  private final SlotTable table;
  private final SlotOutbox outbox;
  private final WaitingQueue<PendingRequest> queue = new WaitingQueue<>();
  private final TreeSet<WaitingRequest<PendingRequest>> checks = new TreeSet<>(NEXT_CHECK);
  private int unsheddable;
  private int critical;
  private long granted;
  private long floors;
  private long ahead;
  private long shed;
  private long preempted;
  private long wastedTokens;

  SlotDispatcher(SlotScope scope, SlotOptions options, SlotTable table, SlotOutbox outbox) {
    this.scope = scope;
    this.options = options;
    this.table = table;
    this.outbox = outbox;
  }

  WaitingQueue<PendingRequest> queue() {
    return queue;
  }

  OwnerStatus.Counts counts() {
    return new OwnerStatus.Counts(granted, floors, ahead, shed, preempted, wastedTokens);
  }

  /** Returns when the next deadline check is due. */
  long nextCheckNanos() {
    return checks.isEmpty() ? Long.MAX_VALUE : checks.first().attachment().checkAtNanos;
  }

  /** Adds a request to the queue; if the queue is full, sheds this request or another one. */
  void enqueue(long nowNanos, Session session, SlotRequest request, ClassPolicy policy) {
    long deadline = nowNanos + request.slackNanos();
    WaitingRequest<PendingRequest> entry =
        new WaitingRequest<>(
            request.request(),
            policy,
            request.customer(),
            deadline,
            deadline - request.firstTokenNanos(),
            request.guaranteed(),
            new PendingRequest(session, request));
    outbox.publish(
        new SlotDecision.Queued(
            nowNanos,
            scope,
            session.router,
            request.request(),
            policy.name(),
            request.customer(),
            policy.tier(),
            !entry.sheddable()));
    if (!makeRoom(nowNanos, entry)) {
      return;
    }
    queue.add(nowNanos, entry, request.excessTokens());
    session.addWaiting(entry);
    unsheddable += entry.sheddable() ? 0 : 1;
    schedule(entry, entry.latestStartNanos() - options.preemptLeadNanos());
  }

  private boolean makeRoom(long nowNanos, WaitingRequest<PendingRequest> entry) {
    boolean tooMany = unsheddable >= Math.max(1, options.maxWaiting() / UNSHEDDABLE_DIVISOR);
    if (!entry.sheddable() && !entry.guaranteed() && tooMany) {
      deny(nowNanos, entry, ResultCode.QUEUE_FULL);
      return false;
    }
    if (queue.size() < options.maxWaiting()) {
      return true;
    }
    Optional<WaitingRequest<PendingRequest>> worst = queue.shedCandidate();
    boolean newIsWorst = worst.isEmpty() || worst.get().tier().isHigherThan(entry.tier());
    if (newIsWorst && entry.sheddable()) {
      deny(nowNanos, entry, ResultCode.SHED_OVERLOAD);
      return false;
    }
    worst.ifPresent(waiting -> shed(nowNanos, waiting, ResultCode.SHED_OVERLOAD));
    return true;
  }

  /** Removes a waiting request without an answer. */
  void withdraw(long nowNanos, WaitingRequest<PendingRequest> entry) {
    if (queue.remove(entry)) {
      untrack(entry);
      outbox.publish(new SlotDecision.Withdrawn(nowNanos, scope, entry.request()));
    }
  }

  private void untrack(WaitingRequest<PendingRequest> entry) {
    PendingRequest pending = entry.attachment();
    checks.remove(entry);
    pending.session.removeWaiting(entry.request());
    unsheddable -= entry.sheddable() ? 0 : 1;
    critical -= pending.critical ? 1 : 0;
  }

  private void schedule(WaitingRequest<PendingRequest> entry, long atNanos) {
    entry.attachment().checkAtNanos = atNanos;
    checks.add(entry);
  }

  /** Removes the requests of a router that does not answer, until it answers again. */
  private void markSuspect(long nowNanos, Session session) {
    session.suspect = true;
    for (WaitingRequest<PendingRequest> entry : new ArrayList<>(session.waiting.values())) {
      withdraw(nowNanos, entry);
    }
  }

  /** Runs all due deadline checks, grants and recalls. */
  void run(long nowNanos) {
    expire(nowNanos);
    List<WaitingRequest<PendingRequest>> skipped = new ArrayList<>();
    while (table.free() > 0 && !queue.isEmpty()) {
      grantNext(nowNanos, skipped);
    }
    for (WaitingRequest<PendingRequest> entry : skipped) {
      queue.add(nowNanos, entry, 0);
    }
    if (queue.isEmpty()) {
      return;
    }
    recall(queue.size());
  }

  private void grantNext(long nowNanos, List<WaitingRequest<PendingRequest>> skipped) {
    WaitingRequest<PendingRequest> head = queue.head(nowNanos).orElseThrow();
    Optional<WaitingRequest<PendingRequest>> claim = floorClaim(nowNanos, head);
    WaitingRequest<PendingRequest> next = claim.orElse(head);
    Session session = next.attachment().session;
    if (nowNanos - session.unacknowledgedSinceNanos > SUSPECT_RESENDS * options.resendNanos()) {
      markSuspect(nowNanos, session);
      return;
    }
    SlotRequest request = next.attachment().request;
    Optional<UpstreamSlots> upstream = table.choose(request.preferred(), request.avoided());
    if (upstream.isEmpty()) {
      queue.remove(next);
      skipped.add(next);
      return;
    }
    boolean passedOver = claim.isPresent() && head.tier().isHigherThan(next.tier());
    if (passedOver) {
      guarantee(nowNanos, head);
    }
    grant(nowNanos, next, upstream.get(), claim.isPresent(), passedOver ? head : null);
  }

  /**
   * Returns the request of a class whose floor is due, if it goes before the head of the queue.
   *
   * <p>A floor only takes the last free slot, so that the head is the only request that is delayed.
   * If the head would then be late, the floor is put off until its interval is almost over. The
   * head is then guaranteed, so that it is not shed because of the floor.
   */
  private Optional<WaitingRequest<PendingRequest>> floorClaim(
      long nowNanos, WaitingRequest<PendingRequest> head) {
    if (table.free() > 1) {
      return Optional.empty();
    }
    Optional<WaitingRequest<PendingRequest>> due = queue.floorHead(nowNanos, FLOOR_CLAIM_FRACTION);
    if (due.isEmpty() || due.get().policy().name().equals(head.policy().name())) {
      return Optional.empty();
    }
    if (due.get().tier().isHigherThan(head.tier())) {
      return Optional.empty();
    }
    boolean costly = head.sheddable() && head.attachment().critical;
    boolean forced = queue.floorPassed(nowNanos, due.get().policy().name(), FLOOR_FORCE_FRACTION);
    return costly && !forced ? Optional.empty() : due;
  }

  private void grant(
      long nowNanos,
      WaitingRequest<PendingRequest> entry,
      UpstreamSlots upstream,
      boolean floor,
      WaitingRequest<PendingRequest> passedOver) {
    Session session = entry.attachment().session;
    SlotRequest request = entry.attachment().request;
    queue.dispatch(nowNanos, entry, request.tokens());
    untrack(entry);
    Slot slot = table.grant(nowNanos, session, upstream);
    table.assign(nowNanos, slot, request, new SlotTable.Usage(entry.policy(), floor));
    granted++;
    floors += floor ? 1 : 0;
    outbox.publish(
        new SlotDecision.Granted(
            nowNanos,
            scope,
            session.router,
            entry.request(),
            slot.id,
            upstream.id,
            entry.policy().name(),
            entry.tier(),
            request.preemptible(),
            floor ? Reason.FLOOR : Reason.ORDER,
            Optional.ofNullable(passedOver).map(WaitingRequest::request)));
    sendGrant(nowNanos, slot);
  }

  /** Sends or resends the grant of a slot. */
  void sendGrant(long nowNanos, Slot slot) {
    double excessTokens =
        slot.idle() ? 0 : queue.excessTokens(slot.policy.name(), slot.request.customer());
    slot.session.recordGrant(nowNanos);
    outbox.send(
        slot.session,
        stamp ->
            new SlotMessage.Grant(
                scope,
                stamp,
                slot.id,
                slot.upstream.id,
                Optional.ofNullable(slot.request).map(SlotRequest::request),
                excessTokens,
                slot.upstream.limiter.limit(),
                slot.upstream.limiter.warming()));
  }

  /** Grants unused slots ahead of demand while enough slots remain free. */
  void grantAhead(long nowNanos, Session session) {
    int reserve = 1 + table.usable() / AHEAD_RESERVE_DIVISOR;
    while (queue.isEmpty()
        && !session.suspect
        && session.idle < session.idleTarget
        && table.free() > reserve) {
      Optional<UpstreamSlots> upstream = table.choose(List.of(), List.of());
      if (upstream.isEmpty()) {
        return;
      }
      Slot slot = table.grant(nowNanos, session, upstream.get());
      ahead++;
      outbox.publish(
          new SlotDecision.GrantedAhead(
              nowNanos, scope, session.router, slot.id, upstream.get().id));
      sendGrant(nowNanos, slot);
    }
  }

  /** Recalls as many unused slots as there are waiting requests. */
  private void recall(int needed) {
    int recalled = 0;
    for (Slot slot : table.idle()) {
      if (recalled >= needed) {
        return;
      }
      recalled++;
      if (!slot.recalled) {
        slot.recalled = true;
        sendRecall(slot);
      }
    }
  }

  private void sendRecall(Slot slot) {
    outbox.send(slot.session, stamp -> new SlotMessage.Recall(scope, stamp, slot.id));
  }

  /** Resends preemptions and recalls that were not answered. */
  void resend() {
    for (Slot slot : table.preempting()) {
      sendPreempt(slot);
    }
    for (Slot slot : table.idle()) {
      if (slot.recalled) {
        sendRecall(slot);
      }
    }
  }

  private void expire(long nowNanos) {
    while (!checks.isEmpty() && checks.first().attachment().checkAtNanos <= nowNanos) {
      check(nowNanos, checks.pollFirst());
    }
  }

  private void check(long nowNanos, WaitingRequest<PendingRequest> entry) {
    PendingRequest pending = entry.attachment();
    if (!pending.critical) {
      pending.critical = true;
      critical++;
    }
    boolean late = nowNanos > entry.latestStartNanos();
    boolean slotsForAll = table.free() >= queue.size();
    if (late && entry.sheddable() && !slotsForAll) {
      boolean preempting = table.preemptingBelow(entry.tier()) || preemptFor(nowNanos, entry);
      if (!preempting) {
        shed(nowNanos, entry, shedCode());
        return;
      }
      guarantee(nowNanos, entry);
    } else if (table.preempting().size() < critical) {
      preemptFor(nowNanos, entry);
    }
    long resendAt = nowNanos + options.resendNanos();
    schedule(entry, late ? resendAt : Math.min(resendAt, entry.latestStartNanos() + 1));
  }

  private ResultCode shedCode() {
    return table.usable() == 0 ? ResultCode.NO_UPSTREAM : ResultCode.DEADLINE_UNREACHABLE;
  }

  private void guarantee(long nowNanos, WaitingRequest<PendingRequest> entry) {
    boolean wasSheddable = entry.sheddable();
    queue.guarantee(nowNanos, entry);
    unsheddable += wasSheddable ? 1 : 0;
  }

  private boolean preemptFor(long nowNanos, WaitingRequest<PendingRequest> entry) {
    Optional<Slot> victim = table.victimFor(entry.tier());
    if (victim.isEmpty()) {
      return false;
    }
    Slot slot = victim.get();
    table.markPreempting(slot);
    preempted++;
    Tier victimTier = slot.policy.tier();
    outbox.publish(
        new SlotDecision.PreemptOrdered(
            nowNanos,
            scope,
            slot.id,
            slot.request.request(),
            victimTier,
            entry.request(),
            entry.tier()));
    sendPreempt(slot);
    return true;
  }

  private void sendPreempt(Slot slot) {
    outbox.send(
        slot.session,
        stamp -> new SlotMessage.Preempt(scope, stamp, slot.id, slot.request.request()));
  }

  private void shed(long nowNanos, WaitingRequest<PendingRequest> entry, ResultCode code) {
    queue.remove(entry);
    untrack(entry);
    deny(nowNanos, entry, code);
  }

  private void deny(long nowNanos, WaitingRequest<PendingRequest> entry, ResultCode code) {
    shed++;
    outbox.publish(new SlotDecision.Shed(nowNanos, scope, entry.request(), entry.tier(), code));
    long retryAfterNanos = entry.policy().firstTokenMs() * 1_000_000L;
    outbox.send(
        entry.attachment().session,
        stamp -> new SlotMessage.Deny(scope, stamp, entry.request(), code, retryAfterNanos));
  }

  /** Adds the tokens that preempted work had used. */
  void addWastedTokens(long tokens) {
    wastedTokens += tokens;
  }
}
