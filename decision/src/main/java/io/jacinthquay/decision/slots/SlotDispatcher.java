package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.fairness.Waiting;
import io.jacinthquay.decision.fairness.WaitingQueue;
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
 * Decides who of the waiting requests of a scope gets a free slot, whose work is preempted for it,
 * and who is shed.
 */
final class SlotDispatcher {
  /** Share of the floor interval after which a class gets the next slot if that costs little. */
  private static final double FLOOR_CLAIM = 0.6;

  /** Share of the floor interval after which it gets the next slot in any case. */
  private static final double FLOOR_FORCE = 0.85;

  /** Intervals of resending without an answer after which a router gets no more grants. */
  private static final int SUSPECT_RESENDS = 4;

  /** Share of the usable slots that is never granted ahead of demand, as a divisor. */
  private static final int AHEAD_RESERVE = 8;

  /** Share of the waiting room that requests may fill which cannot be shed, as a divisor. */
  private static final int UNSHEDDABLE_SHARE = 2;

  private static final Comparator<Waiting<Pending>> NEXT_CHECK =
      Comparator.<Waiting<Pending>>comparingLong(w -> w.attachment().checkAtNanos)
          .thenComparing(Waiting::request);

  private final SlotScope scope;
  private final SlotOptions options;
  private final SlotTable table;
  private final SlotOutbox outbox;
  private final WaitingQueue<Pending> queue = new WaitingQueue<>();
  private final TreeSet<Waiting<Pending>> checks = new TreeSet<>(NEXT_CHECK);
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

  WaitingQueue<Pending> queue() {
    return queue;
  }

  OwnerStatus.Counts counts() {
    return new OwnerStatus.Counts(granted, floors, ahead, shed, preempted, wastedTokens);
  }

  /** Returns when the next deadline is to be looked at. */
  long nextCheckNanos() {
    return checks.isEmpty() ? Long.MAX_VALUE : checks.first().attachment().checkAtNanos;
  }

