package io.jacinthquay.ctl.command;

import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.runtime.ExitCode;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that marks a VM or an upstream as leaving. */
final class DrainCommand implements Command {
  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("drain").help("mark a VM or upstream as leaving");
    parser.setDefault(CommandLine.COMMAND, this);
    parser.addArgument("vm").help("the VM or upstream");
    parser.addArgument("--undo").action(Arguments.storeTrue()).help("remove the mark");
    ChangeSender.addArguments(parser);
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    EntityKey state = new EntityKey(EntityKind.VM_STATE, args.getString("vm"));
    EntityEdit edit =
        args.getBoolean("undo")
            ? EntityEdit.remove(state)
            : EntityEdit.set(state, "{\"leaving\":true}");
    return ChangeSender.send(args, context, edit);
  }
}
