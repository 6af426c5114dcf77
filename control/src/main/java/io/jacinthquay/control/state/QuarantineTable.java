package io.jacinthquay.control.state;

import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The quarantined parts of prompts. Immutable.
 *
 * @param parts the quarantined parts by id
 * @param index log index of the last change, 0 if there was none
 */
public record QuarantineTable(Map<PartId, QuarantinedPart> parts, long index) {
  /** The table before the first change. */
  public static final QuarantineTable EMPTY = new QuarantineTable(LinkedHashMap.empty(), 0);

  /**
   * Maximum number of parts. A full table drops the part whose trial is overdue for longest, and
   * takes no further part while no trial is overdue.
   */
  public static final int MAX_PARTS = 256;

  /** Returns a table with the given parts. */
  static QuarantineTable of(List<QuarantinedPart> parts, long index) {
    Map<PartId, QuarantinedPart> byId = LinkedHashMap.empty();
    for (QuarantinedPart part : parts) {
      byId = byId.put(part.part(), part);
    }
    return new QuarantineTable(byId, index);
  }

  /** Returns the entry of a part. */
  public Optional<QuarantinedPart> get(PartId part) {
    return parts.get(part).toJavaOptional();
  }

  /** Returns all entries. */
  public List<QuarantinedPart> entries() {
    return parts.values().toJavaList();
  }

  QuarantineTable with(QuarantinedPart part, long newIndex) {
    Map<PartId, QuarantinedPart> kept = parts;
    if (!parts.containsKey(part.part()) && parts.size() >= MAX_PARTS) {
      QuarantinedPart oldest =
          parts.values().minBy(Comparator.comparingLong(QuarantinedPart::retryAtMillis)).get();
      if (oldest.retryAtMillis() > part.sinceMillis()) {
        return this;
      }
      kept = parts.remove(oldest.part());
    }
    return new QuarantineTable(kept.put(part.part(), part), newIndex);
  }

  QuarantineTable without(PartId part, long newIndex) {
    return parts.containsKey(part) ? new QuarantineTable(parts.remove(part), newIndex) : this;
  }
}
