package io.jacinthquay.runtime;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;

/**
 * Runs a server program: parses its settings, starts its service and stops it on SIGTERM.
 *
 * <pre>{@code
 * System.exit(Program.run(PARSER, args, RouterService::create).number());
 * }</pre>
 */
public final class Program {
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
    return serve(factory.apply(settings));
  }

  private void printErrors(List<String> errors) {
    for (String error : errors) {
      err.println(ResultCode.SETTINGS_INVALID.number() + " " + error);
    }
  }

  private ExitCode serve(Service service) {
    CountDownLatch startFinished = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicBoolean started = new AtomicBoolean();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  // A service that is still starting may have accepted requests already.
                  if (await(startFinished) && started.get()) {
                    service.stop();
                  }
                  LogManager.shutdown();
                  stopped.countDown();
                },
                "shutdown"));
    try {
      service.start();
      started.set(true);
    } catch (IllegalStateException e) {
      err.println(e.getMessage());
      return ExitCode.FAILURE;
    } finally {
      startFinished.countDown();
    }
    var unused = await(stopped);
    return ExitCode.OK;
  }

  private static boolean await(CountDownLatch latch) {
    try {
      latch.await();
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
