package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.ConcurrencyLimit;
import io.jacinthquay.decision.bearing.ConcurrencyLimitOptions;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The slots of one upstream: its concurrency limit, the part that may be granted and the slots
 * granted.
 */
final class UpstreamSlots {
  final UpstreamId id;
  final ConcurrencyLimit limiter;
  final boolean reportsLoad;
  final Set<Slot> orphans = new LinkedHashSet<>();
  final Set<Slot> slots = new LinkedHashSet<>();
  final UnknownLoad unknownLoad = new UnknownLoad();
  boolean leaving;

  /** Age of the most recent limit hint that was applied. */
  long hintAgeNanos = Long.MAX_VALUE;

  /** Number of granted slots, including orphans. */
  int granted;

  /** Number of slots that routers in session got from a former owner. */
  int inherited;

  /** Number of granted slots that are not in use. */
  int idle;

  /** The part of the limit that belongs to the routers whose share this owner may grant. */
  private int share;

  /** Upper bound of the work of routers out of session that is not among the orphans. */
  private int unaccounted;

  private int loadAtInsert;

  UpstreamSlots(UpstreamSpec spec, ConcurrencyLimitOptions options) {
    this.id = spec.upstream();
    this.reportsLoad = spec.reportsLoad();
    this.limiter = new ConcurrencyLimit(spec, options);
  }

  /** Returns how many slots may be granted in total. */
  int usable() {
    return leaving ? 0 : Math.max(0, Math.min(share, limiter.limit() - unaccounted));
  }

  /** Returns how many more slots may be granted now. */
  int free() {
    return Math.max(0, usable() - granted);
  }

  /** Returns the load as of the last {@link #updateLoad}, which sorts the upstreams. */
  int loadAtInsert() {
    return loadAtInsert;
  }

  /** Updates the load that sorts the upstreams, in thousandths of the usable slots. */
  void updateLoad() {
    int usable = usable();
    loadAtInsert = usable == 0 ? Integer.MAX_VALUE : granted * 1000 / usable;
  }

  void setShare(int units) {
    share = units;
  }

  int unaccounted() {
    return unaccounted;
  }

  void setUnaccounted(int requests) {
    unaccounted = requests;
  }

  /** Removes and returns the orphans whose work is known to have ended. */
  ArrayDeque<Slot> endedOrphans(long nowNanos) {
    ArrayDeque<Slot> ended = new ArrayDeque<>();
    int remaining = orphans.size();
    for (Iterator<Slot> iterator = orphans.iterator(); iterator.hasNext(); ) {
      Slot slot = iterator.next();
      int unknown = unknownLoad.upperBoundSince(slot.orphanSinceNanos);
      boolean surplus = unknown >= 0 && remaining > unknown;
      if (surplus || nowNanos >= slot.orphanUntilNanos) {
        iterator.remove();
        ended.add(slot);
        remaining--;
      }
    }
    return ended;
  }
}
