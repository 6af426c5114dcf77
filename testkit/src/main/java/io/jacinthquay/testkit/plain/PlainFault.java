package io.jacinthquay.testkit.plain;

/** What goes wrong at a fake plain service. */
public enum PlainFault {
  /** Nothing. */
  NONE,
  /** The connection closes after the request ran and before the answer. */
  DIE_BEFORE_ANSWER,
  /** The connection closes within the answer. */
  DIE_WITHIN_ANSWER,
  /** The answer names another request. */
  CROSSED,
  /** The service refuses and proves that the request did not run. */
  REFUSE,
  /** The request runs and no answer comes. */
  STALL
}
