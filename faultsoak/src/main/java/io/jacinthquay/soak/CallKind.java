package io.jacinthquay.soak;

import java.util.Locale;

/** Kinds of request that callers send; each has a route of its own. */
enum CallKind {
  /** May run more than once. */
  SAFE("idempotent", false, 2),
  /** May run once at most. */
  ONCE("non_idempotent", false, 1),
  /** A stream that may run once at most. */
  STREAM("streaming", false, 1),
  /** A stream that another upstream may go on with. */
  RESUME("streaming", true, 2);

  private final String wireKind;
  private final boolean resumes;
  private final int mostRuns;

  CallKind(String wireKind, boolean resumes, int mostRuns) {
    this.wireKind = wireKind;
    this.resumes = resumes;
    this.mostRuns = mostRuns;
  }

  /** Returns the kind as operators' documents name it. */
  String wireKind() {
    return wireKind;
  }

  boolean resumes() {
    return resumes;
  }

  /** Returns on how many upstreams a request may run. */
  int mostRuns() {
    return mostRuns;
  }

  boolean isStream() {
    return this == STREAM || this == RESUME;
  }

  /** Returns the beginning of the paths of the route. */
  String prefix() {
    return "/" + name().toLowerCase(Locale.ROOT) + "/";
  }

  /** Returns the kind of the request with a path. */
  static CallKind of(String path) {
    for (CallKind kind : values()) {
      if (path.startsWith(kind.prefix())) {
        return kind;
      }
    }
    throw new IllegalArgumentException("no route has the path " + path);
  }
}
