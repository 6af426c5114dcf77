package io.jacinthquay.runtime;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;

/**
 * Runs a server program: parses its settings, starts its service and stops it on SIGTERM.
 *
 * <pre>{@code
 * System.exit(Program.run(PARSER, args, RouterService::create).number());
 * }</pre>
 */
public final class Program {
  /** Longest time that a stop waits for a start that is still under way. */
  private static final long MAX_START_SECONDS = 5;

  private final SettingsParser parser;
  private final PrintStream out;
  private final PrintStream err;

  private Program(SettingsParser parser, PrintStream out, PrintStream err) {
    this.parser = parser;
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the program until it receives SIGTERM.
   *
   * @param parser the parser of the program's settings
   * @param args the command line
   * @param factory creates the service from the settings
   */
  public static ExitCode run(
      SettingsParser parser, String[] args, Function<Settings, Service> factory) {
    return new Program(parser, System.out, System.err).run(args, System.getenv(), factory);
  }

  private ExitCode run(
      String[] args, Map<String, String> environment, Function<Settings, Service> factory) {
    SighupHandler.install();
    Either<List<String>, Settings> parsed = parser.parse(args, environment);
    if (parsed.isLeft()) {
      printErrors(parsed.getLeft());
      return ExitCode.SETTINGS_INVALID;
    }
    Settings settings = parsed.get();
    if (settings.textToPrint().isPresent()) {
      out.println(settings.textToPrint().get());
      return ExitCode.OK;
    }
    LogManager.getLogger().info("starting the program");
    return serve(() -> factory.apply(settings));
  }

  private void printErrors(List<String> errors) {
    for (String error : errors) {
      err.println(ResultCode.SETTINGS_INVALID.number() + " " + error);
    }
  }

  private ExitCode serve(Supplier<Service> factory) {
    CountDownLatch startFinished = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicReference<Service> started = new AtomicReference<>();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  // A service that is still starting may have accepted requests already.
                  if (awaitStart(startFinished) && started.get() != null) {
                    started.get().stop();
                  }
                  LogManager.shutdown();
                  stopped.countDown();
                },
                "shutdown"));
    try {
      Service service = factory.get();
      service.start();
      started.set(service);
    } catch (Throwable e) {
      reportFailure(e);
      return ExitCode.FAILURE;
    } finally {
      startFinished.countDown();
    }
    await(stopped);
    return ExitCode.OK;
  }

  /**
   * Reports why the service can't start. Also an error must not leave the process running with the
   * threads that were started before it.
   */
  private void reportFailure(Throwable cause) {
    if (cause instanceof IllegalStateException) {
      err.println(cause.getMessage());
      return;
    }
    err.println("the program can't start: " + cause);
    LogManager.getLogger().fatal("the program can't start", cause);
  }

  /** Waits until the start has ended; returns false if that takes too long for an orderly stop. */
  private static boolean awaitStart(CountDownLatch startFinished) {
    try {
      return startFinished.await(MAX_START_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
