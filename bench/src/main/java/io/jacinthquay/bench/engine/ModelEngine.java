package io.jacinthquay.bench.engine;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.decision.placement.PromptPrefix;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A simulated model engine with continuous batching, in virtual time.
 *
 * <p>Each step computes one token of every request whose prefill is complete and a chunk of the
 * remaining prompts. Requests beyond the batch limit wait in the order of their priority.
 */
public final class ModelEngine {
  private static final Comparator<EngineJob> BY_PRIORITY = Comparator.comparingInt(j -> j.priority);

  /** Factor by which a step takes longer while the batch exceeds the concurrency limit. */
  private static final double OVERLOAD_FACTOR = 2;

  private final UpstreamId id;
  private final DomainId domain;
  private final EngineSettings settings;
  private final EventQueue events;
  private final PrefixCache cache;
  private final List<EngineJob> running = new ArrayList<>();
  private final List<EngineJob> waiting = new ArrayList<>();
  private long warmUpStartNanos;
  private double slowFactor = 1;
  private boolean up = true;
  private boolean stepping;
  private int epoch;
  private long cacheSequence;
  private boolean cacheCleared;
  private boolean reportsWarmUp;
  private long computedTokens;
  private long breaches;

  /**
   * Returns an engine.
   *
   * @param warm whether its warm-up is complete
   */
  public ModelEngine(
      UpstreamId id, DomainId domain, EngineSettings settings, EventQueue events, boolean warm) {
    this.id = id;
    this.domain = domain;
    this.settings = settings;
    this.events = events;
    this.cache = new PrefixCache(settings.cacheBlocks());
    this.warmUpStartNanos = warm ? events.now() - settings.warmUpNanos() : events.now();
  }

  /** Returns the id. */
  public UpstreamId id() {
    return id;
  }

  /** Returns the failure domain. */
  public DomainId domain() {
    return domain;
  }

  /** Returns the speed and capacity. */
  public EngineSettings settings() {
    return settings;
  }

  /** Returns whether the engine is running. */
  public boolean isUp() {
    return up;
  }

  /** Returns the prompt and output tokens computed so far. */
  public long computedTokens() {
    return computedTokens;
  }

  /** Returns the number of requests received while at or above the concurrency limit. */
  public long breaches() {
    return breaches;
  }

  /** Returns the number of leading tokens of a prompt that are in the prefix cache. */
  public int cachedTokens(PromptPrefix prefix) {
    return cache.match(prefix) * prefix.blockTokens();
  }

  /** Returns the number of running and waiting requests. */
  public int load() {
    return running.size() + waiting.size();
  }

  /** Sets the factor by which every step takes longer; 1 for none. */
  public void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /** Clears the cache and restarts the warm-up, without reporting either. */
  public void resetSilently() {
    cache.clear();
    warmUpStartNanos = events.now();
  }

  /** Stops at once; every request fails. */
  public void crash() {
    up = false;
    epoch++;
    stepping = false;
    List<EngineJob> failedJobs = new ArrayList<>(running);
    failedJobs.addAll(waiting);
    running.clear();
    waiting.clear();
    cache.clear();
    failedJobs.forEach(j -> j.listener.onFailed());
  }

  /** Restarts after a crash, with an empty cache and a new warm-up. */
  public void restart() {
    up = true;
    cacheCleared = true;
    reportsWarmUp = true;
    warmUpStartNanos = events.now();
  }

  /** Returns the current concurrency limit, which grows during the warm-up. */
  public int concurrencyLimit() {
    double share = (double) (events.now() - warmUpStartNanos) / settings.warmUpNanos();
    double limit = settings.startLimit() + share * (settings.batchLimit() - settings.startLimit());
    return (int) Math.min(settings.batchLimit(), limit);
  }

  /** Submits a request; if the engine is stopped, the request fails at once. */
  public void submit(EngineJob job) {
    if (!up) {
      job.listener.onFailed();
      return;
    }
    breaches += load() >= concurrencyLimit() ? 1 : 0;
    waiting.add(job);
    waiting.sort(BY_PRIORITY);
    startStep();
  }

  /** Cancels a request, whose listener is not called again; does nothing if it has ended. */
  public void cancel(EngineJob job) {
    if (!waiting.remove(job)) {
      running.remove(job);
    }
  }

  private void startStep() {
    if (stepping || !up) {
      return;
    }
    fillBatch();
    if (running.isEmpty()) {
      return;
    }
    stepping = true;
    int startedEpoch = epoch;
    List<EngineJob> batch = new ArrayList<>(running);
    int promptTokens = planPrefill(batch);
    double factor = slowFactor * (batch.size() > concurrencyLimit() ? OVERLOAD_FACTOR : 1);
    double nanos = settings.stepNanos(batch.size()) + promptTokens * settings.promptTokenNanos();
    events.after(
        (long) (factor * nanos),
        () -> {
          if (epoch == startedEpoch) {
            stepping = false;
            endStep(batch);
            startStep();
          }
        });
  }

  private void fillBatch() {
    while (running.size() < settings.batchLimit() && !waiting.isEmpty()) {
      EngineJob job = waiting.remove(0);
      job.cachedTokens = Math.min(cachedTokens(job.prefix), job.promptTokens - 1);
      job.remainingPromptTokens = job.promptTokens - Math.max(0, job.cachedTokens);
      running.add(job);
    }
  }

  private int planPrefill(List<EngineJob> batch) {
    int budget = settings.prefillChunkTokens();
    int planned = 0;
    for (EngineJob job : batch) {
      job.prefilling = job.remainingPromptTokens > 0 && budget > 0;
      if (job.prefilling) {
        int chunk = Math.min(budget, job.remainingPromptTokens);
        job.remainingPromptTokens -= chunk;
        recordComputed(job, chunk);
        budget -= chunk;
        planned += chunk;
      }
    }
    return planned;
  }

  private void recordComputed(EngineJob job, int tokens) {
    job.computedTokens += tokens;
    computedTokens += tokens;
  }

  private void endStep(List<EngineJob> batch) {
    for (EngineJob job : batch) {
      if (job.remainingPromptTokens == 0 && running.contains(job)) {
        produceToken(job);
      }
    }
  }

  private void produceToken(EngineJob job) {
    job.producedTokens++;
    recordComputed(job, 1);
    if (job.producedTokens == 1) {
      cache.store(job.prefix);
      job.listener.onFirstToken(job.cachedTokens);
    } else {
      job.listener.onToken();
    }
    if (job.producedTokens >= job.outputTokens) {
      running.remove(job);
      job.listener.onCompleted();
    }
  }

  /** Returns a report of the current load. */
  public LoadReport report() {
    int queued = Math.max(0, load() - settings.batchLimit());
    boolean cold = reportsWarmUp && concurrencyLimit() < settings.batchLimit();
    return new LoadReport(id, events.now(), load() - queued, queued, cold, settings.batchLimit());
  }

  /** Returns the changes of the cache since the last event. */
  public CacheEvent cacheEvent() {
    boolean cleared = cacheCleared;
    cacheCleared = false;
    return new CacheEvent(id, ++cacheSequence, cleared, cache.drainStored(), cache.drainRemoved());
  }
}
