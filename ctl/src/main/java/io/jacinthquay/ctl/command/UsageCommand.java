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

/** Lists sealed usage windows, and counts that stand in none yet. */
final class UsageCommand implements Command {
  private static final int MOST_WINDOWS = 10_000;
  private static final String UNREPORTED = "unreported";
  private static final String OPEN = "open";

  /** One line in JSON. */
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
        .help("only windows that were not reported yet");
    parser
        .addArgument("--open")
        .action(Arguments.storeTrue())
        .help("counts that stand in no sealed window yet");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    Either<Failure, List<Line>> lines =
        args.getBoolean(OPEN)
            ? context.keepers().call(keeper -> keeper.openUsage()).map(UsageCommand::open)
            : sealed(context, args.getBoolean(UNREPORTED));
    return lines.fold(context::fail, found -> print(context, found));
  }

  private static Either<Failure, List<Line>> sealed(Context context, boolean unreportedOnly) {
    List<Line> lines = new ArrayList<>();
    for (int i = 0; i < UsageWindow.SHARDS; i++) {
      int shard = i;
      Either<Failure, List<SealedWindow>> windows =
          context.keepers().call(k -> k.sealedWindows(shard, unreportedOnly, MOST_WINDOWS));
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
              time(window.getWindowStartMillis()),
              state,
              line.getCustomer(),
              line.getModel(),
              line.getRequests(),
              line.getInputTokens(),
              line.getOutputTokens(),
              time(line.getOccurredMillis())));
    }
  }

  private static List<Line> open(List<UsageCounter> counters) {
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
              time(counter.getWindowStartMillis())));
    }
    return lines;
  }

  private static String time(long millis) {
    return Instant.ofEpochMilli(millis).toString();
  }

  private static ExitCode print(Context context, List<Line> lines) {
    Table table =
        Table.of("WINDOW", "STATE", "CUSTOMER", "MODEL", "REQUESTS", "INPUT", "OUTPUT", "OCCURRED");
    lines.forEach(
        l ->
            table.row(
                l.window(),
                l.state(),
                l.customer(),
                l.model(),
                l.requests(),
                l.inputTokens(),
                l.outputTokens(),
                l.occurred()));
    context.printer().print(new Result(lines), table);
    return ExitCode.OK;
  }
}
