package io.jacinthquay.router.service.report;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.slo.BurnWindow;
import io.jacinthquay.decision.slo.SloKey;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouterMetricsTest {
  private static final ClassName QUICK = new ClassName("quick");
  private static final CustomerId ATLAS = new CustomerId("atlas");
  private static final ClassPolicy TARGET =
      new ClassPolicy(QUICK, new Tier(0), 350, 41, 0.95, false, 5_000);

  private static RequestRecord answer(
      Optional<ResultCode> code, long firstMillis, boolean timed, long wholeMillis, long tokens) {
    return new RequestRecord(
        new RequestId("r"),
        "POST",
        "/v1/completions",
        Optional.of(ATLAS),
        Optional.of(QUICK),
        "mender",
        Optional.empty(),
        1,
        code,
        Outcome.RAN,
        0,
        TimeUnit.MILLISECONDS.toNanos(firstMillis),
        timed,
        TimeUnit.MILLISECONDS.toNanos(wholeMillis),
        10,
        tokens);
  }

  /** The target of an answer that is not streamed includes the time of its tokens. */
  @ParameterizedTest
  @CsvSource({
    "350,true,350,1,1",
    "351,true,351,1,0",
    "100,true,1330,31,1",
    "100,true,1340,31,0",
    "1330,false,1330,24,1",
    "1335,false,1335,24,0",
    "360,false,360,24,1"
  })
  void targetDependsOnWhetherTheAnswerIsStreamed(
      long firstMillis, boolean timed, long wholeMillis, long tokens, long attained) {
    assertEquals(
        attained, attained(answer(Optional.empty(), firstMillis, timed, wholeMillis, tokens)));
  }

  @ParameterizedTest
  @CsvSource({"SHED_OVERLOAD,1", "KEY_UNKNOWN,0", "BAD_REQUEST,0", "UPSTREAM_BROKE,1"})
  void callerErrorsDoNotCountAsMissed(ResultCode code, long missed) {
    RouterMetrics metrics = metrics();
    metrics.report(answer(Optional.of(code), 1, true, 1, 1));
    SloKey key = new SloKey(QUICK, ATLAS);
    assertEquals(missed, metrics.slo().tally(key, BurnWindow.THREE_DAYS).missed());
  }

  private static RouterMetrics metrics() {
    return new RouterMetrics(new MetricRegistry(), name -> Optional.of(TARGET));
  }

  private static long attained(RequestRecord entry) {
    RouterMetrics metrics = metrics();
    metrics.report(entry);
    return metrics.slo().tally(new SloKey(QUICK, ATLAS), BurnWindow.THREE_DAYS).attained();
  }
}
