package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.BearingLimit;
import io.jacinthquay.decision.bearing.BearingOptions;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The slots of one upstream: its limit, the part of it that may be granted, and what is granted.
 */
final class UpstreamSlots {
  final UpstreamId id;
  final BearingLimit bearing;
  final boolean reportsLoad;
  final Set<Slot> orphans = new LinkedHashSet<>();
  final Set<Slot> slots = new LinkedHashSet<>();
  final LoadEvidence evidence = new LoadEvidence();
  boolean leaving;

  /** Age of the youngest hint that was taken in. */
  long hintAgeNanos = Long.MAX_VALUE;

  /** Slots granted, those of lost sessions included. */
  int granted;

  /** Slots that routers now in session brought from a former owner. */
  int inherited;

  /** Slots granted and not in use. */
  int idle;

  /** The part of the limit that the vouching routers stand for. */
  private int share;

  /** Work of routers out of session, beyond the orphans; the whole limit while unknown. */
  private int foreign;

  private int loadAtInsert;

  UpstreamSlots(UpstreamSpec spec, BearingOptions options) {
    this.id = spec.upstream();
    this.reportsLoad = spec.reportsLoad();
    this.bearing = new BearingLimit(spec, options);
  }

  /** Returns how many slots may be granted in all. */
  int usable() {
    return leaving ? 0 : Math.max(0, Math.min(share, bearing.limit() - foreign));
  }

  /** Returns how many more slots may be granted now. */
  int free() {
    return Math.max(0, usable() - granted);
  }

  /** Returns the place in the order of load that was taken at the last insertion. */
  int loadAtInsert() {
    return loadAtInsert;
  }

  /** Notes the load, in thousandths of what may be granted, for the order of upstreams. */
  void noteLoad() {
    int usable = usable();
    loadAtInsert = usable == 0 ? Integer.MAX_VALUE : granted * 1000 / usable;
  }

  void share(int units) {
    share = units;
  }

  int foreign() {
    return foreign;
  }

  void foreign(int load) {
    foreign = load;
  }

  /** Removes and returns the slots of lost sessions whose work is known to have ended. */
  ArrayDeque<Slot> endedOrphans(long nowNanos) {
    ArrayDeque<Slot> ended = new ArrayDeque<>();
    int left = orphans.size();
    for (Iterator<Slot> all = orphans.iterator(); all.hasNext(); ) {
      Slot slot = all.next();
      int strangers = evidence.mostSince(slot.orphanSinceNanos);
      boolean surplus = strangers >= 0 && left > strangers;
      if (surplus || nowNanos >= slot.orphanUntilNanos) {
        all.remove();
        ended.add(slot);
        left--;
      }
    }
    return ended;
  }
}
