package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * The id of a granted slot.
 *
 * @param owner the router that granted it
 * @param incarnation the incarnation number of the owner, so that a restart never reuses an id
 * @param number sequence number of the grant
 */
public record SlotId(VmId owner, long incarnation, long number) {
  /**
   * Checks that the owner is present.
   *
   * @throws NullPointerException if {@code owner} is missing
   */
  public SlotId {
    Objects.requireNonNull(owner, "owner");
  }
}