  /** Lets a request wait, or sheds it or another one if there is no room. */
  void enqueue(long nowNanos, Session session, SlotRequest request, ClassPolicy policy) {
    long deadline = nowNanos + request.slackNanos();
    Waiting<Pending> entry =
        new Waiting<>(
            request.request(),
            policy,
            request.customer(),
            deadline,
            deadline - request.firstTokenNanos(),
            request.firm(),
            new Pending(session, request));
    outbox.decided(
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
    queue.add(nowNanos, entry, request.lag());
    session.waits(entry);
    unsheddable += entry.sheddable() ? 0 : 1;
    schedule(entry, entry.latestStartNanos() - options.preemptLeadNanos());
  }

  private boolean makeRoom(long nowNanos, Waiting<Pending> entry) {
    boolean tooMany = unsheddable >= Math.max(1, options.maxWaiting() / UNSHEDDABLE_SHARE);
    if (!entry.sheddable() && !entry.firm() && tooMany) {
      deny(nowNanos, entry, ResultCode.QUEUE_FULL);
      return false;
    }
    if (queue.size() < options.maxWaiting()) {
      return true;
    }
    Optional<Waiting<Pending>> worst = queue.worst();
    boolean newcomer = worst.isEmpty() || worst.get().tier().isHigherThan(entry.tier());
    if (newcomer && entry.sheddable()) {
      deny(nowNanos, entry, ResultCode.SHED_OVERLOAD);
      return false;
    }
    worst.ifPresent(waiting -> shed(nowNanos, waiting, ResultCode.SHED_OVERLOAD));
    return true;
  }

  /** Takes a waiting request out without an answer. */
  void withdraw(long nowNanos, Waiting<Pending> entry) {
    if (queue.remove(entry)) {
      left(entry);
      outbox.decided(new SlotDecision.Withdrawn(nowNanos, scope, entry.request()));
    }
  }

  private void left(Waiting<Pending> entry) {
    Pending pending = entry.attachment();
    checks.remove(entry);
    pending.session.stopsWaiting(entry.request());
    unsheddable -= entry.sheddable() ? 0 : 1;
    critical -= pending.critical ? 1 : 0;
  }

  private void schedule(Waiting<Pending> entry, long atNanos) {
    entry.attachment().checkAtNanos = atNanos;
    checks.add(entry);
  }

  /** Takes a router that does not answer out of the queue until it is heard again. */
  private void suspect(long nowNanos, Session session) {
    session.suspect = true;
    for (Waiting<Pending> entry : new ArrayList<>(session.waiting.values())) {
      withdraw(nowNanos, entry);
    }
  }

  /** Does everything that is due: preemptions, drops, grants, recalls. */
  void run(long nowNanos) {
    expire(nowNanos);
    List<Waiting<Pending>> aside = new ArrayList<>();
    while (table.free() > 0 && !queue.isEmpty()) {
      grantNext(nowNanos, aside);
    }
    for (Waiting<Pending> entry : aside) {
      queue.add(nowNanos, entry, 0);
    }
    if (queue.isEmpty()) {
      return;
    }
    recall(queue.size());
  }

  private void grantNext(long nowNanos, List<Waiting<Pending>> aside) {
    Waiting<Pending> head = queue.head(nowNanos).orElseThrow();
    Optional<Waiting<Pending>> claim = floorClaim(nowNanos, head);
    Waiting<Pending> next = claim.orElse(head);
    Session session = next.attachment().session;
    if (nowNanos - session.unheardSinceNanos > SUSPECT_RESENDS * options.resendNanos()) {
      suspect(nowNanos, session);
      return;
    }
    SlotRequest request = next.attachment().request;
    Optional<UpstreamSlots> upstream = table.choose(request.preferred(), request.avoided());
    if (upstream.isEmpty()) {
      queue.remove(next);
      aside.add(next);
      return;
    }
    boolean passedOver = claim.isPresent() && head.tier().isHigherThan(next.tier());
    if (passedOver) {
      makeFirm(nowNanos, head);
    }
    grant(nowNanos, next, upstream.get(), claim.isPresent(), passedOver ? head : null);
  }

  /**
   * Returns the request of a class whose floor is due, if it goes before the head of the order.
   *
   * <p>Only the last free slot is given by a floor, so that the head is the one request that loses
   * it. A head that would then be late makes the floor wait, until the interval is almost over; the
   * head then becomes firm, so that it is not shed for it.
   */
  private Optional<Waiting<Pending>> floorClaim(long nowNanos, Waiting<Pending> head) {
    if (table.free() > 1) {
      return Optional.empty();
    }
    Optional<Waiting<Pending>> due = queue.floorHead(nowNanos, FLOOR_CLAIM);
    if (due.isEmpty() || due.get().policy().name().equals(head.policy().name())) {
      return Optional.empty();
    }
    if (due.get().tier().isHigherThan(head.tier())) {
      return Optional.empty();
    }
    boolean costly = head.sheddable() && head.attachment().critical;
    boolean forced = queue.floorPassed(nowNanos, due.get().policy().name(), FLOOR_FORCE);
    return costly && !forced ? Optional.empty() : due;
  }

  private void grant(
      long nowNanos,
      Waiting<Pending> entry,
      UpstreamSlots upstream,
      boolean floor,
      Waiting<Pending> passedOver) {
    Session session = entry.attachment().session;
    SlotRequest request = entry.attachment().request;
    queue.dispatch(nowNanos, entry, request.tokens());
    left(entry);
    Slot slot = table.grant(nowNanos, session, upstream);
    table.use(nowNanos, slot, request, new SlotTable.Usage(entry.policy(), floor));
    granted++;
    floors += floor ? 1 : 0;
    outbox.decided(
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
            Optional.ofNullable(passedOver).map(Waiting::request)));
    sendGrant(nowNanos, slot);
  }

