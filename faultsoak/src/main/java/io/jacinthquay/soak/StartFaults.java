package io.jacinthquay.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Faults of processes that start. */
final class StartFaults {
  private static final Logger log = LogManager.getLogger();
  private static final int MAX_RELOADS = 4;
  private static final int MAX_RELOAD_GAP_MILLIS = 40;
  private static final long FIRST_LINE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long POLL_MILLIS = 2;

  private StartFaults() {}

  /** Ends a process with SIGTERM or, for every other duration, with SIGKILL. */
  static void end(ProgramProcess process, Fault fault) throws IOException {
    if (fault.durationMillis() % 2 == 0) {
      process.kill();
    } else if (!process.stop()) {
      log.warn("a process did not stop within its grace period and was killed");
    }
  }

  /** Ends a process and starts it again while another socket holds an address of it. */
  static void holdPort(ProgramProcess process, InetSocketAddress address, Fault fault)
      throws IOException, InterruptedException {
    end(process, fault);
    try (ServerSocket holder = new ServerSocket()) {
      holder.bind(address);
      process.start();
      TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
    } finally {
      process.start();
    }
  }

  /** Sends SIGHUP in series, and then SIGTERM, to a process that starts; it runs at the end. */
  static void signalStart(ProgramProcess process, Fault fault)
      throws IOException, InterruptedException {
    end(process, fault);
    process.start();
    awaitFirstLine(process);
    for (long reloads = 1 + fault.durationMillis() % MAX_RELOADS; reloads > 0; reloads--) {
      process.signal("HUP");
      TimeUnit.MILLISECONDS.sleep(fault.durationMillis() % MAX_RELOAD_GAP_MILLIS);
    }
    if (fault.durationMillis() % 3 == 0) {
      if (!process.stop()) {
        log.warn("a process that started did not stop within its grace period and was killed");
      }
      process.start();
    }
  }

  /** A signal before the first line ends the virtual machine, which doesn't run the program yet. */
  private static void awaitFirstLine(ProgramProcess process) throws InterruptedException {
    long end = System.nanoTime() + FIRST_LINE_TIMEOUT_NANOS;
    while (!process.hasWritten() && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  /** Starts a process whose writes are refused until the end of the fault. */
  static void startWithFullDisk(ProgramProcess process, Fault fault)
      throws IOException, InterruptedException {
    process.start();
    process.rejectWrites(true);
    try {
      TimeUnit.MILLISECONDS.sleep(fault.durationMillis());
    } finally {
      process.rejectWrites(false);
      process.start();
    }
  }
}
