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

/** Opens many long streams and counts the events that arrive in a period. */
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

  /** Opens the streams and returns the events per second over all of them. */
  double run() {
    try {
      for (int i = 0; i < streams; i++) {
        open();
      }
      LockSupport.parkNanos(WARM_UP_NANOS);
      long start = System.nanoTime();
      long before = events.get();
      LockSupport.parkNanos(length.toNanos());
      long received = events.get() - before;
      return received / ((System.nanoTime() - start) / 1e9);
    } catch (IOException e) {
      throw new IllegalStateException("cannot open a stream: " + e.getMessage(), e);
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
    Thread thread = new Thread(() -> countEvents(socket), "stream");
    thread.setDaemon(true);
    thread.start();
  }

  /** Counts the blank lines, one of which ends each event. */
  private void countEvents(Socket socket) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = socket.getInputStream();
      int count = in.read(buffer);
      byte last = 0;
      while (count >= 0) {
        long eventCount = 0;
        for (int i = 0; i < count; i++) {
          if (buffer[i] == '\n' && last == '\n') {
            eventCount++;
          }
          last = buffer[i];
        }
        events.addAndGet(eventCount);
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
      throw new IllegalStateException("cannot close a stream", e);
    }
  }
}
