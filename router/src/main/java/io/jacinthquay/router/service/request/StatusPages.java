package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake.AdmittedHead;
import io.jacinthquay.router.service.report.MetricsPage;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Serves {@code /health}, {@code /ready} and {@code /metrics}, which require no key. */
public final class StatusPages {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final Supplier<Optional<String>> unready;
  private final MetricsPage metrics;

  /**
   * Creates the pages.
   *
   * @param unready returns why the router is not ready; empty if it is ready
   * @param metrics renders the metrics
   */
  public StatusPages(Supplier<Optional<String>> unready, MetricsPage metrics) {
    this.unready = unready;
    this.metrics = metrics;
  }

  Optional<AdmittedHead> page(RequestHead head) {
    if (!head.method().equals("GET")) {
      return Optional.empty();
    }
    return switch (head.path()) {
      case "/health" -> Optional.of((body, caller) -> sendHealth(caller));
      case "/ready" -> Optional.of((body, caller) -> sendReady(caller));
      case "/metrics" -> Optional.of((body, caller) -> sendMetrics(head, caller));
      default -> Optional.empty();
    };
  }

  private static void sendHealth(Caller caller) {
    sendStatus(caller, OK, "{\"status\":\"up\"}");
  }

  private void sendReady(Caller caller) {
    Optional<String> reason = unready.get();
    if (reason.isEmpty()) {
      sendStatus(caller, OK, "{\"ready\":true}");
    } else {
      sendStatus(caller, UNAVAILABLE, "{\"ready\":false,\"reason\":\"" + reason.get() + "\"}");
    }
  }

  private static void sendStatus(Caller caller, int status, String json) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    LocalAnswers.send(caller, status, "application/json", body, List.of());
  }

  private void sendMetrics(RequestHead head, Caller caller) {
    boolean prometheus =
        head.query().contains("format=prometheus")
            || head.header("accept").map(accept -> accept.contains("text/plain")).orElse(false);
    if (prometheus) {
      byte[] body = metrics.prometheus().getBytes(StandardCharsets.UTF_8);
      LocalAnswers.send(caller, OK, "text/plain; version=0.0.4; charset=utf-8", body, List.of());
    } else {
      LocalAnswers.send(caller, OK, "application/json", metrics.json(), List.of());
    }
  }
}
