package io.jacinthquay.decision.estimate;

/** Histogram of output lengths with buckets that grow by a constant ratio; old counts decay. */
final class LengthHistogram {
  private static final int BUCKETS_PER_DOUBLING = 4;
  private static final int DOUBLINGS = 24;
  private static final int BUCKETS = BUCKETS_PER_DOUBLING * DOUBLINGS + 1;
  private static final double LOG_RATIO = Math.log(2) / BUCKETS_PER_DOUBLING;

  /** Total at which all counts are halved, so that recent answers keep half of the weight. */
  private static final float DECAY_AT = 512;

  private final float[] counts = new float[BUCKETS];
  private float total;

  /** Adds a length, in tokens. */
  void add(long tokens) {
    counts[bucket(tokens)]++;
    total++;
    if (total >= DECAY_AT) {
      decay();
    }
  }

  /** Returns the decayed count of answers longer than {@code tokens}. */
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

  /** Returns the mean of the lengths above {@code tokens}; requires a positive count above it. */
  double meanAbove(long tokens) {
    double sum = 0;
    double weight = 0;
    for (int i = firstBucketAbove(tokens); i < BUCKETS; i++) {
      sum += counts[i] * midpoint(i);
      weight += counts[i];
    }
    return sum / weight;
  }

  /** Returns a quantile of the lengths above {@code tokens}; requires a positive count above it. */
  double quantileAbove(long tokens, double quantile) {
    double remaining = quantile * countAbove(tokens);
    int result = firstBucketAbove(tokens);
    for (int i = result; i < BUCKETS; i++) {
      if (counts[i] > 0) {
        result = i;
        remaining -= counts[i];
      }
      if (remaining <= 0) {
        break;
      }
    }
    return midpoint(result);
  }

  private static int firstBucketAbove(long tokens) {
    return tokens <= 0 ? 0 : bucket(tokens) + 1;
  }

  private static int bucket(long tokens) {
    if (tokens <= 1) {
      return 0;
    }
    return Math.min(BUCKETS - 1, (int) Math.ceil(Math.log(tokens) / LOG_RATIO - 1e-9));
  }

  private static double midpoint(int bucket) {
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
