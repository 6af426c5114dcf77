package io.jacinthquay.router;

import io.jacinthquay.runtime.tls.TlsIdentity;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Where a router finds the rest of the system.
 *
 * @param keepers all keepers, at least one
 * @param platform the platform's interface
 * @param identity the router's certificate, whose name is that of its VM
 */
public record RouterEndpoints(
    List<InetSocketAddress> keepers, InetSocketAddress platform, TlsIdentity identity) {
  /**
   * Copies the list.
   *
   * @throws NullPointerException if a part is missing
   */
  public RouterEndpoints {
    keepers = List.copyOf(keepers);
    Objects.requireNonNull(platform, "platform");
    Objects.requireNonNull(identity, "identity");
  }
}
