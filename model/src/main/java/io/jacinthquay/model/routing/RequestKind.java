package io.jacinthquay.model.routing;

/** What may be repeated about the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs once at most. */
  NON_IDEMPOTENT,
  /** Answered by a stream of events; runs once at most unless the route lets it be resumed. */
  STREAMING
}
