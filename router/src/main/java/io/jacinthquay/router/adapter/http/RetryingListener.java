package io.jacinthquay.router.adapter.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A listening socket that is opened as soon as its address is free: while another socket holds the
 * address, it tries again with exponential back-off.
 */
final class RetryingListener {
  private static final Logger log = LogManager.getLogger();
  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 1_000;

  private final InetSocketAddress address;
  private final XnioWorker worker;
  private final OptionMap options;
  private final ChannelListener<AcceptingChannel<StreamConnection>> onReady;
  private AcceptingChannel<StreamConnection> channel;
  private XnioExecutor.Key retry;
  private long retryMillis = MIN_RETRY_MILLIS;
  private boolean closed;

  /**
   * Returns a listener that is not open.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @param worker the I/O threads of the accepted connections
   * @param options options of the socket
   * @param onReady accepts connections
   */
  RetryingListener(
      InetSocketAddress address,
      XnioWorker worker,
      OptionMap options,
      ChannelListener<AcceptingChannel<StreamConnection>> onReady) {
    this.address = address;
    this.worker = worker;
    this.options = options;
    this.onReady = onReady;
  }

  /** Starts to listen, now or once the address is free. */
  synchronized void open() {
    retry = null;
    if (closed) {
      return;
    }
    try {
      channel = worker.createStreamConnectionServer(address, onReady, options);
      channel.resumeAccepts();
      log.info("listens on {}", address);
    } catch (IOException | RuntimeException e) {
      log.warn(
          "cannot listen on {}; next attempt in {} ms: {}", address, retryMillis, e.toString());
      retry =
          worker
              .getIoThread()
              .executeAfter(() -> worker.execute(this::open), retryMillis, TimeUnit.MILLISECONDS);
      retryMillis = Math.min(2 * retryMillis, MAX_RETRY_MILLIS);
    }
  }

  /** Returns whether connections are accepted. */
  synchronized boolean isOpen() {
    return channel != null && channel.isOpen();
  }

  /** Returns the port, which is 0 if a free one is to be selected and the listener isn't open. */
  synchronized int port() {
    return channel == null
        ? address.getPort()
        : channel.getLocalAddress(InetSocketAddress.class).getPort();
  }

  /** Stops listening, for good. */
  synchronized void close() {
    closed = true;
    if (retry != null) {
      retry.remove();
    }
    IoUtils.safeClose(channel);
  }
}
