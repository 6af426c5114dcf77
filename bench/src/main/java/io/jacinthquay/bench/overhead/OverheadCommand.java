package io.jacinthquay.bench.overhead;

import io.jacinthquay.bench.BenchCommand;
import io.jacinthquay.runtime.ExitCode;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;

/**
 * Runs {@code jq-bench overhead}: measures first-byte latency at a fixed rate and events relayed
 * per second, alternating in one run between direct calls to the engine and calls through the
 * router.
 */
public final class OverheadCommand implements BenchCommand {
  private static final double MICROS_PER_MILLI = 1_000;

  /** Rounds of direct and routed requests. */
  private static final int ROUNDS = 3;

  @Override
  public String name() {
    return "overhead";
  }

  @Override
  public String summary() {
    return "measures what the router adds, against calling the engine directly";
  }

  @Override
  public void declare(Subparser parser) {
    parser.addArgument("--rate").type(Integer.class).setDefault(500).help("requests per second");
    parser.addArgument("--seconds").type(Integer.class).setDefault(5).help("length of one round");
    parser
        .addArgument("--streams")
        .type(Integer.class)
        .setDefault(200)
        .help("concurrent streams while events are counted");
    parser.addArgument("--io-threads").type(Integer.class).setDefault(2).help("router threads");
  }

  @Override
  public ExitCode run(Namespace arguments, PrintStream out) {
    try (OverheadSetup setup = new OverheadSetup(arguments.getInt("io_threads"))) {
      measureFirstByte(arguments, setup, out);
      measureEvents(arguments, setup, out);
      return ExitCode.OK;
    }
  }

  private static void measureFirstByte(Namespace arguments, OverheadSetup setup, PrintStream out) {
    Duration round = Duration.ofSeconds(arguments.getInt("seconds"));
    int rate = arguments.getInt("rate");
    Histogram direct = new Histogram(3);
    Histogram routed = new Histogram(3);
    measure(setup.engine(), setup.directRequest(), rate, Duration.ofSeconds(2));
    measure(setup.router(), setup.routedRequest(), rate, Duration.ofSeconds(4));
    for (int i = 0; i < ROUNDS; i++) {
      direct.add(measure(setup.engine(), setup.directRequest(), rate, round));
      routed.add(measure(setup.router(), setup.routedRequest(), rate, round));
    }
    print(out, "first_byte_direct", direct);
    print(out, "first_byte_routed", routed);
    out.printf(
        Locale.ROOT,
        "{\"measure\":\"first_byte_added\",\"p50_ms\":%.3f,\"p99_ms\":%.3f}%n",
        difference(routed, direct, 50),
        difference(routed, direct, 99));
  }

  private static Histogram measure(
      InetSocketAddress address, byte[] request, int rate, Duration length) {
    return new FirstByteLoad(address, request, rate, length).run();
  }

  private static double difference(Histogram routed, Histogram direct, double percentile) {
    long micros = routed.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile);
    return micros / MICROS_PER_MILLI;
  }

  private static void print(PrintStream out, String name, Histogram histogram) {
    out.printf(
        Locale.ROOT,
        "{\"measure\":\"%s\",\"requests\":%d,\"p50_ms\":%.3f,\"p99_ms\":%.3f}%n",
        name,
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  private static void measureEvents(Namespace arguments, OverheadSetup setup, PrintStream out) {
    int streams = arguments.getInt("streams");
    Duration length = Duration.ofSeconds(arguments.getInt("seconds"));
    double direct = new EventLoad(setup.engine(), setup.longDirectRequest(), streams, length).run();
    double routed = new EventLoad(setup.router(), setup.longRoutedRequest(), streams, length).run();
    out.printf(
        Locale.ROOT,
        "{\"measure\":\"events_per_second\",\"streams\":%d,\"direct\":%.0f,\"routed\":%.0f}%n",
        streams,
        direct,
        routed);
  }
}
