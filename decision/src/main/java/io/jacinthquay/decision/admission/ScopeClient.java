package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.ClientStamp;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.ConcurrencyLimitHint;
import io.jacinthquay.decision.slots.OwnerStatus;
import io.jacinthquay.decision.slots.SlotDigest;
import io.jacinthquay.decision.slots.SlotId;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotOptions;
import io.jacinthquay.decision.slots.SlotRequest;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The client side of one scope on one router: its waiting and running requests and the slots it
 * holds.
 *
 * <p>A request is dispatched at once if an unused slot is held. Otherwise it is sent to the owner
 * and waits until the owner grants a slot or sheds it. It is refused locally only while the owner
 * is unreachable.
 */
final class ScopeClient {
  /** Age after which a limit is no longer sent to a new owner, in nanoseconds. */
  private static final long MAX_HINT_AGE_NANOS = 30_000_000_000L;

  private final SlotScope scope;
  private final VmId self;
  private final long incarnation;
  private final SlotOptions options;
  private final Outbox outbox;
  private final Map<RequestId, LocalRequest> waiting = new LinkedHashMap<>();
  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<SlotId, RequestId> inUse = new HashMap<>();
  private final Map<SlotId, UpstreamId> idle = new LinkedHashMap<>();
  private final ReleasedSlots released;
  private final DemandMeter demand;
  private final Map<UpstreamId, KnownLimit> limits = new HashMap<>();
  private VmId owner;
  private long ownerIncarnation;
  private long validUntilNanos = Long.MIN_VALUE;
  private long acknowledgedNanos = Long.MIN_VALUE / 2;
  private long unacknowledgedSinceNanos = Long.MAX_VALUE;
  private long lastReceivedNanos = Long.MIN_VALUE / 2;
  private long formerLeaseEndNanos = -1;
  private long sequence;
  private long nextSyncNanos = Long.MIN_VALUE;
  private SlotDigest heldDigest = SlotDigest.EMPTY;
  private SlotDigest waitingDigest = SlotDigest.EMPTY;
  private long dispatchedFromIdle;
  private long dispatchedAfterGrant;
  private boolean left;

  /** Whether the current owner has answered and the answer was acknowledged. */
  private boolean confirmed;

  /** A request of this router; a resumed one keeps its deadline. */
  private static final class LocalRequest {
    final AdmissionRequest request;
    final SlotRequest slotRequest;

    LocalRequest(AdmissionRequest request, SlotRequest slotRequest) {
      this.request = request;
      this.slotRequest = slotRequest;
    }
  }

  /** A concurrency limit received from an owner. */
  private record KnownLimit(int limit, boolean warming, long atNanos) {}

  /** A running request. */
  private static final class Running {
    final LocalRequest local;
    final SlotId slot;
    final UpstreamId upstream;
    boolean preempting;

    Running(LocalRequest local, SlotId slot, UpstreamId upstream) {
      this.local = local;
      this.slot = slot;
      this.upstream = upstream;
    }
  }

  ScopeClient(SlotScope scope, VmId self, long incarnation, SlotOptions options, Outbox outbox) {
    this.scope = scope;
    this.self = self;
    this.incarnation = incarnation;
    this.options = options;
    this.outbox = outbox;
    this.released = new ReleasedSlots(options.expiryNanos());
    this.demand = new DemandMeter(options.maxIdlePerRouter());
  }

  /** Sets the owner; empty for none. */
  void setOwner(long nowNanos, Optional<VmId> next) {
    if (next.equals(Optional.ofNullable(owner))) {
      return;
    }
    leaveOwner(nowNanos);
    owner = next.orElse(null);
    ownerIncarnation = 0;
    validUntilNanos = Long.MIN_VALUE;
    acknowledgedNanos = Long.MIN_VALUE / 2;
    if (owner != null && !left) {
      sendState(nowNanos);
    }
  }

  private void leaveOwner(long nowNanos) {
    dropIdle();
    if (owner == null) {
      return;
    }
    outbox.sendToOwner(owner, new SlotMessage.Leave(scope, stamp(nowNanos)));
    formerLeaseEndNanos = Math.max(formerLeaseEndNanos, lastReceivedNanos + options.expiryNanos());
  }

