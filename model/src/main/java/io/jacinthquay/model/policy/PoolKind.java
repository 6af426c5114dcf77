package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of upstream. */
public enum PoolKind {
  /** Model engines, which the controllers order up and down. */
  @JsonProperty("engine")
  ENGINE,
  /** Plain services beside the engines. */
  @JsonProperty("plain")
  PLAIN
}
