package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.ConcurrencyLimitOptions;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** All slots of one scope, sorted for granting, preemption and recall. */
final class SlotTable {
  /** Lowest tier first; within a tier the work that began last, which wastes the fewest tokens. */
  private static final Comparator<Slot> LEAST_WASTE =
      Comparator.<Slot, Tier>comparing(slot -> slot.policy.tier())
          .reversed()
          .thenComparing(Comparator.<Slot>comparingLong(slot -> slot.startedAtNanos).reversed())
          .thenComparingLong(slot -> slot.grantNumber);

  private static final Comparator<UpstreamSlots> LEAST_LOADED =
      Comparator.comparingInt(UpstreamSlots::loadAtInsert).thenComparing(upstream -> upstream.id);

  private final VmId self;
  private final long incarnation;
  private final ConcurrencyLimitOptions limitOptions;
  private final Map<UpstreamId, UpstreamSlots> upstreams = new TreeMap<>();
  private final Map<SlotId, Slot> slots = new HashMap<>();
  private final TreeSet<UpstreamSlots> available = new TreeSet<>(LEAST_LOADED);
  private final TreeSet<Slot> victims = new TreeSet<>(LEAST_WASTE);
  private final Set<Slot> preempting = new LinkedHashSet<>();
  private final Set<Slot> idle = new LinkedHashSet<>();
  private long grants;
  private int usable;
  private int free;

  SlotTable(VmId self, long incarnation, ConcurrencyLimitOptions limitOptions) {
    this.self = self;
    this.incarnation = incarnation;
    this.limitOptions = limitOptions;
  }

  Collection<UpstreamSlots> upstreams() {
    return upstreams.values();
  }

  Slot slot(SlotId id) {
    return slots.get(id);
  }

  int size() {
    return slots.size();
  }

  int idleSize() {
    return idle.size();
  }

  int free() {
    return free;
  }

  int usable() {
    return usable;
  }

  /** Returns the unused slots, the longest held first. */
  Set<Slot> idle() {
    return idle;
  }

  /** Returns the slots whose preemption was ordered and that were not released yet. */
  Set<Slot> preempting() {
    return preempting;
  }

  /**
   * Sets the upstreams. A missing one gets no new work and is removed when all its slots are
   * released.
   */
  void upstreams(List<UpstreamSpec> specs) {
    Set<UpstreamId> listed = new LinkedHashSet<>();
    for (UpstreamSpec spec : specs) {
      listed.add(spec.upstream());
      UpstreamSlots existing = upstreams.get(spec.upstream());
      if (existing == null || (existing.leaving && existing.granted == 0)) {
        upstreams.put(spec.upstream(), new UpstreamSlots(spec, limitOptions));
      } else {
        existing.leaving = false;
      }
    }
    for (UpstreamSlots upstream : upstreams.values()) {
      upstream.leaving = !listed.contains(upstream.id);
    }
    upstreams.values().removeIf(upstream -> upstream.leaving && upstream.granted == 0);
    reindex();
  }

  /** Rebuilds the index and the totals after limits or shares have changed. */
  void reindex() {
    available.clear();
    usable = 0;
    free = 0;
    for (UpstreamSlots upstream : upstreams.values()) {
      upstream.updateLoad();
      usable += upstream.usable();
      free += upstream.free();
      if (upstream.free() > 0) {
        available.add(upstream);
      }
    }
  }

  /** Changes one upstream and updates the index and the totals. */
  void change(UpstreamSlots upstream, Runnable change) {
    available.remove(upstream);
    usable -= upstream.usable();
    free -= upstream.free();
    change.run();
    usable += upstream.usable();
    free += upstream.free();
    upstream.updateLoad();
    if (upstream.free() > 0) {
      available.add(upstream);
    }
  }

  /**
   * Returns the upstream for a request: the first preferred one with a free slot, else the least
   * loaded one.
   */
  Optional<UpstreamSlots> choose(List<UpstreamId> preferred, List<UpstreamId> avoided) {
    for (UpstreamId id : preferred) {
      UpstreamSlots upstream = upstreams.get(id);
      if (upstream != null && upstream.free() > 0 && !avoided.contains(id)) {
        return Optional.of(upstream);
      }
    }
    for (UpstreamSlots upstream : available) {
      if (!avoided.contains(upstream.id)) {
        return Optional.of(upstream);
      }
    }
    return Optional.empty();
  }

  /** Returns whether any upstream may serve a request that avoids some. */
  boolean hasOther(List<UpstreamId> avoided) {
    return avoided.isEmpty()
        || upstreams.values().stream().anyMatch(upstream -> !avoided.contains(upstream.id));
  }

  /** Restores the concurrency limit from a hint, unless a more recent one was applied before. */
  void restore(ConcurrencyLimitHint hint) {
    UpstreamSlots target = upstreams.get(hint.upstream());
    if (target != null && hint.ageNanos() < target.hintAgeNanos) {
      target.hintAgeNanos = hint.ageNanos();
      target.limiter.restore(hint.limit(), hint.warming());
    }
  }

  /** Creates a slot of an upstream for a router. */
  Slot grant(long nowNanos, Session session, UpstreamSlots upstream) {
    grants++;
    return insert(new SlotId(self, incarnation, grants), nowNanos, session, upstream);
  }

