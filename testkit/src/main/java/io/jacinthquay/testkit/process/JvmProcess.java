package io.jacinthquay.testkit.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a program in a separate JVM, with the class path of the current one.
 *
 * <pre>{@code
 * try (JvmProcess keeper = JvmProcess.start(KeeperMain.class, args, logFile)) {
 *   keeper.kill();
 * }
 * }</pre>
 */
public final class JvmProcess implements AutoCloseable {
  private static final List<String> JVM_OPTIONS = List.of("-Xmx256m", "-XX:+UseSerialGC");
  private static final long STOP_TIMEOUT_SECONDS = 10;

  private final Process process;

  private JvmProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts a program.
   *
   * @param main the class with the main method
   * @param args its command line
   * @param log file to which its output is appended
   * @throws IOException if the process cannot be started
   */
  public static JvmProcess start(Class<?> main, List<String> args, Path log) throws IOException {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    command.addAll(List.of("-cp", classPath, main.getName()));
    command.addAll(args);
    return new JvmProcess(
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start());
  }

  /** Ends the process at once, as {@code kill -9} does, and waits for its end. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Returns the processor time that the process has used. */
  public Duration processorTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Returns the bytes that the process has read and written so far, over files and sockets.
   *
   * @throws IOException if the operating system does not report them
   */
  public long transferredBytes() throws IOException {
    long bytes = 0;
    for (String line : Files.readAllLines(Path.of("/proc", String.valueOf(process.pid()), "io"))) {
      if (line.startsWith("rchar:") || line.startsWith("wchar:")) {
        bytes += Long.parseLong(line.substring(line.indexOf(' ') + 1));
      }
    }
    return bytes;
  }

  /** Asks the process to stop, and kills it if it has not ended after 10 seconds. */
  @Override
  public void close() throws InterruptedException {
    if (process.isAlive()) {
      process.destroy();
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        kill();
      }
    }
  }
}
