package io.jacinthquay.router;

import io.jacinthquay.runtime.tls.TlsIdentity;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Addresses of the systems that a router connects to, and its own certificate.
 *
 * @param keepers addresses of all keepers, at least one
 * @param platform address of the platform's API
 * @param identity the router's certificate, issued to the name of its VM
 */
public record RouterEndpoints(
    List<InetSocketAddress> keepers, InetSocketAddress platform, TlsIdentity identity) {
  /**
   * Copies the list.
   *
   * @throws NullPointerException if a component is null
   */
  public RouterEndpoints {
    keepers = List.copyOf(keepers);
    Objects.requireNonNull(platform, "platform");
    Objects.requireNonNull(identity, "identity");
  }
}