  void submit(long nowNanos, AdmissionRequest request) {
    demand.recordArrival();
    SlotRequest slotRequest = slotRequest(request);
    LocalRequest local = new LocalRequest(request, slotRequest);
    Optional<SlotId> slot = waiting.isEmpty() ? findIdleSlot(nowNanos, request) : Optional.empty();
    if (slot.isEmpty()) {
      enqueue(nowNanos, local);
      return;
    }
    UpstreamId upstream = idle.remove(slot.get());
    dispatchedFromIdle++;
    dispatch(local, slot.get(), upstream);
    send(
        nowNanos, stamp -> new SlotMessage.Use(scope, stamp, slot.get(), current(nowNanos, local)));
  }

  private static SlotRequest slotRequest(AdmissionRequest request) {
    return new SlotRequest(
        request.request(),
        request.className(),
        request.customer(),
        0,
        request.firstTokenNanos(),
        request.tokens(),
        request.preemptible(),
        request.resumed(),
        0,
        request.preferred(),
        request.avoided());
  }

  private Optional<SlotId> findIdleSlot(long nowNanos, AdmissionRequest request) {
    if (!sessionValid(nowNanos)) {
      return Optional.empty();
    }
    for (UpstreamId preferred : request.preferred()) {
      for (Map.Entry<SlotId, UpstreamId> held : idle.entrySet()) {
        boolean fits = held.getValue().equals(preferred);
        if (fits && !request.avoided().contains(preferred)) {
          return Optional.of(held.getKey());
        }
      }
    }
    for (Map.Entry<SlotId, UpstreamId> held : idle.entrySet()) {
      if (!request.avoided().contains(held.getValue())) {
        return Optional.of(held.getKey());
      }
    }
    return Optional.empty();
  }

  private void enqueue(long nowNanos, LocalRequest local) {
    waiting.put(local.request.request(), local);
    waitingDigest = waitingDigest.with(local.request.request());
    List<SlotRequest> requested = List.of(current(nowNanos, local));
    send(nowNanos, stamp -> new SlotMessage.Ask(scope, stamp, requested));
  }

  private SlotRequest current(long nowNanos, LocalRequest local) {
    double excessTokens = outbox.excessTokens(local.request.className(), local.request.customer());
    return local.slotRequest.at(local.request.deadlineNanos() - nowNanos, excessTokens);
  }

  private LocalRequest stopWaiting(RequestId request) {
    LocalRequest local = waiting.remove(request);
    if (local != null) {
      waitingDigest = waitingDigest.without(request);
    }
    return local;
  }

  /** Dispatches a request on a slot that is no longer counted as unused. */
  private void dispatch(LocalRequest local, SlotId slot, UpstreamId upstream) {
    RequestId request = local.request.request();
    running.put(request, new Running(local, slot, upstream));
    inUse.put(slot, request);
    outbox.addAction(new AdmissionAction.Dispatch(request, upstream));
  }

  boolean finish(long nowNanos, RequestId request, Completion completion) {
    Running ended = running.remove(request);
    if (ended == null) {
      return false;
    }
    inUse.remove(ended.slot);
    release(nowNanos, ended.slot, completion);
    return true;
  }

  boolean requeuePreempted(long nowNanos, RequestId request, long tokens, long remaining) {
    Running stopped = running.get(request);
    if (stopped == null) {
      return false;
    }
    finish(nowNanos, request, Completion.ended(Completion.End.PREEMPTED, tokens));
    SlotRequest resumed = stopped.local.slotRequest.resumed(remaining);
    enqueue(nowNanos, new LocalRequest(stopped.local.request, resumed));
    return true;
  }

  boolean reportProgress(long nowNanos, RequestId request, long tokens, long expected) {
    Running target = running.get(request);
    if (target == null) {
      return false;
    }
    send(nowNanos, stamp -> new SlotMessage.Progress(scope, stamp, target.slot, tokens, expected));
    return true;
  }

  boolean cancel(long nowNanos, RequestId request) {
    if (stopWaiting(request) == null) {
      return false;
    }
    send(nowNanos, stamp -> new SlotMessage.Cancel(scope, stamp, request));
    return true;
  }

  private void release(long nowNanos, SlotId slot, Completion completion) {
    heldDigest = heldDigest.without(slot);
    released.add(nowNanos, slot, completion);
    send(nowNanos, stamp -> new SlotMessage.Release(scope, stamp, slot, completion));
  }

