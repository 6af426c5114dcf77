package io.jacinthquay.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.model.Failure;
import io.jacinthquay.runtime.http.HttpAnswer;
import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** An operator who changes the document, resends what got no answer, and reads it back. */
final class OperatorLoop implements Runnable {
  private static final Logger log = LogManager.getLogger();
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PATH = "/v1/configuration";
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int MOST_PAUSE_MILLIS = 1_500;
  private static final long RETRY_MILLIS = 100;

  private final List<InetSocketAddress> controls;
  private final History history;
  private final SplittableRandom random;
  private final BooleanSupplier goesOn;
  private final JsonHttpClient http;
  private long version;

  OperatorLoop(
      List<InetSocketAddress> controls,
      History history,
      SplittableRandom random,
      BooleanSupplier goesOn,
      JsonHttpClient http) {
    this.controls = List.copyOf(controls);
    this.history = history;
    this.random = random;
    this.goesOn = goesOn;
    this.http = http;
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
    String document = Documents.version(version);
    while (wanted.getAsBoolean()) {
      Either<Failure, HttpAnswer> answer = http.call(call("PUT", document));
      if (answer.isRight() && answer.get().isSuccess()) {
        history.add(new History.Acknowledged(System.nanoTime(), version));
        return true;
      }
      log.debug("version {} was not taken: {}", version, answer);
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
    return false;
  }

  /** Reads the document at any control VM; returns its number if one is told. */
  OptionalLong read() {
    long asked = System.nanoTime();
    Either<Failure, HttpAnswer> answer = http.call(call("GET", ""));
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

  private HttpCall call(String method, String body) {
    InetSocketAddress control = controls.get(random.nextInt(controls.size()));
    return new HttpCall(method, control, PATH, List.of(), body, TIMEOUT, () -> true);
  }
}
