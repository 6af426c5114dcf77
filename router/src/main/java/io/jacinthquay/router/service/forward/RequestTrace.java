package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.learning.LearnedFigure;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** What was decided about a request and when, for its line in the log. */
final class RequestTrace {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Maximum number of part ids in the log line of a request. */
  private static final int MAX_LOGGED_PARTS = 8;

  private final ForwardRequest request;
  private final PoolRequest work;
  private final StringBuilder events = new StringBuilder();
  private long lastEventNanos;
  private long longestPauseNanos;
  private boolean firstLate;
  private boolean late;

  RequestTrace(ForwardRequest request, PoolRequest work) {
    this.request = request;
    this.work = work;
  }

  long millisSinceArrival(long now) {
    return (now - request.arrivedNanos()) / NANOS_PER_MILLI;
  }

  /** Adds an event. */
  void note(String event, Object detail) {
    events
        .append(" +")
        .append(millisSinceArrival(System.nanoTime()))
        .append("ms:")
        .append(event)
        .append('=')
        .append(detail);
  }

  /** Adds the load that a prompt meets at its upstream. */
  void notePrompt(SentRequest sending, UpstreamLoad loadBefore) {
    note("unread", sending.unreadTokens());
    note("ahead", loadBefore.promptTokens());
    note("beside", loadBefore.inFlight());
    sending.figure().ifPresent(this::noteFigure);
    sending.source().ifPresent(source -> note("fetches", source.upstream()));
  }

  /** Adds the learned rates on which the upstream was chosen. */
  private void noteFigure(LearnedFigure figure) {
    String rounded =
        String.format(
            Locale.ROOT,
            "%.1f/ms,%.1fms/token,age%dms",
            figure.promptTokensPerMilli(),
            figure.millisPerToken(),
            figure.ageMillis());
    note("learned", rounded);
    note("expected", Math.round(figure.expectedMillis()));
  }

  /**
   * Records that events of the answer are written to the caller.
   *
   * @param first whether they are the first ones
   */
  void recordEvents(boolean first) {
    long now = System.nanoTime();
    if (first) {
      firstLate = millisSinceArrival(now) > work.targetMillis();
    } else {
      longestPauseNanos = Math.max(longestPauseNanos, now - lastEventNanos);
    }
    lastEventNanos = now;
  }

  /**
   * Counts the stream as late, once: when its first event came after its target, or, where the
   * router learns rates, when a pause was longer than its target. The fleet is sized by this count.
   */
  void countIfLate(ForwardCore core) {
    boolean longPause =
        core.learnsRates()
            && work.gapTargetMillis() > 0
            && longestPauseNanos > work.gapTargetMillis() * NANOS_PER_MILLI;
    if (!late && (firstLate || longPause)) {
      late = true;
      core.counters(work.pool()).late++;
    }
  }

  /**
   * Returns the route, the timings and the events of the request.
   *
   * @param version version of the routing document in force
   */
  String summary(long version) {
    return "route="
        + request.route().name()
        + " version="
        + version
        + " customer="
        + request.customer().map(Object::toString).orElse("-")
        + " tier="
        + work.tier().value()
        + " tookMillis="
        + millisSinceArrival(System.nanoTime())
        + " pauseMillis="
        + longestPauseNanos / NANOS_PER_MILLI
        + sharedPartIds()
        + events;
  }

  private String sharedPartIds() {
    List<PromptPart> shared = work.sharedParts();
    return shared.stream()
        .limit(MAX_LOGGED_PARTS)
        .map(part -> Long.toHexString(part.id()))
        .collect(Collectors.joining("+", shared.isEmpty() ? "" : " sharedParts=", ""));
  }
}
