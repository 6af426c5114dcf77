package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.BearingHint;
import io.jacinthquay.decision.slots.ClientStamp;
import io.jacinthquay.decision.slots.Completion;
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
 * One router's side of one scope: what waits here, what runs here and which slots are held.
 *
 * <p>A request that finds an unused slot goes at once. Any other is asked for, and waits for the
 * owner to grant or shed it. Only while the owner can't be reached is it refused here.
 */
final class ScopeClient {
  /** Age after which a limit is no longer told to a new owner, in nanoseconds. */
  private static final long HINT_NANOS = 30_000_000_000L;

  private final SlotScope scope;
  private final VmId self;
  private final long incarnation;
  private final SlotOptions options;
  private final Outbox outbox;
  private final Map<RequestId, Local> waiting = new LinkedHashMap<>();
  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<SlotId, RequestId> inUse = new HashMap<>();
  private final Map<SlotId, UpstreamId> idle = new LinkedHashMap<>();
  private final ReleasedSlots released;
  private final DemandMeter demand;
  private final Map<UpstreamId, Heard> limits = new HashMap<>();
  private VmId owner;
  private long ownerIncarnation;
  private long validUntilNanos = Long.MIN_VALUE;
  private long heardNanos = Long.MIN_VALUE / 2;
  private long unansweredSinceNanos = Long.MAX_VALUE;
  private long lastHeardNanos = Long.MIN_VALUE / 2;
  private long formerFreeNanos = -1;
  private long sequence;
  private long nextSyncNanos = Long.MIN_VALUE;
  private SlotDigest heldDigest = SlotDigest.EMPTY;
  private SlotDigest waitingDigest = SlotDigest.EMPTY;
  private long dispatchedAhead;
  private long dispatchedAsked;
  private boolean left;

  /** Whether the present owner has answered and was told so. */
  private boolean confirmed;

  /** A request that waits here; a resumed one keeps its deadline. */
  private static final class Local {
    final AdmissionRequest request;
    final SlotRequest slotRequest;

    Local(AdmissionRequest request, SlotRequest slotRequest) {
      this.request = request;
      this.slotRequest = slotRequest;
    }
  }

  /** A limit that an owner told. */
  private record Heard(int limit, boolean warming, long atNanos) {}

  /** A request that runs here. */
  private static final class Running {
    final Local local;
    final SlotId slot;
    final UpstreamId upstream;
    boolean preempting;

