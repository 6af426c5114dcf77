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
 * A model engine in virtual time.
 *
 * <p>Each step computes one token of every request whose prompt is done and a chunk of the prompts
 * that are not. Requests beyond the batch wait in the order of their priority.
 */
public final class ModelEngine {
  private static final Comparator<EngineJob> BY_PRIORITY = Comparator.comparingInt(j -> j.priority);

  /** How much slower an engine is that runs more than it bears. */
  private static final double OVERLOAD_FACTOR = 2;

  private final UpstreamId id;
  private final DomainId domain;
  private final EngineSettings settings;
  private final EventQueue events;
  private final PrefixCache cache;
  private final List<EngineJob> running = new ArrayList<>();
  private final List<EngineJob> waiting = new ArrayList<>();
  private long warmSince;
  private double slowFactor = 1;
  private boolean up = true;
  private boolean stepping;
  private int epoch;
  private long cacheSequence;
  private boolean cacheCleared;
  private boolean announcedCold;
  private long workedTokens;
  private long breaches;

  /**
   * Returns an engine.
   *
   * @param warm whether it has run for long
   */
  public ModelEngine(
      UpstreamId id, DomainId domain, EngineSettings settings, EventQueue events, boolean warm) {
    this.id = id;
    this.domain = domain;
    this.settings = settings;
    this.events = events;
    this.cache = new PrefixCache(settings.cacheBlocks());
    this.warmSince = warm ? events.now() - settings.warmUpNanos() : events.now();
  }

  /** Returns its name. */
  public UpstreamId id() {
    return id;
  }

  /** Returns its failure domain. */
  public DomainId domain() {
    return domain;
  }

  /** Returns its speed and size. */
  public EngineSettings settings() {
    return settings;
  }

  /** Returns whether it runs. */
  public boolean isUp() {
    return up;
  }

  /** Returns the prompt and output tokens computed so far. */
  public long workedTokens() {
    return workedTokens;
  }

  /** Returns how often it got a request beyond what it bears. */
  public long breaches() {
    return breaches;
  }

  /** Returns the leading tokens of a prompt that its cache holds now. */
  public int cachedTokens(PromptPrefix prefix) {
    return cache.match(prefix) * prefix.blockTokens();
  }

  /** Returns the requests that it runs or holds back now. */
  public int load() {
    return running.size() + waiting.size();
  }

  /** Makes every step longer by a factor, 1 for none. */
  public void slow(double factor) {
    slowFactor = factor;
  }

  /** Loses its cache and starts to warm up again, without a word. */
  public void turnCold() {
    cache.clear();
    warmSince = events.now();
  }

  /** Stops at once and breaks every request. */
  public void crash() {
    up = false;
    epoch++;
    stepping = false;
    List<EngineJob> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    cache.clear();
    lost.forEach(j -> j.listener.broken());
  }

  /** Runs again after a crash, fresh. */
  public void restart() {
    up = true;
    cacheCleared = true;
    announcedCold = true;
    warmSince = events.now();
  }

  /** Returns how many requests it bears now. */
  public int bears() {
    double share = (double) (events.now() - warmSince) / settings.warmUpNanos();
    double grown = settings.freshLimit() + share * (settings.batchLimit() - settings.freshLimit());
    return (int) Math.min(settings.batchLimit(), grown);
  }

  /** Takes a request in; a stopped engine breaks it at once. */
  public void submit(EngineJob job) {
    if (!up) {
      job.listener.broken();
      return;
    }
    breaches += load() >= bears() ? 1 : 0;
    waiting.add(job);
    waiting.sort(BY_PRIORITY);
    startStep();
  }

  /** Stops a request, which hears nothing more; does nothing if it has ended. */
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
    int prompt = planPrompt(batch);
    double factor = slowFactor * (batch.size() > bears() ? OVERLOAD_FACTOR : 1);
    double nanos = settings.stepNanos(batch.size()) + prompt * settings.promptTokenNanos();
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
      job.promptLeft = job.promptTokens - Math.max(0, job.cachedTokens);
      running.add(job);
    }
  }

  private int planPrompt(List<EngineJob> batch) {
    int budget = settings.chunkTokens();
    int planned = 0;
    for (EngineJob job : batch) {
      job.started = job.promptLeft > 0 && budget > 0;
      if (job.started) {
        int chunk = Math.min(budget, job.promptLeft);
        job.promptLeft -= chunk;
        work(job, chunk);
        budget -= chunk;
        planned += chunk;
      }
    }
    return planned;
  }

  private void work(EngineJob job, int tokens) {
    job.workedTokens += tokens;
    workedTokens += tokens;
  }

  private void endStep(List<EngineJob> batch) {
    for (EngineJob job : batch) {
      if (job.promptLeft == 0 && running.contains(job)) {
        produce(job);
      }
    }
  }

  private void produce(EngineJob job) {
    job.produced++;
    work(job, 1);
    if (job.produced == 1) {
      cache.store(job.prefix);
      job.listener.firstToken(job.cachedTokens);
    } else {
      job.listener.token();
    }
    if (job.produced >= job.outputTokens) {
      running.remove(job);
      job.listener.completed();
    }
  }

  /** Returns the load now. */
  public LoadReport report() {
    int beyond = Math.max(0, load() - settings.batchLimit());
    boolean cold = announcedCold && bears() < settings.batchLimit();
    return new LoadReport(id, events.now(), load() - beyond, beyond, cold, settings.batchLimit());
  }

  /** Returns what changed in the cache since the last event. */
  public CacheEvent cacheEvent() {
    boolean cleared = cacheCleared;
    cacheCleared = false;
    return new CacheEvent(id, ++cacheSequence, cleared, cache.takeStored(), cache.takeRemoved());
  }
}
