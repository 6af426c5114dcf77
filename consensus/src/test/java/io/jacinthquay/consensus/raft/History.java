package io.jacinthquay.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A whole run: it follows from these values alone. */
record History(long seed, int members, List<Step> steps) {
  private static final int MAX_STEPS = 60;
  static final int MAX_AMOUNT = 1 << 16;

  /** Draws members and steps from the seed. */
  static History random(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int members = random.nextInt(3) == 0 ? 5 : 3;
    List<Step> steps = new ArrayList<>();
    int count = random.nextInt(10, MAX_STEPS);
    Step.Kind[] kinds = Step.Kind.values();
    for (int i = 0; i < count; i++) {
      Step.Kind kind =
          random.nextInt(3) == 0 ? Step.Kind.PROPOSE : kinds[random.nextInt(kinds.length)];
      steps.add(new Step(kind, random.nextInt(MAX_AMOUNT), random.nextInt(MAX_AMOUNT)));
    }
    return new History(seed, members, steps);
  }
}
