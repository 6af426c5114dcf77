package io.jacinthquay.wire.transport;

import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TNonblockingServerTransport;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/** Accepts connections whose incomplete messages share one budget. */
final class FrameServerSocket extends TNonblockingServerTransport {
  private final TNonblockingServerSocket listener;
  private final FrameBudget budget;
  private final int maxFrameBytes;

  /** Binds an address. */
  FrameServerSocket(InetSocketAddress address, FrameBudget budget, int maxFrameBytes)
      throws TTransportException {
    this.listener = new TNonblockingServerSocket(address);
    this.budget = budget;
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  public FrameSocket accept() throws TTransportException {
    TNonblockingSocket accepted = listener.accept();
    if (accepted == null) {
      return null;
    }
    FrameSocket socket = new FrameSocket(accepted, budget, maxFrameBytes);
    budget.opened(socket, System.nanoTime());
    return socket;
  }

  @Override
  public void listen() throws TTransportException {
    listener.listen();
  }

  @Override
  public void registerSelector(Selector selector) {
    listener.registerSelector(selector);
  }

  @Override
  public void close() {
    listener.close();
  }

  @Override
  public void interrupt() {
    listener.interrupt();
  }
}
