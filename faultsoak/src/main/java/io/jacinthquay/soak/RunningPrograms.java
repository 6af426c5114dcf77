package io.jacinthquay.soak;

import io.jacinthquay.runtime.http.HttpCall;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.runtime.http.JsonHttpClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The processes of a run, whose routers tell by their metrics which document they follow. */
final class RunningPrograms implements DocumentConvergence.Programs {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private static final Pattern VERSION =
      Pattern.compile("(?m)^jq_forward_document_version ([0-9.E+-]+)$");

  private final SoakSystem system;
  private final JsonHttpClient http;

  RunningPrograms(SoakSystem system, JsonHttpClient http) {
    this.system = system;
    this.http = http;
  }

  @Override
  public List<Long> versionsInForce() {
    return system.routerMetricsAddresses().stream().map(this::versionInForce).toList();
  }

  private long versionInForce(InetSocketAddress metrics) {
    HttpCall call =
        new HttpCall("GET", metrics, "/metrics", List.of(), "", CALL_TIMEOUT, () -> true);
    return http.call(call).fold(failure -> -1L, RunningPrograms::version);
  }

  private static long version(HttpResponse page) {
    Matcher line = VERSION.matcher(page.body());
    return line.find() ? (long) Double.parseDouble(line.group(1)) : -1;
  }

  @Override
  public void killAndStart() throws IOException {
    system.killAll();
    system.start();
  }
}
