package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.bench.report.ResultTable;
import io.jacinthquay.bench.report.RunResult;
import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Runs {@code jq-bench run}: simulates one scenario under several strategies for comparison. */
public final class RunCommand implements BenchCommand {
  @Override
  public String name() {
    return "run";
  }

  @Override
  public String summary() {
    return "run an experiment in virtual time, side by side with the baselines";
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("scenario")
        .choices(Arrays.stream(Scenario.values()).map(Scenario::commandLineName).toList())
        .help("arrivals and faults");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all random numbers");
    parser
        .addArgument("--strategy")
        .nargs("*")
        .choices(Arrays.stream(Strategy.values()).map(Strategy::commandLineName).toList())
        .help("strategies to compare; all by default");
    parser.addArgument("--routers").type(Integer.class).setDefault(9).help("number of routers");
    parser.addArgument("--engines").type(Integer.class).setDefault(12).help("number of engines");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(60)
        .help("virtual time over which arrivals are measured");
    parser
        .addArgument("--load")
        .type(Double.class)
        .help("load relative to the engines' capacity; the scenario's by default");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    Scenario scenario = Scenario.of(arguments.getString("scenario")).orElseThrow();
    List<RunResult> results = new ArrayList<>();
    for (Strategy strategy : strategies(arguments)) {
      Double load = arguments.getDouble("load");
      RunResult result =
          new Experiment(
                  scenario,
                  strategy,
                  arguments.getInt("routers"),
                  arguments.getInt("engines"),
                  arguments.getInt("seconds"),
                  load == null ? scenario.load() : load,
                  arguments.getLong("seed"))
              .run();
      out.println(ResultTable.toJson(result));
      results.add(result);
    }
    ResultTable.print(results, out);
    return ExitCode.OK;
  }

  private static List<Strategy> strategies(Namespace arguments) {
    List<String> strategyNames = arguments.getList("strategy");
    if (strategyNames == null) {
      return List.of(Strategy.values());
    }
    return strategyNames.stream().map(s -> Strategy.of(s).orElseThrow()).toList();
  }
}
