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

/** Calls of one operator, each to a control VM that is drawn. */
final class OperatorCalls {
  private static final Logger log = LogManager.getLogger();
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final long RETRY_MILLIS = 100;

  private final List<InetSocketAddress> controls;
  private final SplittableRandom random;
  private final JsonHttpClient http;

  OperatorCalls(List<InetSocketAddress> controls, SplittableRandom random, JsonHttpClient http) {
    this.controls = List.copyOf(controls);
    this.random = random;
    this.http = http;
  }

  Either<Failure, HttpResponse> once(String method, String path, String body) {
    InetSocketAddress control = controls.get(random.nextInt(controls.size()));
    return http.call(new HttpCall(method, control, path, List.of(), body, TIMEOUT, () -> true));
  }

  /**
   * Sends an order again and again.
   *
   * @return whether it was acknowledged before there was no reason to go on
   */
  boolean untilAcknowledged(String method, String path, String body, BooleanSupplier wanted)
      throws InterruptedException {
    while (wanted.getAsBoolean()) {
      Either<Failure, HttpResponse> answer = once(method, path, body);
      if (answer.isRight() && answer.get().isSuccess()) {
        return true;
      }
      log.debug("{} {} was not taken: {}", method, path, answer);
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
    return false;
  }
}
