package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.KeyRecord;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.runtime.ExitCode;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.Base64;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The subcommand that issues, withdraws and rotates API keys.
 *
 * <p>A key is generated here and printed once. It is never sent; the keepers store only its digest.
 */
final class KeyCommand implements Command {
  private static final String ACTION = "action";
  private static final String CUSTOMER = "customer";
  private static final String DIGEST = "digest";
  private static final String PREFIX = "jq_";
  private static final int KEY_BYTES = 32;

  /** The actions of the subcommand. */
  private enum Action {
    ISSUE,
    WITHDRAW,
    ROTATE
  }

  /** The JSON form of a new key. */
  record Issued(String customer, String key, String digest) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("key").help("issue, withdraw and rotate keys");
    Subparsers actions = parser.addSubparsers().metavar("ACTION");
    Subparser issue = addAction(actions, "issue", Action.ISSUE, "issue a key and print it once");
    issue.addArgument("--customer").required(true).help("the owner");
    String withdrawHelp = "withdraw a key permanently";
    addDigest(addAction(actions, "withdraw", Action.WITHDRAW, withdrawHelp));
    String rotateHelp = "withdraw a key and issue another to its owner in one change";
    addDigest(addAction(actions, "rotate", Action.ROTATE, rotateHelp));
  }

  private Subparser addAction(Subparsers actions, String name, Action action, String help) {
    Subparser parser = actions.addParser(name).help(help);
    parser.setDefault(CommandLine.COMMAND, this);
    parser.setDefault(ACTION, action);
    ChangeSender.addArguments(parser);
    return parser;
  }

  private static void addDigest(Subparser parser) {
    parser
        .addArgument("--digest")
        .required(true)
        .help("SHA-256 of the key in hexadecimal, as show --section keys lists it");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    try {
      Action action = args.get(ACTION);
      return action == Action.ISSUE
          ? issue(args, context, new CustomerId(args.getString(CUSTOMER)))
          : withdraw(args, context, new KeyDigest(args.getString(DIGEST)), action);
    } catch (IllegalArgumentException e) {
      return context.fail(Failure.of(ResultCode.SETTINGS_INVALID, e.getMessage()));
    }
  }

  private static ExitCode issue(Namespace args, Context context, CustomerId customer) {
    String key = newKey();
    ExitCode exit = ChangeSender.send(args, context, issueEdit(key, customer));
    return printUnlessRejected(exit, context, customer, key);
  }

  private static ExitCode withdraw(
      Namespace args, Context context, KeyDigest digest, Action action) {
    Either<Failure, KeyRecord> record =
        PolicyFetcher.fetch(context).flatMap(policy -> find(policy, digest));
    if (record.isLeft()) {
      return context.fail(record.getLeft());
    }
    CustomerId customer = record.get().customer();
    EntityEdit withdrawEdit =
        EntityEdit.set(key(digest), "{\"customer\":\"" + customer + "\",\"withdrawn\":true}");
    if (action == Action.WITHDRAW) {
      return ChangeSender.send(args, context, withdrawEdit);
    }
    String newKey = newKey();
    ExitCode exit = ChangeSender.send(args, context, withdrawEdit, issueEdit(newKey, customer));
    return printUnlessRejected(exit, context, customer, newKey);
  }

  private static Either<Failure, KeyRecord> find(Policy policy, KeyDigest digest) {
    return policy
        .key(digest)
        .<Either<Failure, KeyRecord>>map(Either::right)
        .orElseGet(() -> Either.left(Failure.of(ResultCode.ENTITY_UNKNOWN, "no such key")));
  }

  private static EntityKey key(KeyDigest digest) {
    return new EntityKey(EntityKind.KEY, digest.hex());
  }

  private static EntityEdit issueEdit(String key, CustomerId customer) {
    return EntityEdit.set(key(KeyDigest.ofKey(key)), "{\"customer\":\"" + customer + "\"}");
  }

  private static String newKey() {
    byte[] bytes = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(bytes);
    return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  /** Prints the key unless it was rejected; it may have been issued if the outcome is unknown. */
  private static ExitCode printUnlessRejected(
      ExitCode exit, Context context, CustomerId customer, String key) {
    if (exit == ExitCode.OK || exit == ExitCode.UNKNOWN) {
      String digest = KeyDigest.ofKey(key).hex();
      Table table = Table.of("CUSTOMER", "KEY", "DIGEST").row(customer, key, digest);
      context.printer().print(new Issued(customer.value(), key, digest), table);
    }
    return exit;
  }
}
