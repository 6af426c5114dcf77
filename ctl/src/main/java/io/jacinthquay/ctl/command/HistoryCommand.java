package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.gen.HistoryLine;
import java.time.Instant;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that lists committed changes, newest first. */
final class HistoryCommand implements Command {
  private static final int DEFAULT_LIMIT = 20;

  /** The JSON form of one change. */
  record Line(long version, String changeId, String committedAt, int edits, String author) {}

  /** The JSON form of the result. */
  record Result(List<Line> changes) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("history").help("list committed changes");
    parser.setDefault(CommandLine.COMMAND, this);
    parser
        .addArgument("--limit")
        .type(Integer.class)
        .setDefault(DEFAULT_LIMIT)
        .help("maximum number of changes to list [default: 20]");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    int limit = args.getInt("limit");
    return context
        .keepers()
        .call(keeper -> keeper.history(limit))
        .fold(context::fail, history -> print(context, history));
  }

  private static ExitCode print(Context context, List<HistoryLine> history) {
    Table table = Table.of("VERSION", "COMMITTED", "AUTHOR", "EDITS", "CHANGE ID");
    List<Line> lines = history.stream().map(HistoryCommand::line).toList();
    lines.forEach(
        line ->
            table.row(
                line.version(), line.committedAt(), line.author(), line.edits(), line.changeId()));
    context.printer().print(new Result(lines), table);
    return ExitCode.OK;
  }

  private static Line line(HistoryLine line) {
    return new Line(
        line.getVersion(),
        line.getChangeId(),
        Instant.ofEpochMilli(line.getCommittedAtMillis()).toString(),
        line.getEdits(),
        line.getAuthor());
  }
}
