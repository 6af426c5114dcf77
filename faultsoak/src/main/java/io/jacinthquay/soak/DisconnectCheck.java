package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Checks that work for a request ends, and none starts, within 500 ms after its caller disconnects.
 */
final class DisconnectCheck implements Check {
  /** Longest time that work may go on after a disconnect. */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A fault that ended at most this long before a disconnect may still delay the cancellation. */
  private static final long LOOKBACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  @Override
  public String guarantee() {
    return "no work for callers that have left";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<FaultPeriod> faultPeriods = history.faultPeriods();
    List<History.Disconnect> disconnects = history.disconnects();
    List<History.UpstreamClose> closes = history.upstreamCloses();
    Map<RequestId, List<Run>> runs =
        history.runs().stream().collect(Collectors.groupingBy(Run::id));
    for (Call call : history.calls()) {
      if (call.ending() == Call.Ending.LEFT) {
        long disconnectNanos = routerNoticedNanos(call, disconnects);
        for (Run run : runs.getOrDefault(call.id(), List.of())) {
          judge(call, disconnectNanos, run, faultPeriods, closes, verdict);
        }
      }
    }
    return verdict;
  }

  /**
   * Returns when the router could notice that a caller disconnected: the link may have delayed the
   * end of the connection.
   */
  private static long routerNoticedNanos(Call call, List<History.Disconnect> disconnects) {
    return disconnects.stream()
        .filter(
            disconnect -> disconnect.router() == call.router() && disconnect.port() == call.port())
        .mapToLong(History.Disconnect::atNanos)
        .filter(disconnectNanos -> disconnectNanos - call.endNanos() >= 0)
        .min()
        .orElse(call.endNanos());
  }

  /** Returns the longest time that a link delayed the disconnect of a caller. */
  static long longestDisconnectDelayNanos(History history) {
    List<History.Disconnect> disconnects = history.disconnects();
    return history.calls().stream()
        .filter(call -> call.ending() == Call.Ending.LEFT)
        .mapToLong(call -> routerNoticedNanos(call, disconnects) - call.endNanos())
        .max()
        .orElse(0);
  }

  private static void judge(
      Call call,
      long disconnectNanos,
      Run run,
      List<FaultPeriod> faultPeriods,
      List<History.UpstreamClose> closes,
      Verdict verdict) {
    long delayNanos = Math.max(run.beganNanos(), run.endNanos()) - disconnectNanos;
    boolean inTime = delayNanos <= MAX_DELAY_NANOS;
    boolean explained =
        faultPeriods.stream()
            .filter(
                period ->
                    period.overlaps(
                        disconnectNanos - lookbackNanos(period), disconnectNanos + MAX_DELAY_NANOS))
            .anyMatch(period -> mayDelay(period, call, run));
    if (!inTime && explained) {
      verdict.skip();
      return;
    }
    verdict.judge(inTime, inTime ? "" : describe(call, disconnectNanos, run, closes));
  }

  /** Describes a run with each step between the caller's end and that of the run. */
  private static String describe(
      Call call, long disconnectNanos, Run run, List<History.UpstreamClose> closes) {
    long delayNanos = Math.max(run.beganNanos(), run.endNanos()) - disconnectNanos;
    return call.id().value()
        + " ("
        + call.kind()
        + ") ran on upstream "
        + run.upstream()
        + " for "
        + TimeUnit.NANOSECONDS.toMillis(delayNanos)
        + " ms after its caller left router "
        + call.router()
        + " at "
        + timeOfDay(disconnectNanos)
        + "; relative to that, it was sent at "
        + millisBetween(disconnectNanos, call.sentNanos())
        + " ms, its run began at "
        + millisBetween(disconnectNanos, run.beganNanos())
        + " ms, its caller closed at "
        + millisBetween(disconnectNanos, call.endNanos())
        + " ms, "
        + closes.stream()
            .filter(close -> close.upstream() == run.upstream() && close.port() == run.port())
            .filter(close -> close.forwardedNanos() - run.beganNanos() >= 0)
            .min(Comparator.comparingLong(close -> close.seenNanos() - disconnectNanos))
            .map(close -> describe(close, disconnectNanos))
            .orElse("the upstream's link saw no close");
  }

  private static String describe(History.UpstreamClose close, long disconnectNanos) {
    return "the upstream's link saw the router's close at "
        + millisBetween(disconnectNanos, close.seenNanos())
        + " ms and forwarded it at "
        + millisBetween(disconnectNanos, close.forwardedNanos())
        + " ms";
  }

  private static long millisBetween(long fromNanos, long toNanos) {
    return TimeUnit.NANOSECONDS.toMillis(toNanos - fromNanos);
  }

  /** Returns the time of day at which the routers' logs show what happened at the same time. */
  private static Instant timeOfDay(long nanos) {
    return Instant.now().plusNanos(nanos - System.nanoTime()).truncatedTo(ChronoUnit.MILLIS);
  }

  /**
   * Returns how long after its end a fault may still delay a cancellation. A restarted router needs
   * longer, until it is in contact with the control VMs again.
   */
  private static long lookbackNanos(FaultPeriod period) {
    return switch (period.kind()) {
      case ROUTER_KILLED, ROUTER_STOPPED -> ContactLoss.ISOLATION_NANOS;
      default -> LOOKBACK_NANOS;
    };
  }

  private static boolean mayDelay(FaultPeriod period, Call call, Run run) {
    return switch (period.kind().where()) {
      case ROUTER -> period.affects(call.router());
      case UPSTREAM -> period.affects(run.upstream());
      case OBSERVER -> true;
      default -> false;
    };
  }
}
