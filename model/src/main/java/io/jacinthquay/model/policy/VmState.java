package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The operational state of a VM or an upstream.
 *
 * @param leaving whether it is being drained and receives no new requests
 */
public record VmState(boolean leaving) {
  /** Returns a state. */
  @JsonCreator
  public VmState(@JsonProperty(value = "leaving", required = true) boolean leaving) {
    this.leaving = leaving;
  }
}
