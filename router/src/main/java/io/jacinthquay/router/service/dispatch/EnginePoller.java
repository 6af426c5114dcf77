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

/** Polls engines for their load and their cache events. */
public final class EnginePoller implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Time between two polls of an engine, in milliseconds. */
  private static final long POLL_INTERVAL_MILLIS = 250;

  /** Number of polling threads; an engine that does not answer blocks one of them. */
  private static final int THREADS = 4;

  private final EngineMonitor monitor;
  private final AdmissionDispatcher dispatcher;
  private final Map<UpstreamId, WatchedEngine> watched = new ConcurrentHashMap<>();
  private volatile long lastLoadNanos = System.nanoTime();
  private volatile long lastCacheEventsNanos = System.nanoTime();
  private ScheduledExecutorService executor;

  /** Creates a watcher that passes the engines' reports to a dispatcher. */
  public EnginePoller(EngineMonitor monitor, AdmissionDispatcher dispatcher) {
    this.monitor = monitor;
    this.dispatcher = dispatcher;
  }

  private static final class WatchedEngine {
    private volatile VmEntry entry;
    private volatile boolean polling;
    private volatile long lastSequence;

    private WatchedEngine(VmEntry entry) {
      this.entry = entry;
    }
  }

  /** Updates the engines to poll from the platform's VM list. */
  public void updateEngines(List<VmEntry> list) {
    List<VmEntry> engines =
        list.stream().filter(entry -> entry.kind() == VmEntry.Kind.ENGINE).toList();
    watched.keySet().retainAll(engines.stream().map(VmEntry::name).toList());
    for (VmEntry entry : engines) {
      watched.computeIfAbsent(entry.name(), name -> new WatchedEngine(entry)).entry = entry;
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
            this::pollAll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void pollAll() {
    for (WatchedEngine engine : watched.values()) {
      if (!engine.polling) {
        engine.polling = true;
        executor.execute(() -> poll(engine));
      }
    }
  }

  private void poll(WatchedEngine engine) {
    try {
      pollLoad(engine);
      pollCacheEvents(engine);
    } catch (RuntimeException e) {
      log.error("polling engine {} failed", engine.entry.name(), e);
    } finally {
      engine.polling = false;
    }
  }

  private void pollLoad(WatchedEngine engine) {
    Either<Failure, EngineLoad> load = monitor.load(engine.entry);
    if (load.isRight()) {
      lastLoadNanos = System.nanoTime();
      dispatcher.reportLoad(engine.entry, load.get());
    }
  }

  private void pollCacheEvents(WatchedEngine engine) {
    Either<Failure, List<CacheEvent>> events =
        monitor.cacheEvents(engine.entry, engine.lastSequence);
    if (events.isLeft()) {
      return;
    }
    lastCacheEventsNanos = System.nanoTime();
    for (CacheEvent event : events.get()) {
      engine.lastSequence = Math.max(engine.lastSequence, event.sequence());
      dispatcher.reportCacheEvent(engine.entry, event);
    }
  }

  /** Returns the time since the last load report of any engine, in nanoseconds. */
  public long loadAgeNanos(long nowNanos) {
    return nowNanos - lastLoadNanos;
  }

  /** Returns the time since any engine last returned its cache events, in nanoseconds. */
  public long cacheEventsAgeNanos(long nowNanos) {
    return nowNanos - lastCacheEventsNanos;
  }

  @Override
  public void stop() {
    if (executor != null) {
      List<Runnable> unused = executor.shutdownNow();
    }
  }
}
