package io.jacinthquay.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.runtime.ExitCode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Runs {@code jq-bench capacity}: writes docs/CAPACITY.md from measured slopes and a text. */
public final class CapacityCommand implements BenchCommand {
  private static final String SLOPES = "slopes";
  private static final String TEXT = "text";
  private static final String PAGE = "page";

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "write the capacity page from measured slopes";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--slopes").setDefault("docs/capacity/slopes.json").help("measured slopes");
    parser.addArgument("--text").setDefault("docs/capacity/text.md").help("text after the tables");
    parser.addArgument("--page").setDefault("docs/CAPACITY.md").help("page to write");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    Path page = Path.of(arguments.getString(PAGE));
    try {
      List<Slope> slopes = read(Path.of(arguments.getString(SLOPES)));
      String text = Files.readString(Path.of(arguments.getString(TEXT)));
      Files.writeString(page, CapacityPage.write(slopes, text));
      out.println("wrote " + page);
      return ExitCode.OK;
    } catch (IOException | IllegalArgumentException e) {
      out.println(e.getMessage());
      return ExitCode.FAILURE;
    }
  }

  static List<Slope> read(Path file) throws IOException {
    return List.of(new ObjectMapper().readValue(file.toFile(), Slope[].class));
  }
}
