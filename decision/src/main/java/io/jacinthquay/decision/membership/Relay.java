package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A member that exchanges summaries with other failure domains.
 *
 * @param id the member
 * @param address the address at which it is reached
 */
public record Relay(VmId id, String address) {
  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public Relay {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
  }
}
