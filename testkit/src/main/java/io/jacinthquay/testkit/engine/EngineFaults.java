package io.jacinthquay.testkit.engine;

/** Faults of a fake engine, which may be switched while it runs. */
public final class EngineFaults {
  private volatile int dieAfterTokens = -1;
  private volatile int stallAfterTokens = -1;
  private volatile boolean refuse;
  private volatile boolean crossHeads;
  private volatile boolean crossEvents;
  private volatile boolean deaf;

  /** Closes the connection of each answer after some tokens; a negative number switches it off. */
  public EngineFaults dieAfterTokens(int tokens) {
    dieAfterTokens = tokens;
    return this;
  }

  /** Sends no more after some tokens; a negative number switches it off. */
  public EngineFaults stallAfterTokens(int tokens) {
    stallAfterTokens = tokens;
    return this;
  }

  /** Refuses each request and proves that it did not run. */
  public EngineFaults refuse(boolean on) {
    refuse = on;
    return this;
  }

  /** Names another request in the heads of answers. */
  public EngineFaults crossHeads(boolean on) {
    crossHeads = on;
    return this;
  }

  /** Names another request in the events of answers. */
  public EngineFaults crossEvents(boolean on) {
    crossEvents = on;
    return this;
  }

  /** Closes each connection before it answers, although the request runs. */
  public EngineFaults deaf(boolean on) {
    deaf = on;
    return this;
  }

  int dieAfterTokens() {
    return dieAfterTokens;
  }

  int stallAfterTokens() {
    return stallAfterTokens;
  }

  boolean refuses() {
    return refuse;
  }

  boolean crossesHeads() {
    return crossHeads;
  }

  boolean crossesEvents() {
    return crossEvents;
  }

  boolean isDeaf() {
    return deaf;
  }
}
