package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.model.policy.PolicyDiff;
import io.jacinthquay.model.policy.PolicyDocument;
import io.jacinthquay.runtime.ExitCode;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that shows what a policy document would change. */
final class DiffCommand implements Command {
  /** The JSON form of one edit. */
  record Line(String action, String section, String name, String before, String after) {}

  /** The JSON form of the result. */
  record Result(long version, List<Line> edits) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("diff").help("show what a document would change");
    parser.setDefault(CommandLine.COMMAND, this);
    parser.addArgument("--file").required(true).help("the policy document");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    Optional<PolicyDocument> document = PolicyFile.read(args.getString("file"), context.printer());
    if (document.isEmpty()) {
      return ExitCode.REFUSED;
    }
    return PolicyFetcher.fetch(context)
        .fold(context::fail, current -> print(context, current, document.get()));
  }

  private static ExitCode print(Context context, Policy current, PolicyDocument document) {
    List<Line> lines =
        PolicyDiff.between(current.entities(), document.entities()).stream()
            .map(edit -> line(current, edit))
            .toList();
    Table table = Table.of("ACTION", "SECTION", "NAME", "BEFORE", "AFTER");
    lines.forEach(
        line -> table.row(line.action(), line.section(), line.name(), line.before(), line.after()));
    context.printer().print(new Result(current.version().value(), lines), table);
    return ExitCode.OK;
  }

  private static Line line(Policy current, EntityEdit edit) {
    String before = current.entity(edit.key()).orElse("");
    String after = edit.json().orElse("");
    String action = before.isEmpty() ? "add" : after.isEmpty() ? "remove" : "change";
    return new Line(action, edit.key().kind().section(), edit.key().name(), before, after);
  }
}
