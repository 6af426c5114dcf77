package io.jacinthquay.decision.membership;

import java.util.List;

/**
 * News that every message carries along.
 *
 * @param members reports on members
 * @param loads loads of members of the same failure domain
 * @param summaries summaries of other failure domains
 */
public record GossipPayload(
    List<Member> members, List<LoadUpdate> loads, List<DomainSummary> summaries) {
  /** No news. */
  public static final GossipPayload EMPTY = new GossipPayload(List.of(), List.of(), List.of());

  /** Copies the lists. */
  public GossipPayload {
    members = List.copyOf(members);
    loads = List.copyOf(loads);
    summaries = List.copyOf(summaries);
  }
}
