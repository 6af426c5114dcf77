package io.jacinthquay.ctl.command;

import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.runtime.ExitCode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that takes a failure domain out of service or puts it back into service. */
final class DomainCommand implements Command {
  private static final String ACTION = "action";
  private static final String OUT = "out";
  private static final String IN = "in";

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("domain").help("take a failure domain out or back in");
    parser.setDefault(CommandLine.COMMAND, this);
    parser.addArgument(ACTION).choices(OUT, IN).help("out: no new requests are sent there");
    parser.addArgument("name").help("the failure domain");
    ChangeSender.addArguments(parser);
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    EntityKey state = new EntityKey(EntityKind.DOMAIN_STATE, args.getString("name"));
    EntityEdit edit =
        args.getString(ACTION).equals(OUT)
            ? EntityEdit.set(state, "{\"out\":true}")
            : EntityEdit.remove(state);
    return ChangeSender.send(args, context, edit);
  }
}
