package io.jacinthquay.router.service.report;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.ResponseHead;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Serves the metrics of a process as Prometheus text on every path. */
public final class MetricsIntake implements RequestIntake {
  private static final RequestId PAGE = new RequestId("metrics");
  private static final int OK = 200;

  private final MetricsPage page;

  /** Returns an intake that serves the metrics of a registry. */
  public MetricsIntake(MetricRegistry registry) {
    page = new MetricsPage(registry);
  }

  @Override
  public RequestId nextId() {
    return PAGE;
  }

  @Override
  public Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head) {
    return Either.right((body, caller) -> answer(OK, page.prometheus(), caller));
  }

  @Override
  public void refuse(RequestId id, RequestHead head, Failure failure, Caller caller) {
    answer(failure.code().httpStatus(), failure.detail(), caller);
  }

  private static void answer(int status, String text, Caller caller) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    Header type = new Header("Content-Type", "text/plain");
    caller.sendResponse(new ResponseHead(status, List.of(type)), bytes);
  }
}
