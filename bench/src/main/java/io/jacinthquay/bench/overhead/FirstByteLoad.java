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
 * <p>Open loop: each request has a planned start, and its latency is measured from then, even if no
 * connection was free at that time.
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

  /** Sends all requests and returns their times to the first byte, in microseconds. */
  Histogram run() {
    Histogram histogram = new Histogram(3);
    long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      Thread thread = new Thread(() -> sendAll(start, histogram), "load-" + i);
      thread.start();
      threads.add(thread);
    }
    threads.forEach(FirstByteLoad::join);
    return histogram;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sendAll(long start, Histogram histogram) {
    Histogram threadHistogram = new Histogram(3);
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(address);
      long number = next.getAndIncrement();
      while (number < total) {
        threadHistogram.recordValue(measureOne(socket, start + number * intervalNanos));
        number = next.getAndIncrement();
      }
    } catch (IOException e) {
      throw new IllegalStateException("a load connection failed: " + e.getMessage(), e);
    }
    synchronized (histogram) {
      histogram.add(threadHistogram);
    }
  }

  /** Returns the time from the planned start to the first byte, in microseconds. */
  private long measureOne(Socket socket, long planned) throws IOException {
    long remaining = planned - System.nanoTime();
    while (remaining > 0) {
      LockSupport.parkNanos(remaining);
      remaining = planned - System.nanoTime();
    }
    socket.getOutputStream().write(request);
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[16 * 1024];
    int filled = in.read(buffer);
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned);
    while (!endsWithLastChunk(buffer, filled)) {
      int count = in.read(buffer, filled, buffer.length - filled);
      if (count < 0) {
        throw new IOException("connection closed before the end of the response");
      }
      filled += count;
    }
    return Math.max(1, micros);
  }

  /** Returns whether the bytes end with the last chunk of a chunked body. */
  private static boolean endsWithLastChunk(byte[] buffer, int filled) {
    int from = filled - 5;
    return from >= 0 && buffer[from] == '0' && buffer[from + 1] == '\r' && buffer[from + 4] == '\n';
  }
}
