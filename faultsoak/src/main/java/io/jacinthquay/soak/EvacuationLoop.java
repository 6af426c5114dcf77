package io.jacinthquay.soak;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** An operator that evacuates one failure domain after another, each for some seconds. */
final class EvacuationLoop implements Runnable {
  private static final String PATH = "/v1/evacuation/";
  private static final int MAX_PAUSE_MILLIS = 3_000;

  /** Longer than the 5 s in which the system has to follow an evacuation. */
  private static final int MIN_OUT_MILLIS = 6_000;

  private static final int MAX_OUT_MILLIS = 11_000;
  private static final long POLL_MILLIS = 50;

  private final OperatorCalls calls;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier keepRunning;
  private volatile String evacuatedDomain = "";

  EvacuationLoop(
      OperatorCalls calls, History history, SplittableRandom random, BooleanSupplier keepRunning) {
    this.calls = calls;
    this.history = history;
    this.random = random;
    this.keepRunning = keepRunning;
  }

  @Override
  public void run() {
    try {
      while (keepRunning.getAsBoolean()) {
        pause(random.nextInt(MAX_PAUSE_MILLIS));
        evacuatedDomain = Deployment.domain(random.nextInt(Deployment.DOMAINS));
        history.add(new History.DomainChange(System.nanoTime(), evacuatedDomain, true));
        if (calls.sendUntilAcknowledged("POST", PATH + evacuatedDomain, "", keepRunning)) {
          history.add(new History.Evacuation(System.nanoTime(), evacuatedDomain, true));
          pause(random.nextInt(MIN_OUT_MILLIS, MAX_OUT_MILLIS));
        }
        var unused = restoreDomain(keepRunning);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pause(long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (keepRunning.getAsBoolean() && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  /**
   * Returns the failure domain that is out, or may be, to service.
   *
   * @return whether this was acknowledged while {@code keepTrying} returned true; true if no domain
   *     is out
   */
  boolean restoreDomain(BooleanSupplier keepTrying) throws InterruptedException {
    if (evacuatedDomain.isEmpty()) {
      return true;
    }
    history.add(new History.Evacuation(System.nanoTime(), evacuatedDomain, false));
    boolean acknowledged =
        calls.sendUntilAcknowledged("DELETE", PATH + evacuatedDomain, "", keepTrying);
    if (acknowledged) {
      history.add(new History.DomainChange(System.nanoTime(), evacuatedDomain, false));
      evacuatedDomain = "";
    }
    return acknowledged;
  }
}
