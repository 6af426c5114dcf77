package io.jacinthquay.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.runtime.settings.SettingsParser;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that SIGHUP and SIGTERM during startup neither kill the program nor skip its stop. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class ProgramSignalsTest {
  private static final String STARTING = "starting";
  private static final String STARTED = "started";
  private static final String STOPPED = "stopped";

  /** A program whose start blocks until a line arrives on standard input. */
  public static final class SlowProgram implements Service {
    private SlowProgram() {}

    public static void main(String[] args) {
      SettingsParser parser = SettingsParser.of("slow", "Starts slowly.", List.of());
      System.exit(Program.run(parser, args, settings -> new SlowProgram()).number());
    }

    @Override
    public void start() {
      System.out.println(STARTING);
      try {
        int unused = System.in.read();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      System.out.println(STARTED);
    }

    @Override
    public void stop() {
      System.out.println(STOPPED);
    }
  }

  private static Process launch() throws IOException {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-cp",
            classPath,
            SlowProgram.class.getName())
        .redirectError(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  private static void signal(Process process, String name)
      throws IOException, InterruptedException {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  private static boolean waitForLine(BufferedReader output, String expected) throws IOException {
    String line = output.readLine();
    while (line != null && !line.equals(expected)) {
      line = output.readLine();
    }
    return line != null;
  }

  private static void finishStart(Process process) throws IOException {
    try (BufferedWriter input = process.outputWriter(StandardCharsets.US_ASCII)) {
      input.write('\n');
    } catch (IOException e) {
      // The process has ended; the caller notices that in its output.
    }
  }

  @Test
  void sighupDuringStartDoesNotEndTheProgram() throws Exception {
    Process process = launch();
    try (BufferedReader output = process.inputReader(StandardCharsets.US_ASCII)) {
      assertTrue(waitForLine(output, STARTING));
      signal(process, "HUP");
      boolean ended = process.waitFor(500, TimeUnit.MILLISECONDS);
      finishStart(process);
      assertTrue(!ended && waitForLine(output, STARTED), "ended by SIGHUP during the start");
      signal(process, "TERM");
      assertTrue(waitForLine(output, STOPPED));
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void sigtermDuringStartStillStopsTheService() throws Exception {
    Process process = launch();
    try (BufferedReader output = process.inputReader(StandardCharsets.US_ASCII)) {
      assertTrue(waitForLine(output, STARTING));
      signal(process, "TERM");
      boolean ended = process.waitFor(500, TimeUnit.MILLISECONDS);
      finishStart(process);
      assertTrue(!ended && waitForLine(output, STARTED), "ended by SIGTERM during the start");
      assertTrue(waitForLine(output, STOPPED), "the service was not stopped");
    } finally {
      process.destroyForcibly();
    }
  }
}
