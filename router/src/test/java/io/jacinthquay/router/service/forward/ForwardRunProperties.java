package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.service.forward.ForwardOracle.Promise;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** What callers and upstreams see of forwarded requests, with events in any order. */
final class ForwardRunProperties {
  private static final int MAX_STEPS = 60;
  private static final int MAX_UPSTREAMS = 3;
  private static final int MAX_SLOTS = 2;
  private static final int TRIES = 8_000;
  private static final String SEED = "20261204";

  record History(List<Integer> slots, boolean informed, List<ForwardStep> steps) {
    void keeps(Promise promise) {
      ForwardWorld world = new ForwardWorld(slots, informed);
      steps.forEach(world::play);
      world.finish();
      world.oracle().assertKept(promise);
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
    Arbitrary<Boolean> informed = Arbitraries.of(true, true, true, false);
    return Combinators.combine(slots, informed, steps.list().ofMaxSize(MAX_STEPS)).as(History::new);
  }

  @Property(tries = TRIES, seed = SEED)
  void refusedRequestsHaveNotRunAndNeverDo(@ForAll("histories") History history) {
    history.keeps(Promise.REFUSED_MEANS_NOT_RUN);
  }

  @Property(tries = TRIES, seed = SEED)
  void requestsRunNoMoreOftenThanAllowed(@ForAll("histories") History history) {
    history.keeps(Promise.RUNS_NO_MORE_THAN_ALLOWED);
  }

  @Property(tries = TRIES, seed = SEED)
  void callersGetOneAnswer(@ForAll("histories") History history) {
    history.keeps(Promise.ONE_ANSWER);
  }

  @Property(tries = TRIES, seed = SEED)
  void noSendOutlivesItsRequest(@ForAll("histories") History history) {
    history.keeps(Promise.OVER_MEANS_CANCELLED);
  }

  @Property(tries = TRIES, seed = SEED)
  void noAnswerIsReadForEver(@ForAll("histories") History history) {
    history.keeps(Promise.NO_ANSWER_LEFT_OPEN);
  }

  @Property(tries = TRIES, seed = SEED)
  void everyRequestEnds(@ForAll("histories") History history) {
    history.keeps(Promise.ENDS);
  }
}
