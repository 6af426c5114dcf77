package io.jacinthquay.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.model.Failure;
import io.jacinthquay.runtime.http.HttpResponse;
import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** An operator who changes the document, resends what got no answer, and reads it back. */
final class OperatorLoop implements Runnable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PATH = "/v1/configuration";
  private static final int MOST_PAUSE_MILLIS = 1_500;

  private final OperatorCalls calls;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier goesOn;
  private long version;

  OperatorLoop(
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
        change(goesOn);
        for (int i = random.nextInt(4); i > 0; i--) {
          var unused = read();
          TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Puts the next document into force, at whatever control VM takes it.
   *
   * @return whether one acknowledged it before there was no reason to go on
   */
  boolean change(BooleanSupplier wanted) throws InterruptedException {
    version += 1 + random.nextInt(3);
    history.add(new History.Proposed(System.nanoTime(), version));
    boolean taken = calls.untilAcknowledged("PUT", PATH, Documents.version(version), wanted);
    if (taken) {
      history.add(new History.Acknowledged(System.nanoTime(), version));
    }
    return taken;
  }

  /** Reads the document at any control VM; returns its number if one is told. */
  OptionalLong read() {
    long asked = System.nanoTime();
    Either<Failure, HttpResponse> answer = calls.once("GET", PATH, "");
    if (answer.isLeft() || !answer.get().isSuccess()) {
      return OptionalLong.empty();
    }
    try {
      long found = MAPPER.readTree(answer.get().body()).path("version").asLong(-1);
      history.add(new History.Read(asked, found));
      return OptionalLong.of(found);
    } catch (JsonProcessingException e) {
      history.addStray("the document can't be read: " + e.getOriginalMessage());
      return OptionalLong.empty();
    }
  }
}
