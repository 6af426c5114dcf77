package io.jacinthquay.standalone;

import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.http.HttpResponse;
import io.jacinthquay.standalone.DemoCaller.Question;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Sends a few requests and prints what a caller and an operator see. */
final class DemoSession {
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long WAIT_SECONDS = 60;
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
   * @throws IllegalStateException if something does not come about in time
   */
  void run() {
    await("the router is ready", service::isReady);
    String atlas = service.operator().issueKey("atlas");
    String lakeshore = service.operator().issueKey("lakeshore");
    InetSocketAddress router =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), service.routerPort());
    try (DemoCaller caller = new DemoCaller(router)) {
      await("keys are in force", () -> status(caller, lakeshore) == 200);
      sendInClasses(caller, atlas, lakeshore);
      showStream(caller, lakeshore);
      showPlain(caller, lakeshore);
      showRefusal(caller, atlas);
      showWithdrawal(caller, atlas);
    }
    showUsage();
    heading("service-level burn, as jqctl report shows it");
    if (service.printReport(out) != ExitCode.OK) {
      throw new IllegalStateException("the report failed");
    }
  }

  private static int status(DemoCaller caller, String key) {
    Question question = Question.read("/v1/models", key);
    return caller.ask(question, piece -> {}).status();
  }

  private void sendInClasses(DemoCaller caller, String atlas, String lakeshore) {
    heading("requests in several classes");
    for (int i = 0; i < REQUESTS_PER_CLASS; i++) {
      send(caller, lakeshore, "counter");
      send(caller, atlas, "notes");
      send(caller, lakeshore, "digest");
    }
  }

  private void send(DemoCaller caller, String key, String className) {
    long before = System.nanoTime();
    Question question = Question.chat(key, className, false, "The zip of a blue coat sticks.");
    HttpResponse answer = caller.ask(question, piece -> {});
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
    out.printf("%-8s HTTP %d in %d ms%n", className, answer.status(), millis);
  }

  private void showStream(DemoCaller caller, String key) {
    heading("one answer, streamed");
    Question question = Question.chat(key, "counter", true, "Which zip fits a parka?");
    caller.ask(question, out::print);
  }

  private void showPlain(DemoCaller caller, String key) {
    heading("a plain route");
    Question question = Question.read("/tickets/17", key);
    HttpResponse answer = caller.ask(question, piece -> {});
    out.println("HTTP " + answer.status() + " " + answer.body());
  }

  private void showRefusal(DemoCaller caller, String key) {
    heading("a refusal: the class is not one of the customer's");
    HttpResponse answer = caller.ask(Question.chat(key, "digest", false, "x"), piece -> {});
    out.println("HTTP " + answer.status() + " " + answer.body());
  }

  private void showWithdrawal(DemoCaller caller, String key) {
    heading("a withdrawn key");
    service.operator().withdrawKey("atlas", key);
    await("the key stops working", () -> status(caller, key) == 401);
    HttpResponse answer = caller.ask(Question.chat(key, "notes", false, "x"), piece -> {});
    out.println("HTTP " + answer.status() + " " + answer.body());
  }

  private void showUsage() {
    heading("usage windows as reported to the platform");
    await("a window is reported", () -> !service.ledger().reports().isEmpty());
    for (Map.Entry<String, String> report : service.ledger().reports().entrySet()) {
      out.println("shard/start " + report.getKey() + " " + report.getValue());
    }
  }

  private void heading(String text) {
    out.println();
    out.println("== " + text);
  }

  private static void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("did not come about in time: " + what);
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }
}
