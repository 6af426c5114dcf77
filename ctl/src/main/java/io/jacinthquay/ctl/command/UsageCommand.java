package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.UsageCounter;
import io.jacinthquay.wire.gen.UsageLine;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that lists sealed usage windows, or counts that are not in one yet. */
final class UsageCommand implements Command {
  private static final int MAX_WINDOWS_PER_SHARD = 10_000;
  private static final String UNREPORTED = "unreported";
  private static final String OPEN = "open";

  /** The JSON form of one line. */
  record Line(
      String window,
      String state,
      String customer,
      String model,
      long requests,
      long inputTokens,
      long outputTokens,
      String occurred) {}

  /** The JSON form of the result. */
  record Result(List<Line> lines) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("usage").help("list usage windows");
    parser.setDefault(CommandLine.COMMAND, this);
    parser
        .addArgument("--unreported")
        .action(Arguments.storeTrue())
        .help("only windows that have not been reported yet");
    parser
        .addArgument("--open")
        .action(Arguments.storeTrue())
        .help("counts that are not in a sealed window yet");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    Either<Failure, List<Line>> lines =
        args.getBoolean(OPEN)
            ? context.keepers().call(keeper -> keeper.openUsage()).map(UsageCommand::openLines)
            : sealedLines(context, args.getBoolean(UNREPORTED));
    return lines.fold(context::fail, usage -> print(context, usage));
  }

  private static Either<Failure, List<Line>> sealedLines(Context context, boolean unreportedOnly) {
    List<Line> lines = new ArrayList<>();
    for (int i = 0; i < UsageWindow.SHARDS; i++) {
      int shard = i;
      Either<Failure, List<SealedWindow>> windows =
          context
              .keepers()
              .call(keeper -> keeper.sealedWindows(shard, unreportedOnly, MAX_WINDOWS_PER_SHARD));
      if (windows.isLeft()) {
        return Either.left(windows.getLeft());
      }
      windows.get().forEach(window -> addLines(window, lines));
    }
    return Either.right(lines);
  }

  private static void addLines(SealedWindow window, List<Line> lines) {
    String state = window.isReported() ? "reported" : "sealed";
    for (UsageLine line : window.getLines()) {
      lines.add(
          new Line(
              formatTime(window.getWindowStartMillis()),
              state,
              line.getCustomer(),
              line.getModel(),
              line.getRequests(),
              line.getInputTokens(),
              line.getOutputTokens(),
              formatTime(line.getOccurredMillis())));
    }
  }

  private static List<Line> openLines(List<UsageCounter> counters) {
    List<Line> lines = new ArrayList<>();
    for (UsageCounter counter : counters) {
      lines.add(
          new Line(
              "",
              "open",
              counter.getCustomer(),
              counter.getModel(),
              counter.getRequests(),
              counter.getInputTokens(),
              counter.getOutputTokens(),
              formatTime(counter.getWindowStartMillis())));
    }
    return lines;
  }

  private static String formatTime(long millis) {
    return Instant.ofEpochMilli(millis).toString();
  }

  private static ExitCode print(Context context, List<Line> lines) {
    Table table =
        Table.of("WINDOW", "STATE", "CUSTOMER", "MODEL", "REQUESTS", "INPUT", "OUTPUT", "OCCURRED");
    lines.forEach(
        line ->
            table.row(
                line.window(),
                line.state(),
                line.customer(),
                line.model(),
                line.requests(),
                line.inputTokens(),
                line.outputTokens(),
                line.occurred()));
    context.printer().print(new Result(lines), table);
    return ExitCode.OK;
  }
}
