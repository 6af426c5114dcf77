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

/** An operator that changes the document, retries changes without a response, and reads it. */
final class OperatorLoop implements Runnable, DocumentConvergence.Operator {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PATH = "/v1/configuration";
  private static final int MAX_PAUSE_MILLIS = 1_500;

  private final OperatorCalls calls;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier keepRunning;
  private long version;

  OperatorLoop(
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
        changeDocument(keepRunning);
        for (int i = random.nextInt(4); i > 0; i--) {
          var unused = readVersion();
          TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends the next version of the document to random control VMs until one acknowledges it.
   *
   * @return whether it was acknowledged while {@code keepTrying} returned true
   */
  @Override
  public boolean changeDocument(BooleanSupplier keepTrying) throws InterruptedException {
    version += 1 + random.nextInt(3);
    history.add(new History.Proposed(System.nanoTime(), version));
    boolean acknowledged =
        calls.sendUntilAcknowledged("PUT", PATH, Documents.document(version), keepTrying);
    if (acknowledged) {
      history.add(new History.Acknowledged(System.nanoTime(), version));
    }
    return acknowledged;
  }

  @Override
  public long version() {
    return version;
  }

  /** Reads the document from a random control VM; returns its version, or empty on failure. */
  @Override
  public OptionalLong readVersion() {
    long requestedNanos = System.nanoTime();
    return version(requestedNanos, calls.send("GET", PATH, ""));
  }

  /** Reads the document from one control VM; returns its version, or empty on failure. */
  OptionalLong readVersion(int control) {
    long requestedNanos = System.nanoTime();
    return version(requestedNanos, calls.send(control, "GET", PATH, ""));
  }

  private OptionalLong version(long requestedNanos, Either<Failure, HttpResponse> response) {
    if (response.isLeft() || !response.get().isSuccess()) {
      return OptionalLong.empty();
    }
    try {
      long documentVersion = MAPPER.readTree(response.get().body()).path("version").asLong(-1);
      history.add(new History.Read(requestedNanos, documentVersion));
      return OptionalLong.of(documentVersion);
    } catch (JsonProcessingException e) {
      history.addUnexpected("the document can't be read: " + e.getOriginalMessage());
      return OptionalLong.empty();
    }
  }
}
