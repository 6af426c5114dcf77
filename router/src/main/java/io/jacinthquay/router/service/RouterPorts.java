package io.jacinthquay.router.service;

import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.ConfigSource;
import io.jacinthquay.router.port.EngineMonitor;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.port.UsageSink;
import io.jacinthquay.router.port.VmDirectory;
import java.util.Objects;

/**
 * What one router talks to.
 *
 * @param config where configuration comes from
 * @param claims records idempotency keys
 * @param usage takes usage counters
 * @param vms the platform's list of VMs
 * @param engines asks engines how they are
 * @param peers carries messages to other routers; {@link PeerMessenger#NONE} for a router alone
 */
public record RouterPorts(
    ConfigSource config,
    ClaimStore claims,
    UsageSink usage,
    VmDirectory vms,
    EngineMonitor engines,
    PeerMessenger peers) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public RouterPorts {
    Objects.requireNonNull(config, "config");
    Objects.requireNonNull(claims, "claims");
    Objects.requireNonNull(usage, "usage");
    Objects.requireNonNull(vms, "vms");
    Objects.requireNonNull(engines, "engines");
    Objects.requireNonNull(peers, "peers");
  }

  /** Returns the ports of a router that knows no other. */
  public static RouterPorts alone(
      ConfigSource config,
      ClaimStore claims,
      UsageSink usage,
      VmDirectory vms,
      EngineMonitor engines) {
    return new RouterPorts(config, claims, usage, vms, engines, PeerMessenger.NONE);
  }
}
