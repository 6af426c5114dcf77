package io.jacinthquay.soak;

import io.jacinthquay.model.Failure;
import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Sends the calls of one operator, each to a random control VM. */
final class OperatorCalls {
  private static final Logger log = LogManager.getLogger();
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long RETRY_INTERVAL_MILLIS = 100;

  private final List<InetSocketAddress> controls;
  private final SplittableRandom random;
  private final JsonHttpClient http;

  OperatorCalls(List<InetSocketAddress> controls, SplittableRandom random, JsonHttpClient http) {
    this.controls = List.copyOf(controls);
    this.random = random;
    this.http = http;
  }

  /** Sends a call once. */
  Either<Failure, HttpResponse> send(String method, String path, String body) {
    return send(random.nextInt(controls.size()), method, path, body);
  }

  /** Sends a call once to the control VM with a number. */
  Either<Failure, HttpResponse> send(int number, String method, String path, String body) {
    InetSocketAddress control = controls.get(number);
    return http.call(new HttpCall(method, control, path, List.of(), body, TIMEOUT, () -> true));
  }

  /**
   * Sends a call and retries it until it is acknowledged.
   *
   * @return whether it was acknowledged while {@code keepTrying} returned true
   */
  boolean sendUntilAcknowledged(String method, String path, String body, BooleanSupplier keepTrying)
      throws InterruptedException {
    while (keepTrying.getAsBoolean()) {
      Either<Failure, HttpResponse> response = send(method, path, body);
      if (response.isRight() && response.get().isSuccess()) {
        return true;
      }
      log.debug("{} {} was not acknowledged: {}", method, path, response);
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
    }
    return false;
  }
}
