package io.jacinthquay.consensus.raft;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks the invariants of Raft on random histories that jqwik can shrink. */
class ConsensusProperties {
  private static final int MAX_STEPS = 60;

  @Provide
  Arbitrary<History> histories() {
    Arbitrary<Step.Kind> kinds = Arbitraries.of(Step.Kind.WEIGHTED);
    Arbitrary<Integer> amounts = Arbitraries.integers().between(0, History.MAX_AMOUNT);
    Arbitrary<Step> steps = Combinators.combine(kinds, amounts, amounts).as(Step::new);
    return Combinators.combine(
            Arbitraries.longs(), Arbitraries.of(3, 5), steps.list().ofMaxSize(MAX_STEPS))
        .as(History::new);
  }

  @Property(tries = 8000, seed = "20260104")
  void keepsAcknowledgedEntriesInEveryHistory(@ForAll("histories") History history) {
    SimCluster.simulate(history, Fault.NONE);
  }
}
