package io.jacinthquay.router;

import io.jacinthquay.runtime.tls.TlsIdentity;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Where a router finds the rest of the system.
 *
 * @param keepers all keepers, at least one
 * @param configSources relays and keepers to follow, nearest first; empty for the keepers
 * @param platform the platform's interface
 * @param identity the router's certificate, whose name is that of its VM
 */
public record RouterEndpoints(
    List<InetSocketAddress> keepers,
    List<InetSocketAddress> configSources,
    InetSocketAddress platform,
    TlsIdentity identity) {
  /**
   * Copies the lists.
   *
   * @throws NullPointerException if a part is missing
   */
  public RouterEndpoints {
    keepers = List.copyOf(keepers);
    configSources = List.copyOf(configSources);
    Objects.requireNonNull(platform, "platform");
    Objects.requireNonNull(identity, "identity");
  }

  /** Returns the processes whose configuration the router follows. */
  List<InetSocketAddress> followed() {
    return configSources.isEmpty() ? keepers : configSources;
  }
}
