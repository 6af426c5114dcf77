package io.jacinthquay.decision.estimate;

/** Counts lengths in buckets that grow by a constant ratio; old counts decay. */
final class LengthHistogram {
  private static final int BUCKETS_PER_DOUBLING = 4;
  private static final int DOUBLINGS = 24;
  private static final int BUCKETS = BUCKETS_PER_DOUBLING * DOUBLINGS + 1;
  private static final double LOG_RATIO = Math.log(2) / BUCKETS_PER_DOUBLING;

  /** Total after which all counts are halved, so that half the weight is on recent answers. */
  private static final float DECAY_AT = 512;

  private final float[] counts = new float[BUCKETS];
  private float total;

  /** Counts one length, in tokens. */
  void add(long tokens) {
    counts[bucket(tokens)]++;
    total++;
    if (total >= DECAY_AT) {
      decay();
    }
  }

  /** Returns how many answers were longer than {@code tokens}, decayed. */
  double countAbove(long tokens) {
    if (tokens <= 0) {
      return total;
    }
    double sum = 0;
    for (int i = bucket(tokens) + 1; i < BUCKETS; i++) {
      sum += counts[i];
    }
    return sum;
  }

  /** Returns the mean of the lengths above {@code tokens}; call only if there are some. */
  double meanAbove(long tokens) {
    double sum = 0;
    double weight = 0;
    for (int i = first(tokens); i < BUCKETS; i++) {
      sum += counts[i] * middle(i);
      weight += counts[i];
    }
    return sum / weight;
  }

  /** Returns a quantile of the lengths above {@code tokens}; call only if there are some. */
  double quantileAbove(long tokens, double quantile) {
    double left = quantile * countAbove(tokens);
    int last = first(tokens);
    for (int i = last; i < BUCKETS; i++) {
      if (counts[i] > 0) {
        last = i;
        left -= counts[i];
      }
      if (left <= 0) {
        break;
      }
    }
    return middle(last);
  }

  private static int first(long tokens) {
    return tokens <= 0 ? 0 : bucket(tokens) + 1;
  }

  private static int bucket(long tokens) {
    if (tokens <= 1) {
      return 0;
    }
    return Math.min(BUCKETS - 1, (int) Math.ceil(Math.log(tokens) / LOG_RATIO - 1e-9));
  }

  private static double middle(int bucket) {
    return Math.exp(LOG_RATIO * (bucket - 0.5));
  }

  private void decay() {
    total = 0;
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] /= 2;
      total += counts[i];
    }
  }
}
