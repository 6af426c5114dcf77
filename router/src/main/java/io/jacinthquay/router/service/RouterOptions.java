package io.jacinthquay.router.service;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * The settings of a router.
 *
 * @param self the name of its VM
 * @param domain its failure domain
 * @param listen the address that callers connect to; port 0 picks a free port
 * @param ioThreads number of threads that handle all requests, 1 or more
 * @param limits limits that protect the listener against bad input
 * @param usageWindow length of a usage window
 * @param stall time without data after which an upstream counts as stalled
 * @param connectTimeout longest time to open a connection to an upstream
 * @param drainDelay time between becoming unready and rejecting requests, so that the load balancer
 *     notices
 * @param drainLimit longest time that a stop waits for running requests
 * @param vmListInterval time between two polls of the platform's VM list
 * @param peers addresses of this router and its peers
 */
public record RouterOptions(
    VmId self,
    DomainId domain,
    InetSocketAddress listen,
    int ioThreads,
    ListenerLimits limits,
    Duration usageWindow,
    Duration stall,
    Duration connectTimeout,
    Duration drainDelay,
    Duration drainLimit,
    Duration vmListInterval,
    PeerOptions peers) {
  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if {@code ioThreads} is below 1
   * @throws NullPointerException if a component is null
   */
  public RouterOptions {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(usageWindow, "usageWindow");
    Objects.requireNonNull(stall, "stall");
    Objects.requireNonNull(connectTimeout, "connectTimeout");
    Objects.requireNonNull(drainDelay, "drainDelay");
    Objects.requireNonNull(drainLimit, "drainLimit");
    Objects.requireNonNull(vmListInterval, "vmListInterval");
    Objects.requireNonNull(peers, "peers");
    if (ioThreads < 1) {
      throw new IllegalArgumentException("ioThreads must be 1 or more");
    }
  }

  /** Returns the default settings of a router on a small VM. */
  public static RouterOptions of(VmId self, DomainId domain, InetSocketAddress listen) {
    return new RouterOptions(
        self,
        domain,
        listen,
        2,
        ListenerLimits.defaults(),
        Duration.ofMillis(UsageWindow.LENGTH_MILLIS),
        Duration.ofSeconds(15),
        Duration.ofSeconds(1),
        Duration.ZERO,
        Duration.ofSeconds(60),
        Duration.ofMillis(500),
        PeerOptions.NONE);
  }

  /** Returns these settings with other listener limits. */
  public RouterOptions withLimits(ListenerLimits newLimits) {
    return new RouterOptions(
        self,
        domain,
        listen,
        ioThreads,
        newLimits,
        usageWindow,
        stall,
        connectTimeout,
        drainDelay,
        drainLimit,
        vmListInterval,
        peers);
  }

  /** Returns these settings with another length of the usage window. */
  public RouterOptions withUsageWindow(Duration window) {
    return new RouterOptions(
        self,
        domain,
        listen,
        ioThreads,
        limits,
        window,
        stall,
        connectTimeout,
        drainDelay,
        drainLimit,
        vmListInterval,
        peers);
  }

  /** Returns these settings with another time after which a silent upstream counts as stalled. */
  public RouterOptions withStall(Duration newStall) {
    return new RouterOptions(
        self,
        domain,
        listen,
        ioThreads,
        limits,
        usageWindow,
        newStall,
        connectTimeout,
        drainDelay,
        drainLimit,
        vmListInterval,
        peers);
  }

  /** Returns these settings with another number of I/O threads. */
  public RouterOptions withIoThreads(int threads) {
    return new RouterOptions(
        self,
        domain,
        listen,
        threads,
        limits,
        usageWindow,
        stall,
        connectTimeout,
        drainDelay,
        drainLimit,
        vmListInterval,
        peers);
  }

  /** Returns these settings with other peer addresses. */
  public RouterOptions withPeers(PeerOptions newPeers) {
    return new RouterOptions(
        self,
        domain,
        listen,
        ioThreads,
        limits,
        usageWindow,
        stall,
        connectTimeout,
        drainDelay,
        drainLimit,
        vmListInterval,
        newPeers);
  }
}
