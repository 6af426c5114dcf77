package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Whether operators have taken a failure domain out.
 *
 * @param out whether the failure domain gets no new work
 */
public record DomainState(boolean out) {
  /** Returns a state. */
  @JsonCreator
  public DomainState(@JsonProperty(value = "out", required = true) boolean out) {
    this.out = out;
  }
}
