package io.jacinthquay.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** One program as a process, started again and signalled by its id. */
final class ProgramProcess implements AutoCloseable {
  private static final String LOG_LEVEL = "JQ_LOG_LEVEL";
  private static final long KILL_SECONDS = 10;

  /** Exit code of a process that was ended by SIGHUP. */
  private static final int HUNG_UP = 128 + 1;

  /** Longer than the grace period that the programs are told. */
  private static final long STOP_SECONDS = 9;

  private final Path root;
  private final Path output;
  private final Supplier<List<String>> command;
  private Process process;
  private boolean stopping;

  /** Length of the output when the process was started, in bytes. */
  private long lengthBefore;

  private final List<Integer> ownEnds = new ArrayList<>();

  ProgramProcess(Path root, Path output, Supplier<List<String>> command) {
    this.root = root;
    this.output = output;
    this.command = command;
  }

  /** Starts the program unless it runs. */
  synchronized void start() throws IOException {
    if (process != null && process.isAlive()) {
      return;
    }
    noteOwnEnd();
    stopping = false;
    File log = output.toFile();
    lengthBefore = log.length();
    ProcessBuilder builder =
        new ProcessBuilder(command.get())
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    // The soak's own level must not hide what the programs write.
    builder.environment().remove(LOG_LEVEL);
    process = builder.start();
  }

  private void noteOwnEnd() {
    if (process != null && !process.isAlive() && !stopping) {
      // A virtual machine that has not come to run the program yet ends by a reload.
      boolean early = process.exitValue() == HUNG_UP && output.toFile().length() == lengthBefore;
      if (!early) {
        ownEnds.add(process.exitValue());
      }
      stopping = true;
    }
  }

  /** Sends a signal to the process, if it is alive. */
  synchronized void signal(String name) throws IOException {
    noteOwnEnd();
    if (process == null || !process.isAlive()) {
      return;
    }
    Process kill =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start();
    try {
      kill.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process at once. */
  synchronized void kill() {
    noteOwnEnd();
    stopping = true;
    if (process != null) {
      process.destroyForcibly();
      var unused = await(process, KILL_SECONDS);
    }
  }

  /**
   * Asks the process to stop and waits; one that doesn't within the grace period is killed.
   *
   * @return whether it ended by itself
   */
  boolean stop() throws IOException {
    Process asked;
    synchronized (this) {
      noteOwnEnd();
      asked = process;
      if (asked == null || !asked.isAlive()) {
        return true;
      }
      stopping = true;
      signal("CONT");
      asked.destroy();
    }
    boolean ended = await(asked, STOP_SECONDS);
    if (!ended) {
      asked.destroyForcibly();
    }
    return ended;
  }

  private static boolean await(Process ending, long seconds) {
    try {
      return ending.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exit codes of ends that nobody asked for. */
  synchronized List<Integer> ownEnds() {
    noteOwnEnd();
    return List.copyOf(ownEnds);
  }

  @Override
  public void close() {
    kill();
  }
}
