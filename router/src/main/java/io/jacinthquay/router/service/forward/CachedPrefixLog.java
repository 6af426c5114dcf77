package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;

/** Collects the shared prefixes that were sent to upstreams for the next report. */
final class CachedPrefixLog {
  /**
   * Shortest shared prefix that is reported, in tokens; the prefill of a shorter one takes only a
   * few milliseconds.
   */
  private static final int MIN_REPORTED_PREFIX_TOKENS = 1_000;

  /** Maximum number of shared prefixes in one report. */
  private static final int MAX_REPORTED_PREFIXES = 256;

  /**
   * Most parts of a prefix that are reported. What other routers know of a longer one is enough to
   * find the upstream that holds it.
   */
  private static final int MAX_PARTS_PER_PREFIX = 64;

  private final List<CachedPrefix> unreported = new ArrayList<>();

  /** Records the shared prefix of a request that was sent, if it is long enough. */
  void record(UpstreamId upstream, PoolRequest work) {
    List<PromptPart> shared = work.sharedParts();
    int tokens = shared.stream().mapToInt(PromptPart::tokens).sum();
    if (tokens >= MIN_REPORTED_PREFIX_TOKENS && unreported.size() < MAX_REPORTED_PREFIXES) {
      int reported = Math.min(shared.size(), MAX_PARTS_PER_PREFIX);
      unreported.add(new CachedPrefix(upstream, shared.subList(0, reported)));
    }
  }

  /** Returns the prefixes collected since the last call. */
  List<CachedPrefix> drain() {
    List<CachedPrefix> drained = List.copyOf(unreported);
    unreported.clear();
    return drained;
  }
}
