package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.gen.Peer;
import io.jacinthquay.wire.gen.PeerBatch;
import io.jacinthquay.wire.transport.SecureChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;

/**
 * The queue of messages to one router. Guarded by its own lock, which is a leaf in the lock order.
 */
final class PeerOutbox {
  private static final Logger log = LogManager.getLogger();
  private static final int MAX_QUEUED = 4_096;
  private static final int TIMEOUT_MILLIS = 500;
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final InetSocketAddress address;
  private final TlsIdentity identity;
  private final Executor executor;
  private List<Consumer<PeerBatch>> queued = new ArrayList<>();
  private boolean sending;
  private SecureChannel channel;
  private volatile boolean failed;
  private volatile long failedNanos;

  PeerOutbox(InetSocketAddress address, TlsIdentity identity, Executor executor) {
    this.address = address;
    this.identity = identity;
    this.executor = executor;
  }

  InetSocketAddress address() {
    return address;
  }

  boolean isReachable() {
    return !failed;
  }

  /** Queues a message, or drops it if the queue is full. */
  synchronized void add(Consumer<PeerBatch> message) {
    if (queued.size() >= MAX_QUEUED) {
      return;
    }
    queued.add(message);
    if (!sending) {
      sending = true;
      executor.execute(this::send);
    }
  }

  private void send() {
    PeerBatch batch = nextBatch();
    while (batch != null) {
      deliver(batch);
      batch = nextBatch();
    }
  }

  private synchronized PeerBatch nextBatch() {
    if (queued.isEmpty()) {
      sending = false;
      return null;
    }
    PeerBatch batch =
        new PeerBatch(
            new ArrayList<>(),
            new ArrayList<>(),
            new ArrayList<>(),
            new ArrayList<>(),
            new ArrayList<>());
    queued.forEach(message -> message.accept(batch));
    queued = new ArrayList<>();
    return batch;
  }

  private void deliver(PeerBatch batch) {
    if (failed && System.nanoTime() - failedNanos < RETRY_DELAY_NANOS) {
      return;
    }
    try {
      if (channel == null) {
        channel = SecureChannel.open(address, identity, TIMEOUT_MILLIS);
      }
      new Peer.Client(channel.protocol()).deliver(batch);
      failed = false;
    } catch (TException | IOException e) {
      log.debug("router at {} is not reachable: {}", address, e.getMessage());
      failed = true;
      failedNanos = System.nanoTime();
      close();
    }
  }

  void close() {
    SecureChannel open = channel;
    channel = null;
    if (open != null) {
      open.close();
    }
  }
}
