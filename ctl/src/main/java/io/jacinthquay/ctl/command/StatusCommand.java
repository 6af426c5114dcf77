package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.gen.KeeperStatus;
import io.jacinthquay.wire.gen.LeaseGrant;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that shows one keeper's view of the cluster, the readers and the leases. */
final class StatusCommand implements Command {
  /** The JSON form of one reader. */
  record Reader(String name, long inForce, long heardMillisAgo) {}

  /** The JSON form of one lease. */
  record Held(String name, String holder, long fencing, long leftMillis) {}

  /** The JSON form of the result. */
  record Result(
      String keeper,
      String role,
      String leader,
      long term,
      long commitIndex,
      long appliedIndex,
      long configVersion,
      List<String> members,
      List<Reader> readers,
      List<Held> leases) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("status").help("show keepers, readers and leases");
    parser.setDefault(CommandLine.COMMAND, this);
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    return context
        .keepers()
        .call(keeper -> keeper.status())
        .fold(context::fail, status -> print(context, status));
  }

  private static ExitCode print(Context context, KeeperStatus status) {
    Map<String, Long> ages = status.getHeardMillisAgo();
    List<Reader> readers =
        status.getInForce().entrySet().stream()
            .map(
                reader ->
                    new Reader(
                        reader.getKey(),
                        reader.getValue(),
                        ages.getOrDefault(reader.getKey(), -1L)))
            .toList();
    List<Held> leases = status.getLeases().stream().map(StatusCommand::heldLease).toList();
    Result result =
        new Result(
            status.getName(),
            status.getRole(),
            status.getLeader(),
            status.getTerm(),
            status.getCommitIndex(),
            status.getAppliedIndex(),
            status.getConfigVersion(),
            status.getMembers(),
            readers,
            leases);
    context.printer().print(result, table(result));
    return ExitCode.OK;
  }

  private static Held heldLease(LeaseGrant lease) {
    return new Held(
        lease.getName(), lease.getHolder(), lease.getFencing(), lease.getLengthMillis());
  }

  private static Table table(Result result) {
    Table table =
        Table.of("WHAT", "NAME", "STATE")
            .row("keeper", result.keeper(), result.role() + " in term " + result.term())
            .row("leader", result.leader(), "")
            .row("log", "", "commit " + result.commitIndex() + ", applied " + result.appliedIndex())
            .row("configuration", "", "version " + result.configVersion());
    result.members().forEach(member -> table.row("member", member, ""));
    result
        .readers()
        .forEach(
            reader ->
                table.row(
                    "reader",
                    reader.name(),
                    "version "
                        + reader.inForce()
                        + ", heard "
                        + reader.heardMillisAgo()
                        + " ms ago"));
    result
        .leases()
        .forEach(
            lease ->
                table.row(
                    "lease",
                    lease.name(),
                    lease.holder()
                        + ", fencing "
                        + lease.fencing()
                        + ", "
                        + lease.leftMillis()
                        + " ms left"));
    return table;
  }
}
