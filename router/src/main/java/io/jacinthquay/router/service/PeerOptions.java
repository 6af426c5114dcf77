package io.jacinthquay.router.service;

import io.jacinthquay.decision.membership.Candidate;
import java.util.List;
import java.util.Objects;

/**
 * Addresses by which a router and its peers reach each other.
 *
 * @param address the address of this router for its peers, as {@code ip:port}; empty for a router
 *     without peers
 * @param configuredPeers peers that the settings name
 */
public record PeerOptions(String address, List<Candidate> configuredPeers) {
  /** Options of a router without peers. */
  public static final PeerOptions NONE = new PeerOptions("", List.of());

  /**
   * Copies the list.
   *
   * @throws NullPointerException if a component is null
   */
  public PeerOptions {
    Objects.requireNonNull(address, "address");
    configuredPeers = List.copyOf(configuredPeers);
  }
}
