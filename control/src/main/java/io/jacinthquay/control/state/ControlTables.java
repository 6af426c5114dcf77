package io.jacinthquay.control.state;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import java.util.Optional;

/**
 * The replicated state at one log index. Immutable.
 *
 * @param version version of the document in force, -1 if there is none
 * @param document the bytes of the document as the operator sent them
 * @param closedDomains failure domains that get no new requests
 * @param closedDomainsIndex log index of the last change of the closed domains, 0 if there was none
 * @param sealedCounts final request counts, by window and customer
 * @param quarantine parts of prompts with which requests are rejected
 * @param poolVersions versions of the software of each pool
 */
@SuppressWarnings("ArrayRecordComponent")
public record ControlTables(
    long version,
    Optional<byte[]> document,
    TreeSet<String> closedDomains,
    long closedDomainsIndex,
    TreeMap<Long, Map<String, Long>> sealedCounts,
    QuarantineTable quarantine,
    PoolVersions poolVersions) {
  /** The state before the first change. */
  public static final ControlTables EMPTY =
      new ControlTables(
          -1,
          Optional.empty(),
          TreeSet.empty(),
          0,
          TreeMap.empty(),
          QuarantineTable.EMPTY,
          PoolVersions.EMPTY);

  /** Number of sealed windows that are kept, so that a new leader repeats a report exactly. */
  private static final int MAX_SEALED_WINDOWS = 24;

  ControlTables withDocument(long newVersion, byte[] content) {
    return newVersion <= version
        ? this
        : new ControlTables(
            newVersion,
            Optional.of(content),
            closedDomains,
            closedDomainsIndex,
            sealedCounts,
            quarantine,
            poolVersions);
  }

  ControlTables withDomain(String domain, boolean closed, long index) {
    return closed == closedDomains.contains(domain)
        ? this
        : new ControlTables(
            version,
            document,
            closed ? closedDomains.add(domain) : closedDomains.remove(domain),
            index,
            sealedCounts,
            quarantine,
            poolVersions);
  }

  /** Adds the counts of a window, unless it is already sealed or older than all kept windows. */
  ControlTables withSealed(long window, java.util.Map<String, Long> counts) {
    if (sealedCounts.containsKey(window)
        || (sealedCounts.size() > 0 && window < sealedCounts.head()._1)) {
      return this;
    }
    TreeMap<Long, Map<String, Long>> newCounts = sealedCounts.put(window, HashMap.ofAll(counts));
    while (newCounts.size() > MAX_SEALED_WINDOWS) {
      newCounts = newCounts.remove(newCounts.head()._1);
    }
    return new ControlTables(
        version, document, closedDomains, closedDomainsIndex, newCounts, quarantine, poolVersions);
  }

  ControlTables withQuarantine(QuarantineTable newQuarantine) {
    return newQuarantine == quarantine
        ? this
        : new ControlTables(
            version,
            document,
            closedDomains,
            closedDomainsIndex,
            sealedCounts,
            newQuarantine,
            poolVersions);
  }

  ControlTables withPoolVersions(PoolVersions newVersions) {
    return newVersions == poolVersions
        ? this
        : new ControlTables(
            version,
            document,
            closedDomains,
            closedDomainsIndex,
            sealedCounts,
            quarantine,
            newVersions);
  }
}
