package io.jacinthquay.soak;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** An operator who takes one failure domain after the other out, for some seconds each. */
final class EvacuationLoop implements Runnable {
  private static final String PATH = "/v1/evacuation/";
  private static final int MOST_PAUSE_MILLIS = 3_000;

  /** Longer than the system has to obey. */
  private static final int LEAST_MILLIS = 6_000;

  private static final int MOST_MILLIS = 11_000;
  private static final long LOOK_MILLIS = 50;

  private final OperatorCalls calls;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier goesOn;
  private volatile String out = "";

  EvacuationLoop(
      OperatorCalls calls, History history, SplittableRandom random, BooleanSupplier goesOn) {
    this.calls = calls;
    this.history = history;
    this.random = random;
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    try {
      while (goesOn.getAsBoolean()) {
        rest(random.nextInt(MOST_PAUSE_MILLIS));
        out = Deployment.domain(random.nextInt(Deployment.DOMAINS));
        if (calls.untilAcknowledged("POST", PATH + out, "", goesOn)) {
          history.add(new History.Evacuation(System.nanoTime(), out, true));
          rest(random.nextInt(LEAST_MILLIS, MOST_MILLIS));
        }
        var unused = takeBack(goesOn);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void rest(long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (goesOn.getAsBoolean() && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
    }
  }

  /**
   * Takes the failure domain that is out, or may be, back into use.
   *
   * @return whether that was acknowledged before there was no reason to go on
   */
  boolean takeBack(BooleanSupplier wanted) throws InterruptedException {
    if (out.isEmpty()) {
      return true;
    }
    history.add(new History.Evacuation(System.nanoTime(), out, false));
    boolean taken = calls.untilAcknowledged("DELETE", PATH + out, "", wanted);
    if (taken) {
      out = "";
    }
    return taken;
  }
}
