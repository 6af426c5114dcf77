package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Whether a VM or an upstream is leaving.
 *
 * @param leaving whether it gets no new work
 */
public record VmState(boolean leaving) {
  /** Returns a state. */
  @JsonCreator
  public VmState(@JsonProperty(value = "leaving", required = true) boolean leaving) {
    this.leaving = leaving;
  }
}
