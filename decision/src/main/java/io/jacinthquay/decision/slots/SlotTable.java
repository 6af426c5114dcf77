package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.BearingOptions;
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

/** All slots of one scope, with the orders in which they are granted, preempted and recalled. */
final class SlotTable {
  /** Lowest tier first; within a tier the work that began last, which wastes least. */
  private static final Comparator<Slot> LEAST_WASTE =
      Comparator.<Slot, Tier>comparing(slot -> slot.policy.tier())
          .reversed()
          .thenComparing(Comparator.<Slot>comparingLong(slot -> slot.startedAtNanos).reversed())
          .thenComparingLong(slot -> slot.order);

  private static final Comparator<UpstreamSlots> LEAST_LOADED =
      Comparator.comparingInt(UpstreamSlots::loadAtInsert).thenComparing(upstream -> upstream.id);

  private final VmId self;
  private final long incarnation;
  private final BearingOptions bearing;
  private final Map<UpstreamId, UpstreamSlots> upstreams = new TreeMap<>();
  private final Map<SlotId, Slot> slots = new HashMap<>();
  private final TreeSet<UpstreamSlots> available = new TreeSet<>(LEAST_LOADED);
  private final TreeSet<Slot> victims = new TreeSet<>(LEAST_WASTE);
  private final Set<Slot> ordered = new LinkedHashSet<>();
  private final Set<Slot> idle = new LinkedHashSet<>();
  private long grants;
  private int usable;
  private int free;

  SlotTable(VmId self, long incarnation, BearingOptions bearing) {
    this.self = self;
    this.incarnation = incarnation;
    this.bearing = bearing;
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

  /** Returns the unused slots that were not yet asked back, the longest held first. */
  Set<Slot> idle() {
    return idle;
  }

  /** Returns the slots that were ordered to be preempted and are not back. */
  Set<Slot> ordered() {
    return ordered;
  }

  /** Sets the upstreams; one that is missing gets no more work and goes when its slots are back. */
  void upstreams(List<UpstreamSpec> specs) {
    Set<UpstreamId> named = new LinkedHashSet<>();
    for (UpstreamSpec spec : specs) {
      named.add(spec.upstream());
      UpstreamSlots known = upstreams.get(spec.upstream());
      if (known == null || (known.leaving && known.granted == 0)) {
        upstreams.put(spec.upstream(), new UpstreamSlots(spec, bearing));
      } else {
        known.leaving = false;
      }
    }
    for (UpstreamSlots upstream : upstreams.values()) {
      upstream.leaving = !named.contains(upstream.id);
    }
    upstreams.values().removeIf(upstream -> upstream.leaving && upstream.granted == 0);
    reindex();
  }

  /** Takes in that limits or shares of any upstream may have changed. */
  void reindex() {
    available.clear();
    usable = 0;
    free = 0;
    for (UpstreamSlots upstream : upstreams.values()) {
      upstream.noteLoad();
      usable += upstream.usable();
      free += upstream.free();
      if (upstream.free() > 0) {
        available.add(upstream);
      }
    }
  }

  /** Changes one upstream and keeps the order of upstreams and the sums. */
  void change(UpstreamSlots upstream, Runnable change) {
    available.remove(upstream);
    usable -= upstream.usable();
    free -= upstream.free();
    change.run();
    usable += upstream.usable();
    free += upstream.free();
    upstream.noteLoad();
    if (upstream.free() > 0) {
      available.add(upstream);
    }
  }

  /**
   * Returns the upstream that serves a request best now: a preferred one, else the least loaded.
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

  /** Returns whether some upstream is not among those to avoid. */
  boolean hasOther(List<UpstreamId> avoided) {
    return avoided.isEmpty() || upstreams.values().stream().anyMatch(u -> !avoided.contains(u.id));
  }

  /** Takes in what a former owner had learned, unless a younger hint came before. */
  void restore(BearingHint hint) {
    UpstreamSlots known = upstreams.get(hint.upstream());
    if (known != null && hint.ageNanos() < known.hintAgeNanos) {
      known.hintAgeNanos = hint.ageNanos();
      known.bearing.restore(hint.limit(), hint.warming());
    }
  }

  /** Grants a slot. */
  Slot grant(long nowNanos, Session session, UpstreamSlots upstream) {
    grants++;
    return insert(new SlotId(self, incarnation, grants), nowNanos, session, upstream);
  }

  /**
   * Takes over a slot that another owner granted; it replaces one that its router had here before.
   *
   * <p>What a router had here beyond that goes on counting, because the other owner may have given
   * it to another router.
   */
  void adopt(SlotId id, long nowNanos, Session session, UpstreamId upstream) {
    UpstreamSlots known = upstreams.computeIfAbsent(upstream, this::leavingUpstream);
    grants++;
    insert(id, nowNanos, session, known);
    change(known, () -> known.inherited++);
    session.inherited.merge(known, 1, Integer::sum);
    known.orphans.stream()
        .filter(orphan -> orphan.heldBy(session))
        .findFirst()
        .ifPresent(this::dropOrphan);
  }

  /** Forgets what a router had from a former owner. */
  void disinherit(Session session) {
    session.inherited.forEach((upstream, count) -> upstream.inherited -= count);
    session.inherited.clear();
  }

  /** Returns an upstream that counts what runs on it and gets no more. */
  private UpstreamSlots leavingUpstream(UpstreamId id) {
    UpstreamSlots made = new UpstreamSlots(UpstreamSpec.unstated(id), bearing);
    made.leaving = true;
    return made;
  }

  private Slot insert(SlotId id, long nowNanos, Session session, UpstreamSlots upstream) {
    Slot slot = new Slot(id, session, upstream, grants, nowNanos);
    slots.put(id, slot);
    upstream.slots.add(slot);
    session.holds(slot);
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

  /** Takes in what an unused slot is used for. */
  void use(long nowNanos, Slot slot, SlotRequest request, Usage usage) {
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

  /** Takes a slot back. */
  void release(long nowNanos, Slot slot) {
    boolean unused = slot.idle();
    if (!unused) {
      slot.upstream.evidence.ended(slot.startedAtNanos, nowNanos);
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
   * Keeps counting a slot whose session is lost until its work is known to have ended.
   *
   * @param sinceNanos when its router can no longer replace the work by other work
   * @param untilNanos when it counts no longer in any case
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

  /** Stops counting a slot of a lost session. */
  void dropOrphan(Slot slot) {
    slot.upstream.orphans.remove(slot);
    change(slot.upstream, () -> slot.upstream.granted--);
  }

  /** Stops counting what routers ran in lost sessions, because all now tell what they run. */
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
    ordered.remove(slot);
    if (slot.policy != null) {
      victims.remove(slot);
    }
    if (slot.session != null) {
      slot.session.drops(slot);
      slot.session.idle -= slot.idle() ? 1 : 0;
    }
  }

  /** Returns the slot to preempt first for a tier, if any holds work of a lower one. */
  Optional<Slot> victimFor(Tier tier) {
    if (victims.isEmpty()) {
      return Optional.empty();
    }
    Slot first = victims.first();
    return tier.isHigherThan(first.policy.tier()) ? Optional.of(first) : Optional.empty();
  }

  /** Takes in that a slot was ordered to be preempted. */
  void order(Slot slot) {
    victims.remove(slot);
    slot.preemptOrdered = true;
    ordered.add(slot);
  }

  /** Returns whether a slot with work of a lower tier is on its way back. */
  boolean orderedBelow(Tier tier) {
    for (Slot slot : ordered) {
      if (tier.isHigherThan(slot.policy.tier())) {
        return true;
      }
    }
    return false;
  }
}
