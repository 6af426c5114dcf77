package io.jacinthquay.decision.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** The parts on which answers were under way most recently, up to a limit. Not thread-safe. */
public final class EstablishedParts {
  /** Maximum number of parts; the one that was recorded longest ago is dropped. */
  static final int MAX_PARTS = 4_096;

  private final Map<PartId, Long> times =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartId, Long> eldest) {
          return size() > MAX_PARTS;
        }
      };

  /**
   * Records that an answer on a part was under way.
   *
   * @param now on the monotonic clock, in nanoseconds
   */
  public void record(PartId part, long now) {
    times.remove(part);
    times.put(part, now);
  }

  /** Returns when an answer on a part was last under way; empty if that isn't known. */
  public OptionalLong lastNanos(PartId part) {
    Long time = times.get(part);
    return time == null ? OptionalLong.empty() : OptionalLong.of(time);
  }
}
