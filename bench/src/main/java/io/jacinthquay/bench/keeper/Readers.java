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

/** Readers that poll for changes, spread over the keepers, and how late they hear of each. */
final class Readers implements AutoCloseable {
  private static final int WAIT_MILLIS = 1_000;
  private static final int TIMEOUT_MILLIS = 5_000;

  private final List<Thread> threads = new ArrayList<>();
  private final Map<Long, Long> committedNanos = new ConcurrentHashMap<>();
  private final Histogram delay = new ConcurrentHistogram(3);
  private volatile boolean running = true;

  /** Starts readers on connections of their own. */
  static Readers start(Cluster cluster, int count, long version) throws IOException {
    Readers readers = new Readers();
    TlsIdentity identity = cluster.identity("reader", PeerRole.ROUTER);
    for (int i = 0; i < count; i++) {
      String name = "reader-" + i;
      SecureChannel channel =
          SecureChannel.open(cluster.address(i % Cluster.SIZE), identity, TIMEOUT_MILLIS);
      Thread thread = new Thread(() -> readers.poll(channel, name, version), name);
      thread.start();
      readers.threads.add(thread);
    }
    return readers;
  }

  /** Commits one change and notes when it was asked for. */
  void commit(KeeperClient client, String changeId, long version) {
    committedNanos.put(version, System.nanoTime());
    Cluster.commit(client, changeId);
  }

  /** Returns the time from asking for a change to a reader's hearing of it, in nanoseconds. */
  Histogram delay() {
    return delay;
  }

  private void poll(SecureChannel channel, String name, long version) {
    long inForce = version;
    try (channel) {
      Keeper.Client keeper = new Keeper.Client(channel.protocol());
      while (running) {
        ConfigPage page =
            keeper.changes(new FeedPosition(name, "a", inForce, Map.of()), WAIT_MILLIS);
        long now = System.nanoTime();
        for (long v = inForce + 1; v <= page.getNewest(); v++) {
          Long asked = committedNanos.get(v);
          if (asked != null) {
            delay.recordValue(now - asked);
          }
        }
        inForce = Math.max(inForce, page.getNewest());
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
