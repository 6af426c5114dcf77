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

/** Runs {@code jq-bench membership}: measures traffic, detection times and false deaths. */
public final class MembershipCommand implements BenchCommand {
  /** Frame length, TLS record, and headers of TCP and IP with an acknowledgement, in bytes. */
  private static final int MESSAGE_OVERHEAD_BYTES = 4 + 22 + 52 + 52;

  /** Virtual time before the measurement. */
  private static final int SETTLE_SECONDS = 180;

  private static final int MEASURE_SECONDS = 30;

  /** Members that are killed to measure detection. */
  private static final int KILLS = 5;

  private static final double STEP_SECONDS = 0.05;

  /** Time after which the wait for the detection of a killed member ends. */
  private static final double DETECTION_TIMEOUT_SECONDS = 60;

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
    parser
        .addArgument("--loss")
        .type(Double.class)
        .setDefault(0.01)
        .help("share of messages lost, 0 to 1");
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
        new MembershipTrial(members, domains, loss, seed, MembershipCommand::serializedSize);
    trial.run(SETTLE_SECONDS);
    long bytesBefore = trial.sentBytes();
    long messagesBefore = trial.sentMessages();
    trial.run(MEASURE_SECONDS);
    // Each message counts for its sender and for its receiver.
    double perMemberSecond = 2.0 / members / MEASURE_SECONDS;
    double bytesPerSecond = (trial.sentBytes() - bytesBefore) * perMemberSecond;
    double messagesPerSecond = (trial.sentMessages() - messagesBefore) * perMemberSecond;
    double loadAge = loadAge(trial);
    double summaryAge = summaryAge(trial);
    double[] falseAlarms = falseAlarmsPerDay(trial, arguments.getDouble("hours"));
    double[] detection = measureDetection(trial, Math.min(KILLS, members - 1));
    out.println(
        ResultTable.toJson(
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
                falseAlarms[0],
                falseAlarms[1])));
    return ExitCode.OK;
  }

  /** Returns the size of a message as sent between routers, in bytes, with all headers. */
  static int serializedSize(OutgoingMessage outgoing) {
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
      return buffer.length() + MESSAGE_OVERHEAD_BYTES;
    } catch (TTransportException e) {
      throw new IllegalStateException("cannot create a memory buffer", e);
    } catch (TException e) {
      throw new IllegalStateException("cannot serialize a gossip message", e);
    }
  }

  /** Returns the 95th percentile of the ages of all known loads, in seconds. */
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

  /** Returns the largest age of a known summary, in seconds. */
  private static double summaryAge(MembershipTrial trial) {
    return trial.running().stream()
            .flatMap(n -> n.domains(trial.now()).stream())
            .mapToLong(SummaryView::ageMillis)
            .max()
            .orElse(0)
        / 1e3;
  }

  /** Returns refuted suspicions and false deaths per day, sampled once per second. */
  private static double[] falseAlarmsPerDay(MembershipTrial trial, double hours) {
    long refutedBefore = trial.refutations();
    double seconds = hours * 3_600;
    long deaths = 0;
    for (double elapsed = 0; elapsed < seconds; elapsed++) {
      trial.run(1);
      deaths += trial.falseDeaths();
    }
    double perDay = seconds == 0 ? 0 : SECONDS_PER_DAY / seconds;
    return new double[] {(trial.refutations() - refutedBefore) * perDay, deaths * perDay};
  }

  /** Kills members one after the other; returns the seconds until all others detected each. */
  private static double[] measureDetection(MembershipTrial trial, int kills) {
    double[] seconds = new double[kills];
    for (int i = 0; i < kills; i++) {
      GossipNode victim = trial.running().get((i * 7) % trial.running().size());
      VmId id = victim.self().id();
      DomainId domain = victim.self().domain();
      trial.kill(id);
      double elapsed = 0;
      while (elapsed < DETECTION_TIMEOUT_SECONDS
          && hasRunningMember(trial, domain)
          && trial.countSeeingLive(id) > 0) {
        trial.run(STEP_SECONDS);
        elapsed += STEP_SECONDS;
      }
      seconds[i] = elapsed;
      trial.run(1);
    }
    return seconds;
  }

  private static boolean hasRunningMember(MembershipTrial trial, DomainId domain) {
    return trial.running().stream().anyMatch(n -> n.self().domain().equals(domain));
  }
}
