package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.wire.gen.KeeperPeer;
import io.jacinthquay.wire.gen.RaftMessage;
import io.jacinthquay.wire.gen.ReaderReport;
import io.jacinthquay.wire.transport.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;

/**
 * Sends messages to another member over one connection, from a bounded queue.
 *
 * <p>Messages are dropped if the queue is full. After a failure the queue is cleared, and the link
 * reconnects with exponential backoff.
 */
final class PeerLink implements Service {
  private static final Logger log = LogManager.getLogger();

  private static final int QUEUE_MESSAGES = 1_024;
  private static final int BATCH_MESSAGES = 64;
  private static final int BATCH_BYTES = 4 << 20;
  private static final int STOP_TIMEOUT_MILLIS = 2_000;
  private static final long IDLE_POLL_MILLIS = 200;
  private static final long MIN_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;

  private final String peer;
  private final InetSocketAddress address;
  private final Dialer dialer;
  private final BlockingQueue<Message> queue = new ArrayBlockingQueue<>(QUEUE_MESSAGES);
  private final AtomicReference<List<ReaderReport>> reports = new AtomicReference<>();
  private final Thread sender;
  private volatile boolean running;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private Channel channel;

  PeerLink(String peer, InetSocketAddress address, Dialer dialer) {
    this.peer = peer;
    this.address = address;
    this.dialer = dialer;
    this.sender = new Thread(this::run, "peer-" + peer);
    this.sender.setDaemon(true);
  }

  @Override
  public void start() {
    running = true;
    sender.start();
  }

  /** Queues a message, or drops it if the queue is full. */
  void send(Message message) {
    if (!queue.offer(message)) {
      log.debug("queue to peer {} is full; dropped a message", peer);
    }
  }

  /** Queues the versions in force at readers, in place of reports that were not sent yet. */
  void send(List<ReaderReport> latest) {
    reports.set(latest);
  }

  private void run() {
    while (running) {
      try {
        Message first = queue.poll(IDLE_POLL_MILLIS, TimeUnit.MILLISECONDS);
        List<ReaderReport> pendingReports = reports.getAndSet(null);
        if (first != null || pendingReports != null) {
          deliver(first, pendingReports);
        }
      } catch (InterruptedException e) {
        break;
      }
    }
    closeChannel();
  }

  private void deliver(Message first, List<ReaderReport> pendingReports)
      throws InterruptedException {
    try {
      KeeperPeer.Client client = connect();
      if (first != null) {
        client.deliver(batch(first));
      }
      if (pendingReports != null) {
        client.readers(pendingReports);
      }
      backoffMillis = MIN_BACKOFF_MILLIS;
    } catch (IOException | TException e) {
      log.debug("peer {} at {} is not reachable: {}", peer, address, e.getMessage());
      closeChannel();
      queue.clear();
      TimeUnit.MILLISECONDS.sleep(backoffMillis);
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }
  }

  private KeeperPeer.Client connect() throws IOException {
    if (channel == null) {
      channel = dialer.open(address);
    }
    return new KeeperPeer.Client(channel.protocol());
  }

  private List<RaftMessage> batch(Message first) {
    List<RaftMessage> batch = new ArrayList<>();
    long bytes = 0;
    Message next = first;
    while (next != null) {
      batch.add(RaftMessages.toMessage(next));
      bytes += size(next);
      boolean full = batch.size() >= BATCH_MESSAGES || bytes >= BATCH_BYTES;
      next = full ? null : queue.poll();
    }
    return batch;
  }

  private static long size(Message message) {
    if (message instanceof Message.AppendRequest append) {
      return append.entries().stream().mapToLong(entry -> entry.size()).sum();
    }
    return message instanceof Message.SnapshotChunk chunk ? chunk.data().length : 0;
  }

  private void closeChannel() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  @Override
  public void stop() {
    running = false;
    sender.interrupt();
    try {
      sender.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
