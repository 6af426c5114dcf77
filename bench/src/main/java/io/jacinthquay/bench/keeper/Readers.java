package io.jacinthquay.bench.keeper;

import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.transport.SecureChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.thrift.TException;

/** Readers that poll the keepers for changes and measure how late each change arrives. */
final class Readers implements AutoCloseable {
  /** Longest time that a poll waits for a change. */
  private static final int POLL_WAIT_MILLIS = 1_000;

  private static final int TIMEOUT_MILLIS = 5_000;

  private final List<Thread> threads = new ArrayList<>();
  private final Map<Long, Long> requestedAtNanos = new ConcurrentHashMap<>();
  private final Histogram delay = new ConcurrentHistogram(3);
  private volatile boolean running = true;

  /** Starts readers, each on its own connection, spread evenly over the keepers. */
  static Readers start(KeeperCluster cluster, int count, long version) throws IOException {
    Readers readers = new Readers();
    TlsIdentity identity = cluster.identity("reader", PeerRole.ROUTER);
    for (int i = 0; i < count; i++) {
      String name = "reader-" + i;
      SecureChannel channel =
          SecureChannel.open(
              cluster.address(i % KeeperCluster.KEEPER_COUNT), identity, TIMEOUT_MILLIS);
      Thread thread = new Thread(() -> readers.poll(channel, name, version), name);
      thread.start();
      readers.threads.add(thread);
    }
    return readers;
  }

  /** Commits one change and records the time of the request. */
  void commit(KeeperClient client, String changeId, long version) {
    requestedAtNanos.put(version, System.nanoTime());
    KeeperCluster.commit(client, changeId);
  }

  /** Returns the times from the request for a change to its receipt by a reader, in nanoseconds. */
  Histogram delay() {
    return delay;
  }

  private void poll(SecureChannel channel, String name, long version) {
    long lastVersion = version;
    try (channel) {
      Keeper.Client keeper = new Keeper.Client(channel.protocol());
      while (running) {
        ConfigPage page =
            keeper.changes(new FeedPosition(name, "a", lastVersion, Map.of()), POLL_WAIT_MILLIS);
        long now = System.nanoTime();
        for (long v = lastVersion + 1; v <= page.getNewest(); v++) {
          Long requestedAt = requestedAtNanos.get(v);
          if (requestedAt != null) {
            delay.recordValue(now - requestedAt);
          }
        }
        lastVersion = Math.max(lastVersion, page.getNewest());
      }
    } catch (TException e) {
      throw new IllegalStateException(name + " failed", e);
    }
  }

  @Override
  public void close() {
    running = false;
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
