package io.jacinthquay.decision.membership;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.List;
import java.util.Objects;

/**
 * What one failure domain tells the others of itself.
 *
 * @param domain the failure domain
 * @param origin the relay that made the summary
 * @param incarnation the incarnation of that relay
 * @param version counts the summaries of that relay
 * @param ageMillis how old the summary is when the message is sent, in milliseconds, 0 or more
 * @param live number of living routers
 * @param load their load together
 * @param relays the relays of the failure domain
 */
public record DomainSummary(
    DomainId domain,
    VmId origin,
    long incarnation,
    long version,
    long ageMillis,
    int live,
    MemberLoad load,
    List<Relay> relays) {
  /**
   * Copies the list.
   *
   * @throws NullPointerException if a part is missing
   */
  public DomainSummary {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(origin, "origin");
    Objects.requireNonNull(load, "load");
    relays = List.copyOf(relays);
  }

  /** Returns whether this summary replaces {@code known} of the same origin, which may be null. */
  boolean replaces(DomainSummary known) {
    if (known == null || incarnation != known.incarnation) {
      return known == null || incarnation > known.incarnation;
    }
    return version > known.version;
  }

  DomainSummary aged(long newAgeMillis) {
    return new DomainSummary(
        domain, origin, incarnation, version, newAgeMillis, live, load, relays);
  }
}
