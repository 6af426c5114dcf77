package io.jacinthquay.wire.transport;

import org.apache.thrift.protocol.TProtocol;

/** One connection to a Thrift server; used by one thread at a time. */
public interface Channel extends AutoCloseable {
  /** Returns the protocol for a generated client. */
  TProtocol protocol();

  @Override
  void close();
}
