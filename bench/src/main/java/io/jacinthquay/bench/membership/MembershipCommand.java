package io.jacinthquay.bench.membership;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.bench.report.ResultTable;
import io.jacinthquay.decision.membership.GossipNode;
import io.jacinthquay.decision.membership.MemberView;
import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.decision.membership.SummaryView;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.wire.convert.GossipMessages;
import io.jacinthquay.wire.gen.Peer;
import io.jacinthquay.wire.gen.PeerBatch;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TTransportException;

/** {@code jq-bench membership}: bytes, detection times and false deaths of the membership. */
public final class MembershipCommand implements BenchCommand {
  /** Frame length, TLS record, and headers of TCP and IP with an acknowledgement, in bytes. */
  private static final int OVERHEAD_BYTES = 4 + 22 + 52 + 52;

  private static final int SETTLE_SECONDS = 180;
  private static final int MEASURE_SECONDS = 30;
  private static final int KILLS = 5;
  private static final double STEP_SECONDS = 0.05;
  private static final double GIVE_UP_SECONDS = 60;
  private static final double SECONDS_PER_DAY = 86_400;

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public String summary() {
    return "measure bytes, detection times and false deaths of the membership in virtual time";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--members").type(Integer.class).setDefault(64).help("number of members");
    parser.addArgument("--domains").type(Integer.class).setDefault(1).help("failure domains");
    parser.addArgument("--loss").type(Double.class).setDefault(0.01).help("share of loss");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed");
    parser
        .addArgument("--hours")
        .type(Double.class)
        .setDefault(0.1)
        .help("virtual time in which false deaths are counted");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    int members = arguments.getInt("members");
    int domains = arguments.getInt("domains");
    double loss = arguments.getDouble("loss");
    long seed = arguments.getLong("seed");
    MembershipTrial trial =
        new MembershipTrial(members, domains, loss, seed, MembershipCommand::size);
    trial.run(SETTLE_SECONDS);
    long bytes = trial.bytes();
    long messages = trial.messages();
    trial.run(MEASURE_SECONDS);
    double both = 2.0 / members / MEASURE_SECONDS;
    double bytesPerSecond = (trial.bytes() - bytes) * both;
    double messagesPerSecond = (trial.messages() - messages) * both;
    double loadAge = loadAge(trial);
    double summaryAge = summaryAge(trial);
    double[] quiet = falseDeaths(trial, arguments.getDouble("hours"));
    double[] detection = detect(trial, Math.min(KILLS, members - 1));
    out.println(
        ResultTable.line(
            new MembershipResult(
                members,
                domains,
                loss,
                seed,
                bytesPerSecond,
                messagesPerSecond,
                detection.length,
                Arrays.stream(detection).max().orElse(0),
                Arrays.stream(detection).average().orElse(0),
                loadAge,
                summaryAge,
                quiet[0],
                quiet[1])));
    return ExitCode.OK;
  }

  /** Returns the bytes of a message as it is sent between routers. */
  static int size(OutgoingMessage outgoing) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(512);
      PeerBatch batch =
          new PeerBatch(
              List.of(),
              List.of(),
              List.of(GossipMessages.toMessage(outgoing.message())),
              List.of(),
              List.of());
      new Peer.Client(new TCompactProtocol(buffer)).deliver(batch);
      return buffer.length() + OVERHEAD_BYTES;
    } catch (TTransportException e) {
      throw new IllegalStateException("no memory buffer", e);
    } catch (TException e) {
      throw new IllegalStateException("a message cannot be written", e);
    }
  }

  private static double loadAge(MembershipTrial trial) {
    double[] ages =
        trial.running().stream()
            .flatMap(n -> n.members(trial.now()).stream())
            .mapToLong(MemberView::loadAgeMillis)
            .mapToDouble(ms -> ms / 1e3)
            .sorted()
            .toArray();
    return ages.length == 0 ? 0 : ages[(int) (ages.length * 0.95)];
  }

  private static double summaryAge(MembershipTrial trial) {
    return trial.running().stream()
            .flatMap(n -> n.domains(trial.now()).stream())
            .mapToLong(SummaryView::ageMillis)
            .max()
            .orElse(0)
        / 1e3;
  }

  /** Returns refuted suspicions and false deaths per day, seen once a second. */
  private static double[] falseDeaths(MembershipTrial trial, double hours) {
    long refuted = trial.refutations();
    double seconds = hours * 3_600;
    long deaths = 0;
    for (double passed = 0; passed < seconds; passed++) {
      trial.run(1);
      deaths += trial.falseDeaths();
    }
    double perDay = seconds == 0 ? 0 : SECONDS_PER_DAY / seconds;
    return new double[] {(trial.refutations() - refuted) * perDay, deaths * perDay};
  }

  /** Ends members one after the other and returns the seconds until all knew. */
  private static double[] detect(MembershipTrial trial, int kills) {
    double[] seconds = new double[kills];
    for (int i = 0; i < kills; i++) {
      GossipNode victim = trial.running().get((i * 7) % trial.running().size());
      VmId id = victim.self().id();
      DomainId domain = victim.self().domain();
      trial.kill(id);
      double passed = 0;
      while (passed < GIVE_UP_SECONDS && isAlone(trial, domain) && trial.holdForLive(id) > 0) {
        trial.run(STEP_SECONDS);
        passed += STEP_SECONDS;
      }
      seconds[i] = passed;
      trial.run(1);
    }
    return seconds;
  }

  private static boolean isAlone(MembershipTrial trial, DomainId domain) {
    return trial.running().stream().anyMatch(n -> n.self().domain().equals(domain));
  }
}