    Running(Local local, SlotId slot, UpstreamId upstream) {
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

  /** Turns to another owner, or to none. */
  void owner(long nowNanos, Optional<VmId> next) {
    if (next.equals(Optional.ofNullable(owner))) {
      return;
    }
    leaveOwner(nowNanos);
    owner = next.orElse(null);
    ownerIncarnation = 0;
    validUntilNanos = Long.MIN_VALUE;
    heardNanos = Long.MIN_VALUE / 2;
    if (owner != null && !left) {
      sendState(nowNanos);
    }
  }

  private void leaveOwner(long nowNanos) {
    dropIdle();
    if (owner == null) {
      return;
    }
    outbox.toOwner(owner, new SlotMessage.Leave(scope, stamp(nowNanos)));
    formerFreeNanos = Math.max(formerFreeNanos, lastHeardNanos + options.expiryNanos());
  }

  void submit(long nowNanos, AdmissionRequest request) {
    demand.arrived();
    SlotRequest slotRequest = slotRequest(request);
    Local local = new Local(request, slotRequest);
    Optional<SlotId> slot = waiting.isEmpty() ? idleFor(nowNanos, request) : Optional.empty();
    if (slot.isEmpty()) {
      await(nowNanos, local);
      return;
    }
    UpstreamId upstream = idle.remove(slot.get());
    dispatchedAhead++;
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

  private Optional<SlotId> idleFor(long nowNanos, AdmissionRequest request) {
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

  private void await(long nowNanos, Local local) {
    waiting.put(local.request.request(), local);
    waitingDigest = waitingDigest.with(local.request.request());
    List<SlotRequest> asked = List.of(current(nowNanos, local));
    send(nowNanos, stamp -> new SlotMessage.Ask(scope, stamp, asked));
  }

  private SlotRequest current(long nowNanos, Local local) {
    double lag = outbox.lag(local.request.className(), local.request.customer());
    return local.slotRequest.at(local.request.deadlineNanos() - nowNanos, lag);
  }

  private Local stopWaiting(RequestId request) {
    Local local = waiting.remove(request);
    if (local != null) {
      waitingDigest = waitingDigest.without(request);
    }
    return local;
  }

  /** Starts a request on a slot that has just left the unused ones or was just granted. */
  private void dispatch(Local local, SlotId slot, UpstreamId upstream) {
    RequestId request = local.request.request();
    running.put(request, new Running(local, slot, upstream));
    inUse.put(slot, request);
    outbox.act(new AdmissionAction.Dispatch(request, upstream));
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

  boolean preempted(long nowNanos, RequestId request, long tokens, long remaining) {
    Running stopped = running.get(request);
    if (stopped == null) {
      return false;
    }
    finish(nowNanos, request, Completion.ended(Completion.End.PREEMPTED, tokens));
    SlotRequest resumed = stopped.local.slotRequest.resumed(remaining);
    await(nowNanos, new Local(stopped.local.request, resumed));
    return true;
  }

  boolean progress(long nowNanos, RequestId request, long tokens, long expected) {
    Running current = running.get(request);
    if (current == null) {
      return false;
    }
    send(nowNanos, stamp -> new SlotMessage.Progress(scope, stamp, current.slot, tokens, expected));
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
      heardNanos = Long.MIN_VALUE / 2;
      dropIdle();
    }
    validUntilNanos = Math.max(validUntilNanos, message.stamp().validUntilNanos());
    lastHeardNanos = nowNanos;
    heardNanos = Math.max(heardNanos, message.stamp().sentAtNanos());
    if (message instanceof SlotMessage.Grant) {
      unansweredSinceNanos = Math.min(unansweredSinceNanos, nowNanos);
    }
    if (!confirmed) {
      confirmed = true;
      sync(nowNanos);
    }
    process(nowNanos, message);
  }

  private void process(long nowNanos, SlotMessage.ToClient message) {
    if (message instanceof SlotMessage.Grant grant) {
      granted(nowNanos, grant);
    } else if (message instanceof SlotMessage.Deny deny) {
      if (stopWaiting(deny.request()) != null) {
        outbox.act(new AdmissionAction.Refuse(deny.request(), deny.code(), deny.retryAfterNanos()));
      }
    } else if (message instanceof SlotMessage.Preempt order) {
      preempt(nowNanos, order);
    } else if (message instanceof SlotMessage.Recall recall) {
      recalled(nowNanos, recall.slot());
    } else if (message instanceof SlotMessage.Resync) {
      sendState(nowNanos);
    }
  }

  private void granted(long nowNanos, SlotMessage.Grant grant) {
    SlotId slot = grant.slot();
    limits.put(grant.upstream(), new Heard(grant.limit(), grant.warming(), nowNanos));
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
    Local local = valid ? stopWaiting(grant.request().orElseThrow()) : null;
    if (local == null) {
      release(nowNanos, slot, Completion.UNUSED);
      return;
    }
    outbox.heard(local.request.className(), local.request.customer(), grant.lag());
    dispatchedAsked++;
    dispatch(local, slot, grant.upstream());
  }

  private void preempt(long nowNanos, SlotMessage.Preempt order) {
    RequestId request = inUse.get(order.slot());
    if (request == null) {
      recalled(nowNanos, order.slot());
      return;
    }
    Running target = running.get(request);
    if (!target.preempting) {
      target.preempting = true;
      outbox.act(new AdmissionAction.Preempt(request));
    }
  }

  private void recalled(long nowNanos, SlotId slot) {
    RequestId user = inUse.get(slot);
    if (user != null) {
      Local local = running.get(user).local;
      send(nowNanos, stamp -> new SlotMessage.Use(scope, stamp, slot, current(nowNanos, local)));
      return;
    }
    if (idle.remove(slot) != null) {
      release(nowNanos, slot, Completion.UNUSED);
      return;
    }
    // the grant may still be on its way: noted as given back, it is not taken up any more
    Completion earlier = released.findOrAdd(nowNanos, slot, Completion.UNUSED);
    send(nowNanos, stamp -> new SlotMessage.Release(scope, stamp, slot, earlier));
  }

  void tick(long nowNanos) {
    boolean silent = nowNanos - options.resendNanos() >= unansweredSinceNanos;
    if (owner != null && !left && (silent || nowNanos >= nextSyncNanos)) {
      if (sessionValid(nowNanos)) {
        sync(nowNanos);
      } else {
        sendState(nowNanos);
      }
    }
    if (!sessionValid(nowNanos)) {
      dropIdle();
      refuseHopeless(nowNanos);
    }
    released.forget(nowNanos);
  }

  long nextTickNanos() {
    return owner == null || left ? Long.MAX_VALUE : nextSyncNanos;
  }

  private void sync(long nowNanos) {
    nextSyncNanos = nowNanos + options.syncNanos();
    int wanted = demand.wanted(options.syncNanos());
    send(nowNanos, stamp -> new SlotMessage.Sync(scope, stamp, heldDigest, waitingDigest, wanted));
  }

  private void sendState(long nowNanos) {
    confirmed = false;
    nextSyncNanos = nowNanos + Math.min(options.syncNanos(), 2 * options.resendNanos());
    List<SlotMessage.UsedSlot> used = new ArrayList<>();
    for (Running one : running.values()) {
      SlotRequest request = current(nowNanos, one.local);
      used.add(new SlotMessage.UsedSlot(one.slot, one.upstream, request));
    }
    List<SlotRequest> asked = new ArrayList<>();
    waiting.values().forEach(local -> asked.add(current(nowNanos, local)));
    long vouchFree = formerFreeNanos < 0 ? -1 : Math.max(0, formerFreeNanos - nowNanos);
    int wanted = demand.wantedNow();
    List<SlotId> held = List.copyOf(idle.keySet());
    List<BearingHint> hints = hints(nowNanos);
    send(
        nowNanos,
        stamp -> new SlotMessage.State(scope, stamp, used, held, asked, wanted, hints, vouchFree));
  }

  private List<BearingHint> hints(long nowNanos) {
    limits.values().removeIf(heard -> nowNanos - heard.atNanos() > HINT_NANOS);
    List<BearingHint> hints = new ArrayList<>();
    limits.forEach(
        (upstream, heard) ->
            hints.add(
                new BearingHint(
                    upstream, heard.limit(), heard.warming(), nowNanos - heard.atNanos())));
    return hints;
  }

  /** Refuses what can no longer be on time while no owner answers. */
  private void refuseHopeless(long nowNanos) {
    for (Iterator<Local> all = waiting.values().iterator(); all.hasNext(); ) {
      Local local = all.next();
      long latestStart = local.request.deadlineNanos() - local.request.firstTokenNanos();
      boolean firm = local.slotRequest.firm() || outbox.mustFinish(local.request.className());
      if (nowNanos > latestStart && !firm) {
        all.remove();
        waitingDigest = waitingDigest.without(local.request.request());
        long retryAfter = options.leaseNanos();
        outbox.act(
            new AdmissionAction.Refuse(
                local.request.request(), ResultCode.NO_UPSTREAM, retryAfter));
      }
    }
  }

  /**
   * Forgets unused slots: this router will not use them, so that their owner may count them out.
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
        dispatchedAhead,
        dispatchedAsked,
        owned);
  }

  private interface Stamped {
    SlotMessage.ToOwner with(ClientStamp stamp);
  }

  private void send(long nowNanos, Stamped message) {
    if (owner != null && !left) {
      outbox.toOwner(owner, message.with(stamp(nowNanos)));
    }
  }

  private ClientStamp stamp(long nowNanos) {
    unansweredSinceNanos = Long.MAX_VALUE;
    sequence++;
    return new ClientStamp(self, incarnation, sequence, nowNanos, heardNanos);
  }
}
