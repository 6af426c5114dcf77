package io.jacinthquay.decision.membership;

import java.util.List;

/**
 * The updates that a message carries.
 *
 * @param members reports about members
 * @param loads load updates of members of the same failure domain
 * @param summaries summaries of other failure domains
 */
public record GossipPayload(
    List<Member> members, List<LoadUpdate> loads, List<DomainSummary> summaries) {
  /** A payload without updates. */
  public static final GossipPayload EMPTY = new GossipPayload(List.of(), List.of(), List.of());

  /** Copies the lists. */
  public GossipPayload {
    members = List.copyOf(members);
    loads = List.copyOf(loads);
    summaries = List.copyOf(summaries);
  }
}
