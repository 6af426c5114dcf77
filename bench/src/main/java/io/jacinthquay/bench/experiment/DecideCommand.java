package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs {@code jq-bench decide}: measures the time and allocation of one placement. */
public final class DecideCommand implements BenchCommand {
  private static final int ITERATIONS = 3;
  private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";

  @Override
  public String name() {
    return "decide";
  }

  @Override
  public String summary() {
    return "measure the time and allocation of one placement";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--millis").type(Integer.class).setDefault(500).help("time per iteration");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    Options options =
        new OptionsBuilder()
            .include(PlacementBenchmark.class.getName())
            .forks(0)
            .warmupIterations(ITERATIONS)
            .measurementIterations(ITERATIONS)
            .warmupTime(TimeValue.milliseconds(arguments.getInt("millis")))
            .measurementTime(TimeValue.milliseconds(arguments.getInt("millis")))
            .addProfiler(GCProfiler.class)
            .build();
    try {
      out.printf("%-20s %10s %12s %10s%n", "benchmark", "upstreams", "us/op", "bytes/op");
      for (RunResult result : new Runner(options).run()) {
        out.printf(
            "%-20s %10s %12.3f %10.0f%n",
            result.getPrimaryResult().getLabel(),
            result.getParams().getParam("upstreams"),
            result.getPrimaryResult().getScore(),
            result.getSecondaryResults().get(ALLOCATION_METRIC).getScore());
      }
      return ExitCode.OK;
    } catch (RunnerException e) {
      out.println(e.getMessage());
      return ExitCode.FAILURE;
    }
  }
}
