package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A kind of upstream. */
public enum PoolKind {
  /** Model engines, whose number the controllers scale. */
  @JsonProperty("engine")
  ENGINE,
  /** Plain HTTP services, which are not model engines. */
  @JsonProperty("plain")
  PLAIN
}
