package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.service.forward.ForwardOracle.Invariant;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Invariants of forwarded requests under events in random order. */
final class ForwardExchangeProperties {
  private static final int MAX_STEPS = 60;
  private static final int MAX_UPSTREAMS = 3;
  private static final int MAX_SLOTS = 2;
  private static final int TRIES = 8_000;
  private static final String SEED = "20261204";

  record History(List<Integer> slots, boolean initialized, List<ForwardStep> steps) {
    void assertHolds(Invariant invariant) {
      assertHolds(invariant, false);
      assertHolds(invariant, true);
    }

    private void assertHolds(Invariant invariant, boolean learnsRates) {
      ForwardSimulation simulation = new ForwardSimulation(slots, initialized, learnsRates);
      steps.forEach(simulation::play);
      simulation.finish();
      simulation.oracle().assertHolds(invariant);
    }
  }

  @Provide
  Arbitrary<History> histories() {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, ForwardStep.MAX_NUMBER);
    Arbitrary<ForwardStep> steps =
        Combinators.combine(Arbitraries.of(ForwardStep.Kind.WEIGHTED), numbers, numbers)
            .as(ForwardStep::new);
    Arbitrary<List<Integer>> slots =
        Arbitraries.integers().between(1, MAX_SLOTS).list().ofMinSize(1).ofMaxSize(MAX_UPSTREAMS);
    Arbitrary<Boolean> initialized = Arbitraries.of(true, true, true, false);
    return Combinators.combine(slots, initialized, steps.list().ofMaxSize(MAX_STEPS))
        .as(History::new);
  }

  @Property(tries = TRIES, seed = SEED)
  void refusedRequestNeverRuns(@ForAll("histories") History history) {
    history.assertHolds(Invariant.REFUSED_MEANS_NOT_RUN);
  }

  @Property(tries = TRIES, seed = SEED)
  void requestRunsAtMostAsOftenAsItsRouteAllows(@ForAll("histories") History history) {
    history.assertHolds(Invariant.RUNS_AT_MOST_AS_OFTEN_AS_ALLOWED);
  }

  @Property(tries = TRIES, seed = SEED)
  void callerGetsAtMostOneAnswer(@ForAll("histories") History history) {
    history.assertHolds(Invariant.AT_MOST_ONE_ANSWER);
  }

  @Property(tries = TRIES, seed = SEED)
  void noSendIsPendingAfterItsRequestEnded(@ForAll("histories") History history) {
    history.assertHolds(Invariant.NO_PENDING_SEND_AFTER_END);
  }

  @Property(tries = TRIES, seed = SEED)
  void unusedAnswerIsNotReadForever(@ForAll("histories") History history) {
    history.assertHolds(Invariant.NO_UNUSED_ANSWER_STILL_READ);
  }

  @Property(tries = TRIES, seed = SEED)
  void everyRequestEnds(@ForAll("histories") History history) {
    history.assertHolds(Invariant.EVERY_REQUEST_ENDS);
  }
}
