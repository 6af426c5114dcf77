package io.jacinthquay.router.service;

import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.ConfigSource;
import io.jacinthquay.router.port.EngineMonitor;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.port.UsageSink;
import io.jacinthquay.router.port.VmDirectory;
import java.util.Objects;

/**
 * The systems outside a router that it calls.
 *
 * @param config the source of the configuration
 * @param claims the store of idempotency claims
 * @param usage the receiver of usage counters
 * @param vms the platform's list of VMs
 * @param engines reads the load and cache events of engines
 * @param peers sends messages to other routers; {@link PeerMessenger#NONE} for a router without
 *     peers
 */
public record RouterPorts(
    ConfigSource config,
    ClaimStore claims,
    UsageSink usage,
    VmDirectory vms,
    EngineMonitor engines,
    PeerMessenger peers) {
  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public RouterPorts {
    Objects.requireNonNull(config, "config");
    Objects.requireNonNull(claims, "claims");
    Objects.requireNonNull(usage, "usage");
    Objects.requireNonNull(vms, "vms");
    Objects.requireNonNull(engines, "engines");
    Objects.requireNonNull(peers, "peers");
  }

  /** Returns the ports of a router without peers. */
  public static RouterPorts withoutPeers(
      ConfigSource config,
      ClaimStore claims,
      UsageSink usage,
      VmDirectory vms,
      EngineMonitor engines) {
    return new RouterPorts(config, claims, usage, vms, engines, PeerMessenger.NONE);
  }
}
