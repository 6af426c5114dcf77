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
import java.util.function.IntSupplier;
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
      long before = HeapUsage.usedBytes();
      SuspectTracker tracker = tracker(suspects);
      long bytes = HeapUsage.usedBytes() - before;
      out.printf(
          "{\"measure\":\"quarantine\",\"suspects\":%d,\"bytes\":%d,\"select_micros\":%.2f,"
              + "\"send_micros\":%.2f}%n",
          suspects, bytes, selectMicros(tracker), sendMicros(tracker, suspects));
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
    int limit = TOLD_SUSPECTS[TOLD_SUSPECTS.length - 1];
    return microsPerRound(() -> tracker.suspects(limit).size());
  }

  /** Returns the time to take in one broken send. */
  private static double sendMicros(SuspectTracker tracker, int suspects) {
    SplittableRandom random = new SplittableRandom(suspects);
    return microsPerRound(
        () -> {
          List<PartId> parts = new ArrayList<>();
          for (int i = 0; i < PARTS_PER_SEND; i++) {
            parts.add(new PartId(random.nextInt(suspects)));
          }
          tracker.recordBroken(send(random.nextInt(UPSTREAMS), parts, 0), SECOND_NANOS);
          return tracker.crashes(parts.get(0));
        });
  }

  /**
   * Returns the time of one round after a warm-up.
   *
   * @param round returns a result above 0, which keeps its work from being left out
   */
  private static double microsPerRound(IntSupplier round) {
    long results = 0;
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      results += round.getAsInt();
    }
    long startNanos = System.nanoTime();
    for (int i = 0; i < MEASURED_ROUNDS; i++) {
      results += round.getAsInt();
    }
    double nanos = System.nanoTime() - startNanos;
    return results == 0 ? 0 : nanos / MEASURED_ROUNDS / NANOS_PER_MICRO;
  }
}
