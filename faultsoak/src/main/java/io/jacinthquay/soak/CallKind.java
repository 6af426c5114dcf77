package io.jacinthquay.soak;

import java.util.Locale;

/** The kinds of request that callers send; each has its own route. */
enum CallKind {
  /** May run more than once. */
  SAFE("idempotent", false, 2),
  /** May run at most once. */
  ONCE("non_idempotent", false, 1),
  /** A stream that may run at most once. */
  STREAM("streaming", false, 1),
  /** A stream that another upstream may resume. */
  RESUME("streaming", true, 2);

  private final String wireKind;
  private final boolean resumable;
  private final int maxRuns;

  CallKind(String wireKind, boolean resumable, int maxRuns) {
    this.wireKind = wireKind;
    this.resumable = resumable;
    this.maxRuns = maxRuns;
  }

  /** Returns the name of the kind in configuration documents. */
  String wireKind() {
    return wireKind;
  }

  boolean isResumable() {
    return resumable;
  }

  /** Returns the largest number of upstreams on which a request may run. */
  int maxRuns() {
    return maxRuns;
  }

  boolean isStream() {
    return this == STREAM || this == RESUME;
  }

  /** Returns the path prefix of the route. */
  String pathPrefix() {
    return "/" + name().toLowerCase(Locale.ROOT) + "/";
  }

  /**
   * Returns the kind of request with a path.
   *
   * @throws IllegalArgumentException if no route has the path
   */
  static CallKind of(String path) {
    for (CallKind kind : values()) {
      if (path.startsWith(kind.pathPrefix())) {
        return kind;
      }
    }
    throw new IllegalArgumentException("no route has the path " + path);
  }
}