  void receive(long nowNanos, SlotMessage.ToClient message) {
    if (!message.stamp().owner().equals(owner) || left) {
      return;
    }
    if (message.stamp().incarnation() < ownerIncarnation) {
      return;
    }
    if (message.stamp().incarnation() > ownerIncarnation) {
      ownerIncarnation = message.stamp().incarnation();
      validUntilNanos = Long.MIN_VALUE;
      acknowledgedNanos = Long.MIN_VALUE / 2;
      dropIdle();
    }
    validUntilNanos = Math.max(validUntilNanos, message.stamp().validUntilNanos());
    lastReceivedNanos = nowNanos;
    acknowledgedNanos = Math.max(acknowledgedNanos, message.stamp().sentAtNanos());
    if (message instanceof SlotMessage.Grant) {
      unacknowledgedSinceNanos = Math.min(unacknowledgedSinceNanos, nowNanos);
    }
    if (!confirmed) {
      confirmed = true;
      sync(nowNanos);
    }
    process(nowNanos, message);
  }

  private void process(long nowNanos, SlotMessage.ToClient message) {
    if (message instanceof SlotMessage.Grant grant) {
      handleGrant(nowNanos, grant);
    } else if (message instanceof SlotMessage.Deny deny) {
      if (stopWaiting(deny.request()) != null) {
        outbox.addAction(
            new AdmissionAction.Refuse(deny.request(), deny.code(), deny.retryAfterNanos()));
      }
    } else if (message instanceof SlotMessage.Preempt order) {
      handlePreempt(nowNanos, order);
    } else if (message instanceof SlotMessage.Recall recall) {
      handleRecall(nowNanos, recall.slot());
    } else if (message instanceof SlotMessage.Resync) {
      sendState(nowNanos);
    }
  }

  private void handleGrant(long nowNanos, SlotMessage.Grant grant) {
    SlotId slot = grant.slot();
    limits.put(grant.upstream(), new KnownLimit(grant.limit(), grant.warming(), nowNanos));
    if (inUse.containsKey(slot) || idle.containsKey(slot)) {
      return;
    }
    Optional<Completion> earlier = released.find(slot);
    if (earlier.isPresent()) {
      send(nowNanos, stamp -> new SlotMessage.Release(scope, stamp, slot, earlier.get()));
      return;
    }
    boolean valid = nowNanos < grant.stamp().validUntilNanos();
    heldDigest = heldDigest.with(slot);
    if (valid && grant.request().isEmpty()) {
      idle.put(slot, grant.upstream());
      return;
    }
    LocalRequest local = valid ? stopWaiting(grant.request().orElseThrow()) : null;
    if (local == null) {
      release(nowNanos, slot, Completion.UNUSED);
      return;
    }
    outbox.recordExcess(local.request.className(), local.request.customer(), grant.excessTokens());
    dispatchedAfterGrant++;
    dispatch(local, slot, grant.upstream());
  }

  private void handlePreempt(long nowNanos, SlotMessage.Preempt order) {
    RequestId request = inUse.get(order.slot());
    if (request == null) {
      handleRecall(nowNanos, order.slot());
      return;
    }
    Running target = running.get(request);
    if (!target.preempting) {
      target.preempting = true;
      outbox.addAction(new AdmissionAction.Preempt(request));
    }
  }

  private void handleRecall(long nowNanos, SlotId slot) {
    RequestId user = inUse.get(slot);
    if (user != null) {
      LocalRequest local = running.get(user).local;
      send(nowNanos, stamp -> new SlotMessage.Use(scope, stamp, slot, current(nowNanos, local)));
      return;
    }
    if (idle.remove(slot) != null) {
      release(nowNanos, slot, Completion.UNUSED);
      return;
    }
    // the grant may still be in flight; a slot recorded as released is not used when it arrives
    Completion earlier = released.findOrAdd(nowNanos, slot, Completion.UNUSED);
    send(nowNanos, stamp -> new SlotMessage.Release(scope, stamp, slot, earlier));
  }

  void tick(long nowNanos) {
    boolean acknowledgementDue = nowNanos - options.resendNanos() >= unacknowledgedSinceNanos;
    if (owner != null && !left && (acknowledgementDue || nowNanos >= nextSyncNanos)) {
      if (sessionValid(nowNanos)) {
        sync(nowNanos);
      } else {
        sendState(nowNanos);
      }
    }
    if (!sessionValid(nowNanos)) {
      dropIdle();
      refuseLate(nowNanos);
    }
    released.removeExpired(nowNanos);
  }

