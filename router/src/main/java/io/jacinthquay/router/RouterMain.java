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
import io.jacinthquay.runtime.Program;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs {@code jq-router}. */
public final class RouterMain {
  private static final Duration KEEPER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final int CLAIM_THREADS = 8;
  private static final int CLAIM_QUEUE = 256;

  private RouterMain() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(Program.run(RouterSettings.PARSER, args, RouterMain::service).number());
  }

  private static Service service(Settings settings) {
    try {
      TlsIdentity identity = TlsIdentity.load(settings.value(RouterSettings.TLS));
      RouterOptions options = RouterSettings.options(settings);
      return RouterService.create(options, ports(settings, options, identity));
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }

  private static RouterPorts ports(Settings settings, RouterOptions options, TlsIdentity identity) {
    List<InetSocketAddress> keeperAddresses = settings.value(RouterSettings.KEEPERS);
    List<InetSocketAddress> sources = settings.value(RouterSettings.CONFIG_SOURCES);
    KeeperClient keepers = new KeeperClient(keeperAddresses, identity, KEEPER_TIMEOUT);
    ThreadPoolExecutor claims =
        new ThreadPoolExecutor(
            CLAIM_THREADS,
            CLAIM_THREADS,
            1,
            TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(CLAIM_QUEUE),
            RouterMain::daemon);
    JsonHttp http = new JsonHttp(PLATFORM_TIMEOUT);
    String claimant = options.self().value() + "-" + ProcessHandle.current().pid();
    return new RouterPorts(
        new ThriftConfigSource(
            sources.isEmpty() ? keeperAddresses : sources,
            identity,
            options.self(),
            options.domain()),
        new ThriftClaimStore(keepers, claimant, claims),
        new ThriftUsageSink(keepers),
        new HttpVmDirectory(http, settings.value(RouterSettings.PLATFORM)),
        new HttpEngineMonitor(http));
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "claims");
    thread.setDaemon(true);
    return thread;
  }
}
