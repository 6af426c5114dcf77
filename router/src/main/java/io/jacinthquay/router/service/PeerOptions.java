package io.jacinthquay.router.service;

import io.jacinthquay.decision.membership.Candidate;
import java.util.List;
import java.util.Objects;

/**
 * How a router and others reach each other.
 *
 * @param address where others reach this one, as {@code ip:port}; empty for a router alone
 * @param fixed routers that are known from the settings
 */
public record PeerOptions(String address, List<Candidate> fixed) {
  /** A router that knows no other. */
  public static final PeerOptions NONE = new PeerOptions("", List.of());

  /**
   * Copies the list.
   *
   * @throws NullPointerException if a part is missing
   */
  public PeerOptions {
    Objects.requireNonNull(address, "address");
    fixed = List.copyOf(fixed);
  }
}
