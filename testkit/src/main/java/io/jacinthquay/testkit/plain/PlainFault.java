package io.jacinthquay.testkit.plain;

/** Faults of a fake plain service. */
public enum PlainFault {
  /** No fault. */
  NONE,
  /** The connection closes after the request ran and before the response. */
  DIE_BEFORE_ANSWER,
  /** The connection closes within the response body. */
  DIE_WITHIN_ANSWER,
  /** The response carries the id of another request. */
  CROSSED,
  /** The service rejects the request and states that it did not run. */
  REFUSE,
  /** The request runs and gets no response. */
  STALL
}