  /**
   * Adds a slot that another owner granted. It replaces one orphaned slot of the same router.
   *
   * <p>Other orphaned slots of the router keep counting, because the other owner may have granted
   * them to another router.
   */
  void adopt(SlotId id, long nowNanos, Session session, UpstreamId upstream) {
    UpstreamSlots target = upstreams.computeIfAbsent(upstream, this::leavingUpstream);
    grants++;
    insert(id, nowNanos, session, target);
    change(target, () -> target.inherited++);
    session.inherited.merge(target, 1, Integer::sum);
    target.orphans.stream()
        .filter(orphan -> orphan.heldBy(session))
        .findFirst()
        .ifPresent(this::dropOrphan);
  }

  /** Stops counting the slots that a router got from a former owner as inherited. */
  void clearInherited(Session session) {
    session.inherited.forEach((upstream, count) -> upstream.inherited -= count);
    session.inherited.clear();
  }

  /** Returns an upstream that only counts its running work and gets no new work. */
  private UpstreamSlots leavingUpstream(UpstreamId id) {
    UpstreamSlots upstream = new UpstreamSlots(UpstreamSpec.unstated(id), limitOptions);
    upstream.leaving = true;
    return upstream;
  }

  private Slot insert(SlotId id, long nowNanos, Session session, UpstreamSlots upstream) {
    Slot slot = new Slot(id, session, upstream, grants, nowNanos);
    slots.put(id, slot);
    upstream.slots.add(slot);
    session.addSlot(slot);
    session.idle++;
    idle.add(slot);
    change(
        upstream,
        () -> {
          upstream.granted++;
          upstream.idle++;
        });
    return slot;
  }

  /** Assigns a request to an unused slot. */
  void assign(long nowNanos, Slot slot, SlotRequest request, Usage usage) {
    slot.request = request;
    slot.policy = usage.policy();
    slot.floor = usage.floor();
    slot.charged = request.tokens();
    slot.startedAtNanos = nowNanos;
    idle.remove(slot);
    slot.upstream.idle--;
    if (slot.session != null) {
      slot.session.idle--;
      slot.session.running.put(request.request(), slot);
    }
    if (slot.preemptible()) {
      victims.add(slot);
    }
  }

  /**
   * How a slot is used.
   *
   * @param policy the class of the work
   * @param floor whether it was granted by a floor
   */
  record Usage(ClassPolicy policy, boolean floor) {}

  /** Removes a slot that its router has released. */
  void release(long nowNanos, Slot slot) {
    boolean unused = slot.idle();
    if (!unused) {
      slot.upstream.unknownLoad.addEnded(slot.startedAtNanos, nowNanos);
    }
    detach(slot);
    slots.remove(slot.id);
    slot.upstream.slots.remove(slot);
    change(
        slot.upstream,
        () -> {
          slot.upstream.granted--;
          slot.upstream.idle -= unused ? 1 : 0;
        });
  }

  /**
   * Marks a slot as orphaned: its session has ended, but it counts until its work is known to have
   * ended.
   *
   * @param sinceNanos from when its router can no longer start other work on it
   * @param untilNanos when it stops counting in any case
   */
  void orphan(Slot slot, long sinceNanos, long untilNanos) {
    if (slot.idle()) {
      slot.upstream.idle--;
    }
    detach(slot);
    slot.session = null;
    slot.orphanSinceNanos = sinceNanos;
    slot.orphanUntilNanos = untilNanos;
    slots.remove(slot.id);
    slot.upstream.slots.remove(slot);
    slot.upstream.orphans.add(slot);
  }

  /** Stops counting an orphaned slot. */
  void dropOrphan(Slot slot) {
    slot.upstream.orphans.remove(slot);
    change(slot.upstream, () -> slot.upstream.granted--);
  }

  /** Drops the orphans of routers that have a new session, since that lists their running work. */
  void dropOrphans(Collection<Session> sessions) {
    for (UpstreamSlots upstream : upstreams.values()) {
      for (Slot orphan : List.copyOf(upstream.orphans)) {
        if (sessions.stream().anyMatch(orphan::heldBy)) {
          dropOrphan(orphan);
        }
      }
    }
  }

  private void detach(Slot slot) {
    idle.remove(slot);
    preempting.remove(slot);
    if (slot.policy != null) {
      victims.remove(slot);
    }
    if (slot.session != null) {
      slot.session.removeSlot(slot);
      slot.session.idle -= slot.idle() ? 1 : 0;
    }
  }

  /** Returns the slot to preempt first for a tier, or nothing if no work has a lower tier. */
  Optional<Slot> victimFor(Tier tier) {
    if (victims.isEmpty()) {
      return Optional.empty();
    }
    Slot victim = victims.first();
    return tier.isHigherThan(victim.policy.tier()) ? Optional.of(victim) : Optional.empty();
  }

  /** Marks a slot as being preempted. */
  void markPreempting(Slot slot) {
    victims.remove(slot);
    slot.preemptOrdered = true;
    preempting.add(slot);
  }

  /** Returns whether work of a lower tier is being preempted. */
  boolean preemptingBelow(Tier tier) {
    for (Slot slot : preempting) {
      if (tier.isHigherThan(slot.policy.tier())) {
        return true;
      }
    }
    return false;
  }
}
