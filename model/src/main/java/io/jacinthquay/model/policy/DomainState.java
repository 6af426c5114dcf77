package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The operational state of a failure domain, set by operators.
 *
 * @param out whether the failure domain is out of service and receives no new requests
 */
public record DomainState(boolean out) {
  /** Returns a state. */
  @JsonCreator
  public DomainState(@JsonProperty(value = "out", required = true) boolean out) {
    this.out = out;
  }
}
