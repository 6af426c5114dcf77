package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.EngineLoad;
import io.jacinthquay.router.port.EngineMonitor;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Asks engines for their load and cache events regularly. */
public final class EngineWatcher implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Time between two questions to one engine, in milliseconds. */
  private static final long INTERVAL_MILLIS = 250;

  /** Threads that ask; an engine that does not answer holds one of them up. */
  private static final int THREADS = 4;

  private final EngineMonitor monitor;
  private final AdmissionDispatcher dispatcher;
  private final Map<UpstreamId, Watched> watched = new ConcurrentHashMap<>();
  private volatile long loadNanos = System.nanoTime();
  private volatile long cacheNanos = System.nanoTime();
  private ScheduledExecutorService executor;

  /** Returns a watcher. */
  public EngineWatcher(EngineMonitor monitor, AdmissionDispatcher dispatcher) {
    this.monitor = monitor;
    this.dispatcher = dispatcher;
  }

  private static final class Watched {
    private volatile VmEntry entry;
    private volatile boolean asking;
    private volatile long nextEvent;

    private Watched(VmEntry entry) {
      this.entry = entry;
    }
  }

  /** Takes in the platform's list. */
  public void update(List<VmEntry> list) {
    List<VmEntry> engines =
        list.stream().filter(entry -> entry.kind() == VmEntry.Kind.ENGINE).toList();
    watched.keySet().retainAll(engines.stream().map(VmEntry::name).toList());
    for (VmEntry entry : engines) {
      watched.computeIfAbsent(entry.name(), name -> new Watched(entry)).entry = entry;
    }
  }

  @Override
  public void start() {
    executor =
        Executors.newScheduledThreadPool(
            THREADS,
            task -> {
              Thread thread = new Thread(task, "engine-watch");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        executor.scheduleWithFixedDelay(
            this::askAll, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void askAll() {
    for (Watched engine : watched.values()) {
      if (!engine.asking) {
        engine.asking = true;
        executor.execute(() -> ask(engine));
      }
    }
  }

  private void ask(Watched engine) {
    try {
      askLoad(engine);
      askEvents(engine);
    } catch (RuntimeException e) {
      log.error("watching engine {} failed", engine.entry.name(), e);
    } finally {
      engine.asking = false;
    }
  }

  private void askLoad(Watched engine) {
    Either<Failure, EngineLoad> load = monitor.load(engine.entry);
    if (load.isRight()) {
      loadNanos = System.nanoTime();
      dispatcher.load(engine.entry, load.get());
    }
  }

  private void askEvents(Watched engine) {
    Either<Failure, List<CacheEvent>> events = monitor.cacheEvents(engine.entry, engine.nextEvent);
    if (events.isLeft()) {
      return;
    }
    cacheNanos = System.nanoTime();
    for (CacheEvent event : events.get()) {
      engine.nextEvent = Math.max(engine.nextEvent, event.sequence());
      dispatcher.cacheEvent(engine.entry, event);
    }
  }

  /** Returns the time since any engine last reported its load, in nanoseconds. */
  public long loadAgeNanos(long nowNanos) {
    return nowNanos - loadNanos;
  }

  /** Returns the time since any engine last answered about its cache, in nanoseconds. */
  public long cacheAgeNanos(long nowNanos) {
    return nowNanos - cacheNanos;
  }

  @Override
  public void stop() {
    if (executor != null) {
      List<Runnable> unused = executor.shutdownNow();
    }
  }
}
