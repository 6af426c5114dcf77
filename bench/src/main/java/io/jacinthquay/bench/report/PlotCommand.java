package io.jacinthquay.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.runtime.ExitCode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Runs {@code jq-bench plot}: draws the JSON lines of {@code jq-bench run} as one SVG. */
public final class PlotCommand implements BenchCommand {
  private static final ObjectMapper JSON = new ObjectMapper();

  @Override
  public String name() {
    return "plot";
  }

  @Override
  public String summary() {
    return "draw the JSON lines of experiments as one SVG";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("file").nargs("+").help("output of jq-bench run; other lines are skipped");
    parser.addArgument("--out").required(true).help("the SVG to write");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    try {
      List<RunResult> results = new ArrayList<>();
      for (String file : arguments.<String>getList("file")) {
        results.addAll(read(Path.of(file)));
      }
      if (results.isEmpty()) {
        out.println("no results found");
        return ExitCode.FAILURE;
      }
      Files.writeString(Path.of(arguments.getString("out")), SvgPlot.draw(results));
      return ExitCode.OK;
    } catch (IOException e) {
      out.println("cannot write the plot: " + e.getMessage());
      return ExitCode.FAILURE;
    }
  }

  private static List<RunResult> read(Path file) throws IOException {
    List<RunResult> results = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      if (line.startsWith("{")) {
        results.add(parse(line));
      }
    }
    return results;
  }

  private static RunResult parse(String line) throws JsonProcessingException {
    return JSON.readValue(line, RunResult.class);
  }
}
