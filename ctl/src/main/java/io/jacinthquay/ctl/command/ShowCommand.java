package io.jacinthquay.ctl.command;

import com.fasterxml.jackson.annotation.JsonRawValue;
import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.runtime.ExitCode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that shows the configuration in force. */
final class ShowCommand implements Command {
  /** The JSON form of one entity. */
  record Line(String section, String name, @JsonRawValue String entity) {}

  /** The JSON form of the result. */
  record Result(long version, List<Line> entities) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("show").help("show the configuration in force");
    parser.setDefault(CommandLine.COMMAND, this);
    parser
        .addArgument("--section")
        .choices(Arrays.stream(EntityKind.values()).map(EntityKind::section).toList())
        .help("only this section");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    return PolicyFetcher.fetch(context)
        .fold(context::fail, policy -> print(context, policy, args.getString("section")));
  }

  private static ExitCode print(Context context, Policy policy, String section) {
    List<Line> lines = new ArrayList<>();
    Table table = Table.of("SECTION", "NAME", "ENTITY");
    policy
        .entities()
        .forEach(
            (key, json) -> {
              if (section == null || key.kind().section().equals(section)) {
                lines.add(new Line(key.kind().section(), key.name(), json));
                table.row(key.kind().section(), key.name(), json);
              }
            });
    context.printer().note("version " + policy.version().value());
    context.printer().print(new Result(policy.version().value(), lines), table);
    return ExitCode.OK;
  }
}
