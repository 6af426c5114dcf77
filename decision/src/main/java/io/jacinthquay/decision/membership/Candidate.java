package io.jacinthquay.decision.membership;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A VM that may be a member, from the settings or the platform's list. It may or may not be alive.
 *
 * @param id the VM
 * @param domain its failure domain
 * @param address the address at which it would be reached
 * @param leaving whether the list marks it as leaving
 */
public record Candidate(VmId id, DomainId domain, String address, boolean leaving) {
  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public Candidate {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
  }
}
