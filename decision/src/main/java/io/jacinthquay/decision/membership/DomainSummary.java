package io.jacinthquay.decision.membership;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.List;
import java.util.Objects;

/**
 * A summary of one failure domain that is sent to the others.
 *
 * @param domain the failure domain
 * @param origin the relay that created the summary
 * @param incarnation the incarnation of that relay
 * @param version sequence number of the summary within that incarnation
 * @param ageMillis age of the summary when the message is sent, in milliseconds, 0 or more
 * @param live number of live routers
 * @param load their total load
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
   * @throws NullPointerException if a component is null
   */
  public DomainSummary {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(origin, "origin");
    Objects.requireNonNull(load, "load");
    relays = List.copyOf(relays);
  }

  /** Returns whether this summary replaces one of the same origin, which may be null. */
  boolean replaces(DomainSummary previous) {
    if (previous == null || incarnation != previous.incarnation) {
      return previous == null || incarnation > previous.incarnation;
    }
    return version > previous.version;
  }

  DomainSummary withAge(long newAgeMillis) {
    return new DomainSummary(
        domain, origin, incarnation, version, newAgeMillis, live, load, relays);
  }
}
