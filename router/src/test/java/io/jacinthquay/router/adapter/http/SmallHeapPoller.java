package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.VmEntry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Polls engines and the list of VMs as a process of its own, for tests with the heap of a
 * deployment. Arguments: the port of a server that is polled at once by several threads, and that
 * of a valid engine, which is polled last; the exit code tells whether it was reached.
 */
final class SmallHeapPoller {
  /** Threads of the pollers of engines; one more reads the list of VMs. */
  private static final int THREADS = 4;

  private static final int ROUNDS = 10;

  private SmallHeapPoller() {}

  public static void main(String[] args) {
    JsonHttp http = new JsonHttp(Duration.ofSeconds(5));
    HttpEngineMonitor monitor = new HttpEngineMonitor(http);
    VmEntry faulty = engine(args[0]);
    HttpVmDirectory directory = new HttpVmDirectory(http, faulty.address());
    ExecutorService threads = Executors.newFixedThreadPool(THREADS + 1);
    List<CompletableFuture<Void>> polls = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      polls.add(
          CompletableFuture.runAsync(() -> repeat(() -> pollEngine(monitor, faulty)), threads));
    }
    polls.add(CompletableFuture.runAsync(() -> repeat(directory::list), threads));
    polls.forEach(CompletableFuture::join);
    System.exit(monitor.load(engine(args[1])).isRight() ? 0 : 1);
  }

  private static void repeat(Runnable poll) {
    for (int i = 0; i < ROUNDS; i++) {
      poll.run();
    }
  }

  private static void pollEngine(HttpEngineMonitor monitor, VmEntry engine) {
    monitor.load(engine);
    monitor.cacheEvents(engine, 0);
  }

  private static VmEntry engine(String port) {
    return new VmEntry(
        new UpstreamId("e"),
        new DomainId("a"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(port)),
        VmEntry.Kind.ENGINE,
        Optional.empty(),
        false,
        false,
        List.of(),
        1);
  }
}