  /** Sends the grant of a slot, for the first time or again. */
  void sendGrant(long nowNanos, Slot slot) {
    double lag = slot.idle() ? 0 : queue.lag(slot.policy.name(), slot.request.customer());
    slot.session.sentGrant(nowNanos);
    outbox.send(
        slot.session,
        stamp ->
            new SlotMessage.Grant(
                scope,
                stamp,
                slot.id,
                slot.upstream.id,
                Optional.ofNullable(slot.request).map(SlotRequest::request),
                lag,
                slot.upstream.bearing.limit(),
                slot.upstream.bearing.warming()));
  }

  /** Grants unused slots ahead of demand while there are plenty. */
  void grantAhead(long nowNanos, Session session) {
    int reserve = 1 + table.usable() / AHEAD_RESERVE;
    while (queue.isEmpty()
        && !session.suspect
        && session.idle < session.wanted
        && table.free() > reserve) {
      Optional<UpstreamSlots> upstream = table.choose(List.of(), List.of());
      if (upstream.isEmpty()) {
        return;
      }
      Slot slot = table.grant(nowNanos, session, upstream.get());
      ahead++;
      outbox.decided(
          new SlotDecision.GrantedAhead(
              nowNanos, scope, session.router, slot.id, upstream.get().id));
      sendGrant(nowNanos, slot);
    }
  }

  /** Asks unused slots back, as many as there are requests that wait. */
  private void recall(int needed) {
    int asked = 0;
    for (Slot slot : table.idle()) {
      if (asked >= needed) {
        return;
      }
      asked++;
      if (!slot.recalled) {
        slot.recalled = true;
        sendRecall(slot);
      }
    }
  }

  private void sendRecall(Slot slot) {
    outbox.send(slot.session, stamp -> new SlotMessage.Recall(scope, stamp, slot.id));
  }

  /** Repeats orders and recalls that were not answered. */
  void resend() {
    for (Slot slot : table.ordered()) {
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

  private void check(long nowNanos, Waiting<Pending> entry) {
    Pending pending = entry.attachment();
    if (!pending.critical) {
      pending.critical = true;
      critical++;
    }
    boolean late = nowNanos > entry.latestStartNanos();
    boolean roomForAll = table.free() >= queue.size();
    if (late && entry.sheddable() && !roomForAll) {
      boolean lowerGoes = table.orderedBelow(entry.tier()) || preemptFor(nowNanos, entry);
      if (!lowerGoes) {
        shed(nowNanos, entry, shedCode());
        return;
      }
      makeFirm(nowNanos, entry);
    } else if (table.ordered().size() < critical) {
      preemptFor(nowNanos, entry);
    }
    long again = nowNanos + options.resendNanos();
    schedule(entry, late ? again : Math.min(again, entry.latestStartNanos() + 1));
  }

  private ResultCode shedCode() {
    return table.usable() == 0 ? ResultCode.NO_UPSTREAM : ResultCode.DEADLINE_UNREACHABLE;
  }

  private void makeFirm(long nowNanos, Waiting<Pending> entry) {
    boolean was = entry.sheddable();
    queue.makeFirm(nowNanos, entry);
    unsheddable += was ? 1 : 0;
  }

  private boolean preemptFor(long nowNanos, Waiting<Pending> entry) {
    Optional<Slot> victim = table.victimFor(entry.tier());
    if (victim.isEmpty()) {
      return false;
    }
    Slot slot = victim.get();
    table.order(slot);
    preempted++;
    Tier victimTier = slot.policy.tier();
    outbox.decided(
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

  private void shed(long nowNanos, Waiting<Pending> entry, ResultCode code) {
    queue.remove(entry);
    left(entry);
    deny(nowNanos, entry, code);
  }

  private void deny(long nowNanos, Waiting<Pending> entry, ResultCode code) {
    shed++;
    outbox.decided(new SlotDecision.Shed(nowNanos, scope, entry.request(), entry.tier(), code));
    long retryAfter = entry.policy().firstTokenMs() * 1_000_000L;
    outbox.send(
        entry.attachment().session,
        stamp -> new SlotMessage.Deny(scope, stamp, entry.request(), code, retryAfter));
  }

  /** Takes in that preempted work had spent some tokens. */
  void wasted(long tokens) {
    wastedTokens += tokens;
  }
}