  long nextTickNanos() {
    return owner == null || left ? Long.MAX_VALUE : nextSyncNanos;
  }

  private void sync(long nowNanos) {
    nextSyncNanos = nowNanos + options.syncNanos();
    int idleTarget = demand.endInterval(options.syncNanos());
    send(
        nowNanos,
        stamp -> new SlotMessage.Sync(scope, stamp, heldDigest, waitingDigest, idleTarget));
  }

  private void sendState(long nowNanos) {
    confirmed = false;
    nextSyncNanos = nowNanos + Math.min(options.syncNanos(), 2 * options.resendNanos());
    List<SlotMessage.UsedSlot> used = new ArrayList<>();
    for (Running run : running.values()) {
      SlotRequest request = current(nowNanos, run.local);
      used.add(new SlotMessage.UsedSlot(run.slot, run.upstream, request));
    }
    List<SlotRequest> requested = new ArrayList<>();
    waiting.values().forEach(local -> requested.add(current(nowNanos, local)));
    long formerLeaseNanos =
        formerLeaseEndNanos < 0 ? -1 : Math.max(0, formerLeaseEndNanos - nowNanos);
    int idleTarget = demand.idleTarget();
    List<SlotId> held = List.copyOf(idle.keySet());
    List<ConcurrencyLimitHint> hints = hints(nowNanos);
    send(
        nowNanos,
        stamp ->
            new SlotMessage.State(
                scope, stamp, used, held, requested, idleTarget, hints, formerLeaseNanos));
  }

  private List<ConcurrencyLimitHint> hints(long nowNanos) {
    limits.values().removeIf(known -> nowNanos - known.atNanos() > MAX_HINT_AGE_NANOS);
    List<ConcurrencyLimitHint> hints = new ArrayList<>();
    limits.forEach(
        (upstream, known) ->
            hints.add(
                new ConcurrencyLimitHint(
                    upstream, known.limit(), known.warming(), nowNanos - known.atNanos())));
    return hints;
  }

  /** Refuses requests that can no longer be on time while no owner answers. */
  private void refuseLate(long nowNanos) {
    for (Iterator<LocalRequest> iterator = waiting.values().iterator(); iterator.hasNext(); ) {
      LocalRequest local = iterator.next();
      long latestStart = local.request.deadlineNanos() - local.request.firstTokenNanos();
      boolean guaranteed =
          local.slotRequest.guaranteed() || outbox.mustFinish(local.request.className());
      if (nowNanos > latestStart && !guaranteed) {
        iterator.remove();
        waitingDigest = waitingDigest.without(local.request.request());
        long retryAfterNanos = options.leaseNanos();
        outbox.addAction(
            new AdmissionAction.Refuse(
                local.request.request(), ResultCode.NO_UPSTREAM, retryAfterNanos));
      }
    }
  }

  /**
   * Drops all unused slots. This router no longer uses them, so their owner may stop counting them.
   */
  private void dropIdle() {
    for (SlotId slot : idle.keySet()) {
      heldDigest = heldDigest.without(slot);
    }
    idle.clear();
  }

  void leave(long nowNanos) {
    leaveOwner(nowNanos);
    left = true;
  }

  boolean sessionValid(long nowNanos) {
    return nowNanos < validUntilNanos;
  }

  ScopeStatus status(long nowNanos, Optional<OwnerStatus> owned) {
    return new ScopeStatus(
        Optional.ofNullable(owner),
        sessionValid(nowNanos),
        waiting.size(),
        running.size(),
        idle.size(),
        dispatchedFromIdle,
        dispatchedAfterGrant,
        owned);
  }

  private interface Stamped {
    SlotMessage.ToOwner with(ClientStamp stamp);
  }

  private void send(long nowNanos, Stamped message) {
    if (owner != null && !left) {
      outbox.sendToOwner(owner, message.with(stamp(nowNanos)));
    }
  }

  private ClientStamp stamp(long nowNanos) {
    unacknowledgedSinceNanos = Long.MAX_VALUE;
    sequence++;
    return new ClientStamp(self, incarnation, sequence, nowNanos, acknowledgedNanos);
  }
}
