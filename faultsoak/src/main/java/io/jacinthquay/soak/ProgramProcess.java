package io.jacinthquay.soak;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A program that runs as a process and can be stopped, signalled and started again. */
final class ProgramProcess implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final String LOG_LEVEL = "JQ_LOG_LEVEL";
  private static final String SETTINGS_FILE = "JACINTHQUAY_SETTINGS";
  private static final long KILL_TIMEOUT_SECONDS = 10;

  /** Exit code of a process that SIGHUP terminated: 128 plus the number of the signal. */
  private static final int SIGHUP_EXIT_CODE = 128 + 1;

  private static final long OUTPUT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_LAST_LINES = 4;
  private static final int MAX_LINE_CHARS = 300;

  /** Longer than the grace period of 8 s with which the programs are started. */
  private static final long STOP_TIMEOUT_SECONDS = 9;

  private final Path root;
  private final Path output;
  private final Path settings;
  private final Supplier<List<String>> command;
  private Process process;
  private boolean stopping;

  /** Size of the output file when the process was started. */
  private long outputBytesAtStart;

  private final List<Exit> unexpectedExits = new ArrayList<>();

  /** When the process ended, on the monotonic clock. */
  private CompletableFuture<Long> endNanos = new CompletableFuture<>();

  /**
   * Copies the output of the process, which so can write it whatever writes to files are refused.
   */
  private Thread outputThread;

  /**
   * An exit that this class did not cause.
   *
   * @param code exit code
   * @param atNanos when the process ended, on the monotonic clock
   * @param lastLines the last lines of its output
   */
  record Exit(int code, long atNanos, List<String> lastLines) {
    Exit {
      lastLines = List.copyOf(lastLines);
    }
  }

  /**
   * Returns a program that does not run yet.
   *
   * @param root folder in which it runs
   * @param output receives its output
   * @param settings file whose path it is given
   * @param command returns the command line of each start
   */
  ProgramProcess(Path root, Path output, Path settings, Supplier<List<String>> command) {
    this.root = root;
    this.output = output;
    this.settings = settings;
    this.command = command;
  }

  /** Starts the program unless it is running. */
  synchronized void start() throws IOException {
    if (process != null && process.isAlive()) {
      return;
    }
    recordUnexpectedExit();
    awaitOutput();
    stopping = false;
    File outputFile = output.toFile();
    outputBytesAtStart = outputFile.length();
    ProcessBuilder builder =
        new ProcessBuilder(command.get()).directory(root.toFile()).redirectErrorStream(true);
    // The soak's own log level must not suppress the log lines of the programs.
    builder.environment().remove(LOG_LEVEL);
    builder.environment().put(SETTINGS_FILE, settings.toString());
    Process started = builder.start();
    endNanos = started.onExit().thenApply(ended -> System.nanoTime());
    outputThread = new Thread(() -> copyOutput(started), "soak-output");
    outputThread.setDaemon(true);
    outputThread.start();
    process = started;
  }

  private void copyOutput(Process started) {
    try (OutputStream file =
        Files.newOutputStream(output, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      started.getInputStream().transferTo(file);
    } catch (IOException e) {
      log.debug("the output of a process ended: {}", e.getMessage());
    }
  }

  private List<String> lastLines() {
    try {
      List<String> lines =
          Files.readString(output, StandardCharsets.ISO_8859_1)
              .substring((int) outputBytesAtStart)
              .lines()
              .map(line -> line.substring(0, Math.min(line.length(), MAX_LINE_CHARS)))
              .toList();
      return lines.subList(Math.max(0, lines.size() - MAX_LAST_LINES), lines.size());
    } catch (IOException e) {
      return List.of("no output can be read: " + e.getMessage());
    }
  }

  private void recordUnexpectedExit() {
    if (process != null && !process.isAlive() && !stopping) {
      awaitOutput();
      // SIGHUP terminates a JVM that has not reached the program and its signal handler yet.
      boolean beforeProgram =
          process.exitValue() == SIGHUP_EXIT_CODE && output.toFile().length() == outputBytesAtStart;
      if (!beforeProgram) {
        unexpectedExits.add(
            new Exit(process.exitValue(), endNanos.getNow(System.nanoTime()), lastLines()));
      }
      stopping = true;
    }
  }

  private void awaitOutput() {
    if (outputThread == null) {
      return;
    }
    try {
      outputThread.join(OUTPUT_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a signal to the process if it is alive. */
  synchronized void signal(String name) throws IOException {
    runForProcess(pid -> List.of("kill", "-" + name, pid));
  }

  /**
   * Makes all writes of the process to files fail from now on, or succeed again, if it is alive.
   */
  synchronized void rejectWrites(boolean rejected) throws IOException {
    String maxFileBytes = rejected ? "1" : "unlimited";
    runForProcess(pid -> List.of("prlimit", "--pid", pid, "--fsize=" + maxFileBytes + ":"));
  }

  /** Runs a command that takes the id of the process, if the process is alive. */
  private void runForProcess(Function<String, List<String>> commandForPid) throws IOException {
    recordUnexpectedExit();
    if (process == null || !process.isAlive()) {
      return;
    }
    String pid = Long.toString(process.pid());
    Process run = new ProcessBuilder(commandForPid.apply(pid)).inheritIO().start();
    try {
      run.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns whether the program has written something since its start. */
  synchronized boolean hasWritten() {
    return output.toFile().length() > outputBytesAtStart;
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process with SIGKILL and waits for its end. */
  synchronized void kill() {
    recordUnexpectedExit();
    stopping = true;
    if (process != null) {
      process.toHandle().destroyForcibly();
      var unused = await(process, KILL_TIMEOUT_SECONDS);
    }
  }

  /**
   * Sends SIGTERM and waits for the process to exit; kills it after the grace period.
   *
   * @return whether it exited within the grace period
   */
  boolean stop() throws IOException {
    Process running;
    synchronized (this) {
      recordUnexpectedExit();
      running = process;
      if (running == null || !running.isAlive()) {
        return true;
      }
      stopping = true;
      signal("CONT");
      // The end of a process by its own handle leaves its output open.
      running.toHandle().destroy();
    }
    boolean exited = await(running, STOP_TIMEOUT_SECONDS);
    if (!exited) {
      running.toHandle().destroyForcibly();
    }
    return exited;
  }

  private static boolean await(Process exiting, long seconds) {
    try {
      return exiting.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exits that this class did not cause. */
  synchronized List<Exit> unexpectedExits() {
    recordUnexpectedExit();
    return List.copyOf(unexpectedExits);
  }

  @Override
  public void close() {
    kill();
  }
}
