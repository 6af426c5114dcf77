package io.jacinthquay.decision.membership;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A VM that may be a member, from the settings or the platform's list; says nothing of its life.
 *
 * @param id the VM
 * @param domain its failure domain
 * @param address where it would be reached
 * @param leaving whether the list marks it as leaving
 */
public record Candidate(VmId id, DomainId domain, String address, boolean leaving) {
  /**
   * Checks that the parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Candidate {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
  }
}
