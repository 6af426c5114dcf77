package io.jacinthquay.ctl.command;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.model.policy.PolicyDiff;
import io.jacinthquay.model.policy.PolicyDocument;
import io.jacinthquay.runtime.ExitCode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that applies a policy document, so that it comes into force. */
final class ApplyCommand implements Command {
  private static final String EXPECT = "expect";

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("apply").help("put a policy document into force");
    parser.setDefault(CommandLine.COMMAND, this);
    parser.addArgument("--file").required(true).help("the policy document");
    parser
        .addArgument("--expect")
        .dest(EXPECT)
        .type(Long.class)
        .required(true)
        .help("version that the document is based on; 0 for the first");
    ChangeSender.addArguments(parser);
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    Optional<PolicyDocument> document = PolicyFile.read(args.getString("file"), context.printer());
    if (document.isEmpty()) {
      return ExitCode.REFUSED;
    }
    Either<Failure, Policy> current = PolicyFetcher.fetch(context);
    return current.fold(context::fail, policy -> apply(args, context, policy, document.get()));
  }

  private static ExitCode apply(
      Namespace args, Context context, Policy current, PolicyDocument document) {
    List<EntityEdit> edits = PolicyDiff.between(current.entities(), document.entities());
    long expected = args.getLong(EXPECT);
    if (edits.isEmpty() && current.version().value() == expected) {
      context.printer().note("nothing to change, version " + expected + " is in force");
      return ExitCode.OK;
    }
    String content = expected + " " + document.entities();
    String digest = KeyDigest.ofKey(content).hex();
    return ChangeSender.send(args, context, ChangeSender.changeId(args), expected, edits, digest);
  }
}
