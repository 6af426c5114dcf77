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

/** Opens many long streams and counts the events that arrive in a while. */
final class EventLoad {
  private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int BUFFER_BYTES = 64 * 1024;

  private final InetSocketAddress address;
  private final byte[] request;
  private final int streams;
  private final Duration length;
  private final AtomicLong events = new AtomicLong();
  private final List<Socket> sockets = new ArrayList<>();

  EventLoad(InetSocketAddress address, byte[] request, int streams, Duration length) {
    this.address = address;
    this.request = request;
    this.streams = streams;
    this.length = length;
  }

  /** Returns the events per second over all streams. */
  double run() {
    try {
      for (int i = 0; i < streams; i++) {
        open();
      }
      LockSupport.parkNanos(WARM_UP_NANOS);
      long from = System.nanoTime();
      long before = events.get();
      LockSupport.parkNanos(length.toNanos());
      long counted = events.get() - before;
      return counted / ((System.nanoTime() - from) / 1e9);
    } catch (IOException e) {
      throw new IllegalStateException("a stream could not be opened: " + e.getMessage(), e);
    } finally {
      sockets.forEach(EventLoad::close);
    }
  }

  private void open() throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(address);
    socket.getOutputStream().write(request);
    sockets.add(socket);
    Thread thread = new Thread(() -> count(socket), "stream");
    thread.setDaemon(true);
    thread.start();
  }

  private void count(Socket socket) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = socket.getInputStream();
      int count = in.read(buffer);
      byte last = 0;
      while (count >= 0) {
        long found = 0;
        for (int i = 0; i < count; i++) {
          if (buffer[i] == '\n' && last == '\n') {
            found++;
          }
          last = buffer[i];
        }
        events.addAndGet(found);
        count = in.read(buffer);
      }
    } catch (IOException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new IllegalStateException("closing a stream failed", e);
    }
  }
}
