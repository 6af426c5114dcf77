package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.decision.placement.Placement;
import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.decision.placement.PlacementSettings;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.Placers;
import io.jacinthquay.decision.placement.PromptPrefix;
import io.jacinthquay.decision.placement.UpstreamInfo;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of one placement by the number of known upstreams. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {
  private static final int PROMPTS = 512;
  private static final int BLOCKS_PER_PROMPT = 16;
  private static final int IN_FLIGHT = 400;

  /** Virtual time between two placements. */
  private static final long STEP_NANOS = 20_000;

  /** Number of upstreams, three quarters of them in the local failure domain. */
  @Param({"12", "64", "1200", "12000"})
  public int upstreams;

  private final SplittableRandom random = new SplittableRandom(5);
  private final PlacementRequest[] requests = new PlacementRequest[PROMPTS];
  private final Dispatch[] running = new Dispatch[IN_FLIGHT];
  private UpstreamTable table;
  private Placer placer;
  private long now;
  private int next;

  /** Fills the table and dispatches requests until {@code IN_FLIGHT} are in flight. */
  @Setup
  public void fill() {
    table = UpstreamTable.create(Scenario.domain(0), "router", PlacementSettings.defaults());
    placer = Placers.expectedWait(table);
    for (int i = 0; i < upstreams; i++) {
      UpstreamId id = new UpstreamId("engine-" + i);
      table.add(new UpstreamInfo(id, Scenario.domain(i % 4 == 0 ? 1 : 0)), -3_600_000_000_000L);
      table.applyLoadReport(new LoadReport(id, 0, i % 20, 0, false, 32), 0);
    }
    for (int i = 0; i < PROMPTS; i++) {
      long[] hashes = new long[BLOCKS_PER_PROMPT];
      for (int block = 0; block < BLOCKS_PER_PROMPT; block++) {
        hashes[block] =
            block < BLOCKS_PER_PROMPT / 2 ? 1 + block + 100L * (i % 16) : random.nextLong();
      }
      PromptPrefix prefix = PromptPrefix.ofHashes(hashes, PromptPrefix.DEFAULT_BLOCK_TOKENS);
      requests[i] = new PlacementRequest(prefix, BLOCKS_PER_PROMPT * 64 + 9, 100, Set.of());
    }
    for (int i = 0; i < IN_FLIGHT * 4; i++) {
      placeAndDispatch();
    }
  }

  /** Chooses one upstream. */
  @Benchmark
  public Optional<Placement> place() {
    now += STEP_NANOS;
    return placer.place(requests[next++ % PROMPTS], u -> true, now, random);
  }

  /** Ranks eight upstreams. */
  @Benchmark
  public List<Placement> rankEight() {
    now += STEP_NANOS;
    return placer.rank(requests[next++ % PROMPTS], u -> true, 8, now, random);
  }

  /** Chooses one upstream, records the dispatch to it and the end of an earlier attempt. */
  @Benchmark
  public Dispatch placeAndDispatch() {
    now += STEP_NANOS;
    PlacementRequest request = requests[next++ % PROMPTS];
    Placement choice = placer.place(request, u -> true, now, random).orElseThrow();
    int slot = next % IN_FLIGHT;
    if (running[slot] != null) {
      table.recordFirstToken(running[slot], now);
      table.recordEnd(running[slot], AttemptEnd.COMPLETED, now);
    }
    running[slot] = table.recordDispatch(choice.upstream(), request, now);
    return running[slot];
  }
}
