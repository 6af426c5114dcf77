package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * Names one granted slot.
 *
 * @param owner the router that granted it
 * @param incarnation the start of that router, so that a restart never reuses an id
 * @param number counts the grants of one owner
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
