package io.jacinthquay.bench.overhead;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a fixed rate and measures the time to the first byte.
 *
 * <p>Open loop: each request has a planned time, and its latency counts from then, also if the
 * connection was not free yet.
 */
final class FirstByteLoad {
  private static final int CONNECTIONS = 32;
  private static final int TIMEOUT_MILLIS = 10_000;

  private final InetSocketAddress address;
  private final byte[] request;
  private final long intervalNanos;
  private final long total;
  private final AtomicLong next = new AtomicLong();

  FirstByteLoad(InetSocketAddress address, byte[] request, int rate, Duration length) {
    this.address = address;
    this.request = request;
    this.intervalNanos = TimeUnit.SECONDS.toNanos(1) / rate;
    this.total = rate * length.toSeconds();
  }

  Histogram run() {
    Histogram all = new Histogram(3);
    long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      Thread thread = new Thread(() -> sendAll(start, all), "load-" + i);
      thread.start();
      threads.add(thread);
    }
    threads.forEach(FirstByteLoad::join);
    return all;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendAll(long start, Histogram all) {
    Histogram own = new Histogram(3);
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(address);
      long number = next.getAndIncrement();
      while (number < total) {
        own.recordValue(once(socket, start + number * intervalNanos));
        number = next.getAndIncrement();
      }
    } catch (IOException e) {
      throw new IllegalStateException("a request failed: " + e.getMessage(), e);
    }
    synchronized (all) {
      all.add(own);
    }
  }

  /** Returns the time from the planned start to the first byte, in microseconds. */
  private long once(Socket socket, long planned) throws IOException {
    long left = planned - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = planned - System.nanoTime();
    }
    socket.getOutputStream().write(request);
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[16 * 1024];
    int filled = in.read(buffer);
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned);
    while (!endsWithEnd(buffer, filled)) {
      int count = in.read(buffer, filled, buffer.length - filled);
      if (count < 0) {
        throw new IOException("the connection ended");
      }
      filled += count;
    }
    return Math.max(1, micros);
  }

  private static boolean endsWithEnd(byte[] buffer, int filled) {
    int from = filled - 5;
    return from >= 0 && buffer[from] == '0' && buffer[from + 1] == '\r' && buffer[from + 4] == '\n';
  }
}
