package io.jacinthquay.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.runtime.settings.SettingsParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a program whose start fails or hangs ends, although some of its threads run. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class ProgramStartTest {
  private static final String STARTING = "starting";
  private static final String CAUSE = "thrown by the test";

  /** A program that starts a thread and then fails or hangs. */
  public static final class FailingProgram implements Service {
    private final String failure;

    private FailingProgram(String failure) {
      this.failure = failure;
      startThread();
      if (failure.equals("creation")) {
        throw new IllegalArgumentException(CAUSE);
      }
    }

    public static void main(String[] args) {
      SettingsParser parser = SettingsParser.of("failing", "Fails to start.", List.of());
      String failure = System.getProperty("failure");
      System.exit(Program.run(parser, args, settings -> new FailingProgram(failure)).number());
    }

    private static void startThread() {
      new Thread(FailingProgram::hang, "half-up").start();
    }

    private static void hang() {
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void start() {
      System.out.println(STARTING);
      switch (failure) {
        case "state" -> throw new IllegalStateException(CAUSE);
        case "argument" -> throw new IllegalArgumentException(CAUSE);
        case "thread" -> throw new OutOfMemoryError(CAUSE);
        default -> hang();
      }
    }

    @Override
    public void stop() {}
  }

  private static Process launch(String failure) throws IOException {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-Dfailure=" + failure,
            "-cp",
            classPath,
            FailingProgram.class.getName())
        .start();
  }

  @ParameterizedTest
  @ValueSource(strings = {"state", "argument", "thread", "creation"})
  void programThatCannotStartEndsAndNamesTheCause(String failure) throws Exception {
    Process process = launch(failure);
    try {
      assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process neither serves nor ends");
      assertEquals(ExitCode.FAILURE.number(), process.exitValue());
      String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(errors.contains(CAUSE), errors);
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void sigtermEndsAProgramWhoseStartHangs() throws Exception {
    Process process = launch("hang");
    try {
      BufferedReader output = process.inputReader(StandardCharsets.US_ASCII);
      assertTrue(output.lines().anyMatch(STARTING::equals));
      process.destroy();
      assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process does not end");
    } finally {
      process.destroyForcibly();
    }
  }
}
