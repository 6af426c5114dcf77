package io.jacinthquay.bench.capacity;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.decision.quarantine.BrokenSend;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.SuspectTracker;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.gen.ControlViewMessage;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Runs {@code jq-bench quarantine}: measures what suspect parts of prompts cost, in bytes of each
 * view that a router receives and in processor time and memory of the leader.
 */
public final class QuarantineCommand implements BenchCommand {
  private static final int[] SUSPECTS = {64, 128, 256, 512, 1_024};
  private static final int[] TOLD_SUSPECTS = {0, 16, 32, 48, 64};

  /** Parts in a broken send, as prompts of chats have. */
  private static final int PARTS_PER_SEND = 3;

  private static final int WARM_UP_ROUNDS = 2_000;
  private static final int MEASURED_ROUNDS = 5_000;
  private static final int UPSTREAMS = 100;

  /** Garbage collections before each reading, so that unreachable objects do not count. */
  private static final int GC_RUNS = 4;

  private static final double NANOS_PER_MICRO = 1_000;
  private static final long SECOND_NANOS = 1_000_000_000L;

  @Override
  public String name() {
    return "quarantine";
  }

  @Override
  public String summary() {
    return "measure the cost of suspect parts of prompts";
  }

  @Override
  public void declare(Subparser parser) {}

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    try {
      for (int told : TOLD_SUSPECTS) {
        out.printf(
            "{\"measure\":\"quarantine\",\"told_suspects\":%d,\"view_bytes\":%d}%n",
            told, viewBytes(told) - viewBytes(0));
      }
    } catch (TException e) {
      out.println(e.getMessage());
      return ExitCode.FAILURE;
    }
    for (int suspects : SUSPECTS) {
      // Loads the classes, so that they do not count as state.
      int unused = tracker(suspects).suspects(1).size();
      long before = usedBytes();
      SuspectTracker tracker = tracker(suspects);
      long bytes = usedBytes() - before;
      out.printf(
          "{\"measure\":\"quarantine\",\"suspects\":%d,\"bytes\":%d,\"select_micros\":%.2f,"
              + "\"send_micros\":%.2f}%n",
          suspects, bytes, selectMicros(tracker), reportMicros(tracker, suspects));
    }
    return ExitCode.OK;
  }

  private static int viewBytes(int told) throws TException {
    SplittableRandom random = new SplittableRandom(told);
    List<Long> parts = new ArrayList<>();
    for (int i = 0; i < told; i++) {
      parts.add(random.nextLong());
    }
    ControlViewMessage view = new ControlViewMessage();
    view.setSuspectParts(parts);
    return new TSerializer(new TCompactProtocol.Factory()).serialize(view).length;
  }

  private static long usedBytes() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static SuspectTracker tracker(int suspects) {
    SuspectTracker tracker = new SuspectTracker();
    for (int part = 0; part < suspects; part++) {
      tracker.recordBroken(send(part % UPSTREAMS, List.of(new PartId(part)), 0), 0);
    }
    return tracker;
  }

  private static BrokenSend send(int upstream, List<PartId> parts, long atNanos) {
    return new BrokenSend(new UpstreamId("i-" + upstream), parts, atNanos);
  }

  /** Returns the time to select the suspects to tell, which happens up to 20 times a second. */
  private static double selectMicros(SuspectTracker tracker) {
    long startNanos = 0;
    int told = 0;
    for (int round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
      if (round == WARM_UP_ROUNDS) {
        startNanos = System.nanoTime();
      }
      told += tracker.suspects(TOLD_SUSPECTS[TOLD_SUSPECTS.length - 1]).size();
    }
    double nanos = System.nanoTime() - startNanos;
    return told == 0 ? 0 : nanos / MEASURED_ROUNDS / NANOS_PER_MICRO;
  }

  /** Returns the time to take in one broken send. */
  private static double reportMicros(SuspectTracker tracker, int suspects) {
    SplittableRandom random = new SplittableRandom(suspects);
    long startNanos = 0;
    int crashes = 0;
    for (int round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
      if (round == WARM_UP_ROUNDS) {
        startNanos = System.nanoTime();
      }
      List<PartId> parts = new ArrayList<>();
      for (int i = 0; i < PARTS_PER_SEND; i++) {
        parts.add(new PartId(random.nextInt(suspects)));
      }
      tracker.recordBroken(send(random.nextInt(UPSTREAMS), parts, 0), SECOND_NANOS);
      crashes += tracker.crashes(parts.get(0));
    }
    double nanos = System.nanoTime() - startNanos;
    return crashes == 0 ? 0 : nanos / MEASURED_ROUNDS / NANOS_PER_MICRO;
  }
}
