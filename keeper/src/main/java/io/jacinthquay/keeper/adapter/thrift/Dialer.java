package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.wire.transport.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Opens connections to other members of the log. */
@FunctionalInterface
public interface Dialer {
  /**
   * Opens a connection.
   *
   * @throws IOException if the member cannot be reached
   */
  Channel open(InetSocketAddress address) throws IOException;
}
