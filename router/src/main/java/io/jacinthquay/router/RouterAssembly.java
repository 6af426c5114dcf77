package io.jacinthquay.router;

import io.jacinthquay.router.adapter.http.HttpEngineMonitor;
import io.jacinthquay.router.adapter.http.HttpVmDirectory;
import io.jacinthquay.router.adapter.http.JsonHttp;
import io.jacinthquay.router.adapter.thrift.ThriftClaimStore;
import io.jacinthquay.router.adapter.thrift.ThriftConfigSource;
import io.jacinthquay.router.adapter.thrift.ThriftUsageSink;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterPorts;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.wire.client.KeeperClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Puts a router together out of its adapters.
 *
 * <pre>{@code
 * RouterService router = RouterAssembly.create(options, endpoints);
 * router.start();
 * }</pre>
 */
public final class RouterAssembly {
  private static final Duration KEEPER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final int CLAIM_THREADS = 8;
  private static final int CLAIM_QUEUE = 256;

  private RouterAssembly() {}

  /** Returns a router that has not started. */
  public static RouterService create(RouterOptions options, RouterEndpoints endpoints) {
    KeeperClient keepers =
        new KeeperClient(endpoints.keepers(), endpoints.identity(), KEEPER_TIMEOUT);
    JsonHttp http = new JsonHttp(PLATFORM_TIMEOUT);
    String run = Long.toHexString(new SecureRandom().nextLong());
    RouterPorts ports =
        new RouterPorts(
            new ThriftConfigSource(
                endpoints.followed(), endpoints.identity(), options.self(), options.domain()),
            new ThriftClaimStore(keepers, options.self().value() + "/" + run, newClaimPool()),
            new ThriftUsageSink(keepers),
            new HttpVmDirectory(http, endpoints.platform()),
            new HttpEngineMonitor(http));
    return RouterService.create(options, ports);
  }

  private static ThreadPoolExecutor newClaimPool() {
    return new ThreadPoolExecutor(
        CLAIM_THREADS,
        CLAIM_THREADS,
        1,
        TimeUnit.MINUTES,
        new ArrayBlockingQueue<>(CLAIM_QUEUE),
        RouterAssembly::daemon);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "claims");
    thread.setDaemon(true);
    return thread;
  }
}
