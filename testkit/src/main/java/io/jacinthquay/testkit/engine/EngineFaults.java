package io.jacinthquay.testkit.engine;

/** Faults of a fake engine, which may be set while it runs. */
public final class EngineFaults {
  private volatile int dieAfterTokens = -1;
  private volatile int stallAfterTokens = -1;
  private volatile boolean rejectRequests;
  private volatile boolean mismatchHeaderIds;
  private volatile boolean mismatchEventIds;
  private volatile boolean dropResponses;

  /** Closes each connection after this many tokens; a negative number clears the fault. */
  public EngineFaults dieAfterTokens(int tokens) {
    dieAfterTokens = tokens;
    return this;
  }

  /** Stops sending after this many tokens; a negative number clears the fault. */
  public EngineFaults stallAfterTokens(int tokens) {
    stallAfterTokens = tokens;
    return this;
  }

  /** Rejects each request with a header that states that it did not run. */
  public EngineFaults rejectRequests(boolean enabled) {
    rejectRequests = enabled;
    return this;
  }

  /** Sends the id of another request in the response headers. */
  public EngineFaults mismatchHeaderIds(boolean enabled) {
    mismatchHeaderIds = enabled;
    return this;
  }

  /** Sends the id of another request in the response events and bodies. */
  public EngineFaults mismatchEventIds(boolean enabled) {
    mismatchEventIds = enabled;
    return this;
  }

  /** Runs each request but closes its connection without a response. */
  public EngineFaults dropResponses(boolean enabled) {
    dropResponses = enabled;
    return this;
  }

  int dieAfterTokens() {
    return dieAfterTokens;
  }

  int stallAfterTokens() {
    return stallAfterTokens;
  }

  boolean rejectsRequests() {
    return rejectRequests;
  }

  boolean mismatchesHeaderIds() {
    return mismatchHeaderIds;
  }

  boolean mismatchesEventIds() {
    return mismatchEventIds;
  }

  boolean dropsResponses() {
    return dropResponses;
  }
}
