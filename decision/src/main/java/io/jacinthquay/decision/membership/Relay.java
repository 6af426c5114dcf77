package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A member that exchanges summaries with other failure domains.
 *
 * @param id the member
 * @param address where it is reached
 */
public record Relay(VmId id, String address) {
  /**
   * Checks that the parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Relay {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
  }
}
