package io.jacinthquay.router.service.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.service.forward.ManualEventThread;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AttemptTest {
  private static final long STALL_MILLIS = 100;

  private final List<ResultCode> failures = new ArrayList<>();

  /** After a pause of the process, an attempt failed whose answer waited in the socket. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerThatArrivedDuringPauseIsRead(boolean answered) throws InterruptedException {
    ManualEventThread thread = new ManualEventThread();
    Attempt attempt = attempt(thread);
    attempt.start((request, listener) -> null, null);
    Thread.sleep(2 * STALL_MILLIS);
    thread.fireTimers(0);
    if (answered) {
      attempt.onHead(new ResponseHead(200, List.of()));
    }
    thread.fireTimers(0);
    assertEquals(answered ? List.of() : List.of(ResultCode.UPSTREAM_TIMEOUT), failures);
  }

  private Attempt attempt(ManualEventThread thread) {
    AnswerRelay relay =
        (AnswerRelay)
            Proxy.newProxyInstance(
                AnswerRelay.class.getClassLoader(),
                new Class<?>[] {AnswerRelay.class},
                (proxy, method, arguments) ->
                    switch (method.getName()) {
                      case "writable" -> true;
                      case "complete" -> false;
                      case "onHead" -> Optional.empty();
                      default -> null;
                    });
    Attempt.Observer observer =
        new Attempt.Observer() {
          @Override
          public void completed() {}

          @Override
          public void failed(ResultCode code, boolean bytesWritten, boolean refused) {
            failures.add(code);
          }
        };
    return new Attempt(null, relay, thread, observer, true, STALL_MILLIS);
  }
}
