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
 *
 * <p>Messages are not answered by the peer's server, so those sent over a dead connection are lost
 * without an error. A connection that was idle, or on which messages are sent while the peer sends
 * none itself, is therefore replaced before the next message.
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

  /** Followers send each other nothing but votes, which have to arrive with the first attempt. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Less than an election timeout, so that a candidate's next attempt uses a new connection. */
  private static final long MAX_UNANSWERED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final String peer;
  private final InetSocketAddress address;
  private final Dialer dialer;
  private final BlockingQueue<Message> queue = new ArrayBlockingQueue<>(QUEUE_MESSAGES);
  private final AtomicReference<List<ReaderReport>> reports = new AtomicReference<>();
  private final Thread sender;
  private volatile boolean running;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private Channel channel;

  /** When the last message was sent, on the monotonic clock. */
  private long sentNanos;

  /** Whether a message was sent that the peer has not followed with one; reports don't count. */
  private boolean unanswered;

  /** When the first unanswered message was sent, on the monotonic clock. */
  private long unansweredNanos;

  /** When the peer last sent a message over its own connection, on the monotonic clock. */
  private volatile long heardNanos = System.nanoTime();

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

  /** Records that the peer has sent a message; may be called by any thread. */
  void recordHeard() {
    heardNanos = System.nanoTime();
  }

  private void run() {
    while (running) {
      try {
        Message first = queue.poll(IDLE_POLL_MILLIS, TimeUnit.MILLISECONDS);
        List<ReaderReport> pendingReports = reports.getAndSet(null);
        if (first != null || pendingReports != null) {
          deliver(first, pendingReports);
        } else if (channel != null && System.nanoTime() - sentNanos > MAX_IDLE_NANOS) {
          closeChannel();
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
      KeeperPeer.Client client = connect(first != null);
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

  private KeeperPeer.Client connect(boolean expectsMessages) throws IOException {
    long now = System.nanoTime();
    boolean answered = !unanswered || heardNanos - unansweredNanos >= 0;
    if (channel != null && !answered && now - unansweredNanos > MAX_UNANSWERED_NANOS) {
      log.debug("peer {} sends nothing; its connection is replaced", peer);
      closeChannel();
    }
    if (channel == null || answered) {
      unanswered = expectsMessages;
      unansweredNanos = now;
    }
    if (channel == null) {
      channel = dialer.open(address);
    }
    sentNanos = now;
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
