package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.learning.EvidenceLog;
import io.jacinthquay.decision.learning.LearnedFigure;
import io.jacinthquay.decision.learning.RateEstimator;

/**
 * Records what one send shows of the speed of its upstream, where rates are learned.
 *
 * <p>Only responses that arrive are evidence of speed. A send that fetches a prefix from another
 * engine or resumes a stream is none for the prompt rate, since its time has other causes. Times
 * while the caller didn't read are none either.
 */
final class SendEvidence {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Time to the first event that doesn't depend on the prompt, in milliseconds: the round trip
   * between domains and one decoding step.
   */
  private static final double FIXED_MILLIS = 6;

  /** Factor on the expected time within which a response counts as usual. */
  private static final double USUAL_FACTOR = 2;

  /** Time beyond the expected one that always counts as usual, in milliseconds. */
  private static final double USUAL_EXTRA_MILLIS = 50;

  private final RateEstimator estimator;
  private final SentRequest sending;
  private final LearnedFigure figure;
  private final int tokensPerEvent;
  private final boolean resumed;
  private long openedNanos;
  private long lastEventNanos;
  private boolean begun;
  private boolean usual = true;
  private boolean wasReading;
  private boolean paused;
  private double outputTokens;
  private double outputMillis;

  /**
   * Returns the evidence of a send.
   *
   * @param tokensPerEvent output tokens of one event; 0 for a plain service
   * @param resumed whether the send resumes a stream
   */
  SendEvidence(
      RateEstimator estimator,
      SentRequest sending,
      LearnedFigure figure,
      int tokensPerEvent,
      boolean resumed) {
    this.estimator = estimator;
    this.sending = sending;
    this.figure = figure;
    this.tokensPerEvent = tokensPerEvent;
    this.resumed = resumed;
    this.openedNanos = sending.sentNanos();
  }

  private UpstreamListing upstream() {
    return sending.upstream().listing();
  }

  private EvidenceLog log() {
    return estimator.own();
  }

  /** Records that the request is about to be written to an open connection. */
  void recordOpened(long now) {
    openedNanos = now;
  }

  /** Records that the caller didn't read, so that reading from the upstream paused. */
  void recordPause() {
    paused = true;
  }

  private boolean isReading() {
    return sending.upstream().load().promptTokens() > 0;
  }

  /**
   * Records that the response of a plain service or the first event of a stream arrived, after the
   * prompt was taken off the upstream's load.
   *
   * <p>The prompts that wait now stand for those that were ahead of this one: on average they are
   * as many. The load known at the send isn't used, since the upstream was chosen because that was
   * low; with data some hundred milliseconds old, rates came out 40 % too low in a replay of 70
   * routers, and lower yet under high load.
   */
  void recordBegin(long now) {
    double millis = (now - openedNanos) / NANOS_PER_MILLI;
    begun = true;
    lastEventNanos = now;
    wasReading = isReading();
    double readMillis = tokensPerEvent > 0 ? Math.max(1, millis - FIXED_MILLIS) : millis;
    double tokens = (double) sending.upstream().load().promptTokens() + sending.unreadTokens();
    double expected = Math.max(figure.expectedMillis(), tokens / figure.promptTokensPerMilli());
    usual = resumed || readMillis <= USUAL_FACTOR * expected + USUAL_EXTRA_MILLIS;
    if (tokensPerEvent > 0 && !resumed && sending.source().isEmpty()) {
      log()
          .recordFirstEvent(
              upstream().upstream(), tokens, readMillis, figure.promptTokensPerMilli(), now);
      estimator.recordError(upstream().pool(), figure.expectedMillis(), readMillis);
    }
  }

  /**
   * Records that events of a stream arrived after its first ones.
   *
   * @param events how many
   */
  void recordEvents(int events, long now) {
    double millis = (now - lastEventNanos) / NANOS_PER_MILLI;
    double tokens = (double) events * tokensPerEvent;
    boolean reading = isReading();
    if (!paused && tokens > 0) {
      outputTokens += tokens;
      outputMillis += millis;
      if (reading || wasReading) {
        double expected = tokens * figure.millisPerToken();
        log().recordOutput(upstream().upstream(), tokens, millis, expected, now);
      }
    }
    paused = false;
    wasReading = reading;
    lastEventNanos = now;
  }

  /** Records that the response arrived completely. */
  void recordSuccess(long now) {
    if (begun && tokensPerEvent == 0) {
      double millis = Math.max(1, (lastEventNanos - openedNanos) / NANOS_PER_MILLI);
      log().recordOutput(upstream().upstream(), 1, millis, figure.millisPerToken(), now);
    }
    double usualMillis = USUAL_FACTOR * outputTokens * figure.millisPerToken() + USUAL_EXTRA_MILLIS;
    log().recordEnd(upstream().upstream(), usual && outputMillis <= usualMillis, now);
  }

  /** Records that the upstream failed or rejected the request. */
  void recordMiss(long now) {
    log().recordEnd(upstream().upstream(), false, now);
  }
}
