package io.jacinthquay.control.state;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import java.util.Optional;

/**
 * The replicated state at one log index. Immutable.
 *
 * @param version number of the document, -1 if there is none
 * @param document the document as the operator sent it
 * @param closedDomains failure domains that get nothing new
 * @param closedIndex log index of the last change of the closed domains, 0 if there was none
 * @param sealed counts that are fixed, by window and customer
 */
@SuppressWarnings("ArrayRecordComponent")
public record ControlTables(
    long version,
    Optional<byte[]> document,
    TreeSet<String> closedDomains,
    long closedIndex,
    TreeMap<Long, Map<String, Long>> sealed) {
  /** The state before the first change. */
  public static final ControlTables EMPTY =
      new ControlTables(-1, Optional.empty(), TreeSet.empty(), 0, TreeMap.empty());

  /** Sealed windows that are kept, so that a new leader repeats a report exactly. */
  private static final int KEPT_WINDOWS = 24;

  ControlTables withDocument(long newVersion, byte[] content) {
    return newVersion <= version
        ? this
        : new ControlTables(newVersion, Optional.of(content), closedDomains, closedIndex, sealed);
  }

  ControlTables withDomain(String domain, boolean closed, long index) {
    return closed == closedDomains.contains(domain)
        ? this
        : new ControlTables(
            version,
            document,
            closed ? closedDomains.add(domain) : closedDomains.remove(domain),
            index,
            sealed);
  }

  /** The first counts of a window stay. */
  ControlTables withSealed(long window, java.util.Map<String, Long> counts) {
    if (sealed.containsKey(window) || (sealed.size() > 0 && window < sealed.head()._1)) {
      return this;
    }
    TreeMap<Long, Map<String, Long>> next = sealed.put(window, HashMap.ofAll(counts));
    while (next.size() > KEPT_WINDOWS) {
      next = next.remove(next.head()._1);
    }
    return new ControlTables(version, document, closedDomains, closedIndex, next);
  }
}
