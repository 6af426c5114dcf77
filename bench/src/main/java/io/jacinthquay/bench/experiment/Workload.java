package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.placement.PromptPrefix;
import io.jacinthquay.decision.slots.RendezvousHash;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Generates requests: Poisson arrivals with bursts, heavy-tailed lengths and shared prefixes. */
final class Workload {
  static final int BLOCK_TOKENS = PromptPrefix.DEFAULT_BLOCK_TOKENS;

  private static final int MAX_OUTPUT_TOKENS = 2_000;
  private static final int MAX_PROMPT_BLOCKS = 48;
  private static final double OUTPUT_SIGMA = 0.9;
  private static final double MEDIAN_QUESTION_BLOCKS = 2;
  private static final double QUESTION_SIGMA = 0.8;
  private static final int MAX_CONVERSATIONS = 24;

  /** Length of a burst, in nanoseconds; the pause after it lasts the rest of the cycle. */
  private static final long BURST_NANOS = 2_000_000_000L;

  /** Length of a cycle of one burst and one pause, in burst lengths. */
  private static final int BURST_CYCLE = 4;

  private final WorkloadSettings settings;
  private final SplittableRandom random;
  private final Map<CustomerId, List<long[]>> conversations = new HashMap<>();
  private long nextRequestNumber;

  Workload(WorkloadSettings settings, SplittableRandom random) {
    this.settings = settings;
    this.random = random;
  }

  /** Returns the time until the next arrival, in nanoseconds. */
  long gap(long now) {
    return (long) (-Math.log(1 - random.nextDouble()) / rate(now) * 1e9);
  }

  private double rate(long now) {
    boolean burst = now / BURST_NANOS % BURST_CYCLE == 0;
    double calm = (BURST_CYCLE - settings.burstFactor()) / (BURST_CYCLE - 1);
    double mean = settings.ratePerSecond() * (1 + settings.floodShare());
    return mean * (burst ? settings.burstFactor() : calm);
  }

  static CustomerId customer(int number) {
    return new CustomerId("customer-" + number);
  }

  /** Returns the next request, which arrives now. */
  SimRequest next(long now) {
    double flood = settings.floodShare();
    boolean fromFlood = random.nextDouble() * (1 + flood) < flood;
    int classIndex = fromFlood ? WorkloadSettings.FLOOD_CLASS : pick(settings.classWeights());
    int customerIndex =
        fromFlood ? WorkloadSettings.FLOOD_CUSTOMER : pick(settings.customerWeights());
    CustomerId customer = customer(customerIndex);
    long[] blocks = prompt(customer);
    int output =
        (int)
            Math.min(MAX_OUTPUT_TOKENS, 1 + logNormal(settings.medianOutputTokens(), OUTPUT_SIGMA));
    int promptTokens = blocks.length * BLOCK_TOKENS + 1 + random.nextInt(BLOCK_TOKENS);
    return new SimRequest(
        new RequestId("r" + nextRequestNumber++),
        settings.classes().get(classIndex),
        customer,
        PromptPrefix.ofHashes(blocks, BLOCK_TOKENS),
        promptTokens,
        output,
        now);
  }

  private double logNormal(double median, double sigma) {
    return median * Math.exp(sigma * random.nextGaussian());
  }

  /** Returns a random index with probabilities in proportion to the weights. */
  private int pick(List<Double> weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double remaining = random.nextDouble() * sum;
    for (int i = 0; i < weights.size() - 1; i++) {
      remaining -= weights.get(i);
      if (remaining < 0) {
        return i;
      }
    }
    return weights.size() - 1;
  }

  /** Returns the blocks of a prompt, which continues an earlier one or starts with a template. */
  private long[] prompt(CustomerId customer) {
    List<long[]> kept = conversations.computeIfAbsent(customer, c -> new ArrayList<>());
    boolean continued = !kept.isEmpty() && random.nextDouble() < settings.conversationShare();
    long[] start = continued ? kept.remove(random.nextInt(kept.size())) : template(customer);
    int questionBlocks = 1 + (int) logNormal(MEDIAN_QUESTION_BLOCKS, QUESTION_SIGMA);
    long[] blocks = extend(start, Math.min(MAX_PROMPT_BLOCKS, start.length + questionBlocks));
    if (blocks.length < MAX_PROMPT_BLOCKS) {
      kept.add(blocks);
    }
    if (kept.size() > MAX_CONVERSATIONS) {
      kept.remove(0);
    }
    return blocks;
  }

  private long[] template(CustomerId customer) {
    long chain = RendezvousHash.mix(RendezvousHash.hash(customer.value()) + templateNumber());
    long[] blocks = new long[settings.templateTokens() / BLOCK_TOKENS];
    for (int i = 0; i < blocks.length; i++) {
      chain = RendezvousHash.mix(chain);
      blocks[i] = chain;
    }
    return blocks;
  }

  /** Returns a random template number; low numbers are more frequent. */
  private int templateNumber() {
    double skewed = Math.pow(random.nextDouble(), 2);
    return (int) (skewed * settings.templates());
  }

  /** Returns blocks extended to a length with random hashes. */
  private long[] extend(long[] start, int length) {
    long[] blocks = Arrays.copyOf(start, length);
    for (int i = start.length; i < length; i++) {
      blocks[i] = random.nextLong();
    }
    return blocks;
  }
}
