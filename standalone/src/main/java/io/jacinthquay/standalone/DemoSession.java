package io.jacinthquay.standalone;

import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.standalone.DemoCaller.DemoRequest;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Sends a few requests and prints the responses and the operator's reports. */
final class DemoSession {
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long TIMEOUT_SECONDS = 60;
  private static final int REQUESTS_PER_CLASS = 4;

  private final StandaloneService service;
  private final PrintStream out;

  DemoSession(StandaloneService service, PrintStream out) {
    this.service = service;
    this.out = out;
  }

  /**
   * Runs the session.
   *
   * @throws IllegalStateException if a condition is not met within 60 seconds or the report fails
   */
  void run() {
    await("the router is ready", service::isReady);
    String atlas = service.operator().issueKey("atlas");
    String lakeshore = service.operator().issueKey("lakeshore");
    InetSocketAddress router =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), service.routerPort());
    try (DemoCaller caller = new DemoCaller(router)) {
      await("keys are in force", () -> status(caller, lakeshore) == 200);
      sendRequestsOfEachClass(caller, atlas, lakeshore);
      showStream(caller, lakeshore);
      showPlain(caller, lakeshore);
      showRejection(caller, atlas);
      showWithdrawal(caller, atlas);
    }
    showUsage();
    heading("service-level burn rates from jqctl report");
    if (service.printReport(out) != ExitCode.OK) {
      throw new IllegalStateException("jqctl report failed");
    }
  }

  private static int status(DemoCaller caller, String key) {
    DemoRequest request = DemoRequest.get("/v1/models", key);
    return caller.send(request, chunk -> {}).status();
  }

  private void sendRequestsOfEachClass(DemoCaller caller, String atlas, String lakeshore) {
    heading("requests in several classes");
    for (int i = 0; i < REQUESTS_PER_CLASS; i++) {
      send(caller, lakeshore, "counter");
      send(caller, atlas, "notes");
      send(caller, lakeshore, "digest");
    }
  }

  private void send(DemoCaller caller, String key, String className) {
    long startNanos = System.nanoTime();
    DemoRequest request = DemoRequest.chat(key, className, false, "The zip of a blue coat sticks.");
    HttpResponse response = caller.send(request, chunk -> {});
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    out.printf("%-8s HTTP %d in %d ms%n", className, response.status(), millis);
  }

  private void showStream(DemoCaller caller, String key) {
    heading("a streamed response");
    DemoRequest request = DemoRequest.chat(key, "counter", true, "Which zip fits a parka?");
    caller.send(request, out::print);
  }

  private void showPlain(DemoCaller caller, String key) {
    heading("a plain route");
    DemoRequest request = DemoRequest.get("/tickets/17", key);
    HttpResponse response = caller.send(request, chunk -> {});
    out.println("HTTP " + response.status() + " " + response.body());
  }

  private void showRejection(DemoCaller caller, String key) {
    heading("a rejected request: the class is not one of the customer's");
    HttpResponse response = caller.send(DemoRequest.chat(key, "digest", false, "x"), chunk -> {});
    out.println("HTTP " + response.status() + " " + response.body());
  }

  private void showWithdrawal(DemoCaller caller, String key) {
    heading("a withdrawn key");
    service.operator().withdrawKey("atlas", key);
    await("the key stops working", () -> status(caller, key) == 401);
    HttpResponse response = caller.send(DemoRequest.chat(key, "notes", false, "x"), chunk -> {});
    out.println("HTTP " + response.status() + " " + response.body());
  }

  private void showUsage() {
    heading("usage windows reported to the platform");
    await("a window is reported", () -> !service.ledger().reports().isEmpty());
    for (Map.Entry<String, String> report : service.ledger().reports().entrySet()) {
      out.println("shard/start " + report.getKey() + " " + report.getValue());
    }
  }

  private void heading(String text) {
    out.println();
    out.println("== " + text);
  }

  private static void await(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            "timed out after " + TIMEOUT_SECONDS + " s waiting for: " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
