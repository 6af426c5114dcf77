package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Sends changes to the keepers and prints the results. */
final class ChangeSender {
  /** Expected version of an edit of keys or states, which applies to any current version. */
  static final long ANY_VERSION = -1;

  private static final String CHANGE_ID = "change_id";
  private static final String CONFIRM_MILLIS = "confirm_ms";
  private static final int DEFAULT_CONFIRM_MILLIS = 5_000;

  private ChangeSender() {}

  /** The JSON form of an accepted change. */
  record Result(
      long version,
      String changeId,
      boolean resent,
      List<String> confirmed,
      List<String> notConfirmed) {}

  static void addArguments(Subparser parser) {
    parser
        .addArgument("--change-id")
        .dest(CHANGE_ID)
        .help("id of the change; a retry must use the same id [default: generated and printed]");
    parser
        .addArgument("--confirm-ms")
        .dest(CONFIRM_MILLIS)
        .type(Integer.class)
        .setDefault(DEFAULT_CONFIRM_MILLIS)
        .help("how long to wait for readers to confirm, in ms [default: 5000]");
  }

  static String changeId(Namespace args) {
    String argument = args.getString(CHANGE_ID);
    return argument != null ? argument : UUID.randomUUID().toString();
  }

  /** Sends edits of keys or states without an expected version. */
  static ExitCode send(Namespace args, Context context, EntityEdit... edits) {
    return send(args, context, changeId(args), ANY_VERSION, List.of(edits), null);
  }

  /**
   * Sends a change.
   *
   * @param changeId identifies the change; a retry must use the same id
   * @param expected the version that the change is based on, or {@link #ANY_VERSION}
   * @param edits the edits
   * @param contentDigest digest of the requested content, which identifies a retry even if its
   *     edits differ; if null, the edits are compared
   */
  static ExitCode send(
      Namespace args,
      Context context,
      String changeId,
      long expected,
      List<EntityEdit> edits,
      String contentDigest) {
    ApplyRequest request =
        new ApplyRequest(
            changeId,
            expected,
            edits.stream().map(ConfigMessages::toMessage).toList(),
            args.getInt(CONFIRM_MILLIS));
    request.setContentDigest(contentDigest);
    context.printer().note("change id " + changeId);
    Either<Failure, ApplyAnswer> answer = context.keepers().call(keeper -> keeper.apply(request));
    return answer.fold(context::fail, applied -> print(context, changeId, applied));
  }

  private static ExitCode print(Context context, String changeId, ApplyAnswer answer) {
    Result result =
        new Result(
            answer.getVersion(),
            changeId,
            answer.isResent(),
            answer.getConfirmed(),
            answer.getNotConfirmed());
    Table table =
        Table.of("VERSION", "RESENT", "CONFIRMED", "NOT CONFIRMED")
            .row(
                result.version(),
                result.resent(),
                result.confirmed().size(),
                String.join(" ", result.notConfirmed()));
    context.printer().print(result, table);
    return ExitCode.OK;
  }
}
