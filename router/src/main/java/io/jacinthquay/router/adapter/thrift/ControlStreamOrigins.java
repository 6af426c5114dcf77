package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.router.port.StreamOrigins;
import io.jacinthquay.router.service.forward.ForwardMetrics;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Remembers which versions began streams, at this router and at the leading control VM.
 *
 * <p>Reports travel with the exchanges of {@link ControlLink}, so no event waits for them. Streams
 * that this router doesn't know are asked for at the leader.
 */
public final class ControlStreamOrigins implements StreamOrigins, Service {
  private final StreamOriginLog origins = new StreamOriginLog(System::nanoTime);
  private final PoolVersionRuns versions = new PoolVersionRuns();
  private final KnownControls controls;
  private final OriginMonitor monitor;
  private final OriginFinder finder;

  /**
   * Returns origins of a router that knows no stream.
   *
   * @param seeds returns the control VMs of the current settings, at least one
   * @param ioThread returns the I/O thread, on which answers are delivered; used once started
   * @param metrics the metrics of the router
   */
  public ControlStreamOrigins(
      Supplier<List<InetSocketAddress>> seeds,
      Supplier<? extends Executor> ioThread,
      ForwardMetrics metrics) {
    controls = new KnownControls(() -> seeds.get().stream().map(SocketAddresses::format).toList());
    monitor = new OriginMonitor(metrics, origins, System::nanoTime);
    finder =
        new OriginFinder(
            controls,
            origins,
            versions,
            monitor,
            OriginFinder.LIMIT,
            task -> ioThread.get().execute(task));
  }

  @Override
  public void start() {
    finder.start();
  }

  @Override
  public void stop() {
    finder.stop();
  }

  @Override
  public void record(StreamId stream, PoolName pool, SoftwareVersion version) {
    OriginTable.Result result = origins.recordBegun(new StreamOrigin(stream, pool, version));
    if (result == OriginTable.Result.RECORDED) {
      monitor.recordBegun();
    } else if (result == OriginTable.Result.FULL) {
      monitor.recordDropped();
    }
  }

  @Override
  public void find(
      Optional<CustomerId> customer,
      Optional<StreamId> stream,
      List<PoolName> pools,
      Consumer<Origin> found) {
    if (stream.filter(origins::isInConflict).isPresent()) {
      // The leader may have been told of one of the origins only.
      monitor.recordAnswer(OriginMonitor.Outcome.CONFLICT);
      found.accept(Origin.UNKNOWN);
      return;
    }
    Optional<StreamOrigin> own = stream.flatMap(origins::find);
    if (own.isEmpty()) {
      finder.ask(customer, stream, pools, found);
    } else if (pools.contains(own.get().pool())) {
      monitor.recordAnswer(OriginMonitor.Outcome.OWN);
      found.accept(Origin.of(own.get().pool(), own.get().version()));
    } else {
      monitor.recordAnswer(OriginMonitor.Outcome.OTHER_POOL);
      found.accept(Origin.UNKNOWN);
    }
  }

  /** Returns what the link has learned of the control VMs. */
  KnownControls controls() {
    return controls;
  }

  /** Returns what the lists show of the versions of pools; the link records its lists there. */
  PoolVersionRuns versions() {
    return versions;
  }

  /** Returns the streams that the next report carries. */
  List<StreamOriginMessage> report() {
    return origins.report();
  }

  /** Records that the leader or a relay has taken the last report. */
  void recordView(long epoch) {
    monitor.recordReported(origins.recordView(epoch));
  }

  /** Records that a relay was lost with reports that it may not have passed on. */
  void recordRelayLoss() {
    origins.reportAllAgain();
  }
}
