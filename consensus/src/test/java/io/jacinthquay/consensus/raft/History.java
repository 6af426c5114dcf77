package io.jacinthquay.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The input of a simulation, which is fully determined by these values. */
record History(long seed, int members, List<Step> steps) {
  private static final int MAX_STEPS = 60;
  static final int MAX_AMOUNT = 1 << 16;

  /** Draws the number of members and the steps from the seed. */
  static History random(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int members = random.nextInt(3) == 0 ? 5 : 3;
    List<Step> steps = new ArrayList<>();
    int count = random.nextInt(10, MAX_STEPS);
    for (int i = 0; i < count; i++) {
      Step.Kind kind = Step.Kind.WEIGHTED.get(random.nextInt(Step.Kind.WEIGHTED.size()));
      steps.add(step(kind, random.nextInt(MAX_AMOUNT), random));
    }
    return new History(seed, members, steps);
  }

  /**
   * Draws a history that isolates one replica after the other, often right after its election, so
   * that several logs hold entries of earlier terms.
   */
  static History withShortTerms(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Step> steps = new ArrayList<>();
    for (int round = 0; round < 20; round++) {
      steps.add(step(Step.Kind.CUT, 1 << random.nextInt(3), random));
      steps.add(step(Step.Kind.PROPOSE, 0, random));
      steps.add(step(Step.Kind.RUN, random.nextInt(100, 600), random));
    }
    return new History(seed, 3, steps);
  }

  private static Step step(Step.Kind kind, int amount, SplittableRandom random) {
    return new Step(kind, random.nextInt(MAX_AMOUNT), amount);
  }
}
