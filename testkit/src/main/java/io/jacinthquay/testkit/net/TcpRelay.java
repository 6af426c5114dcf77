package io.jacinthquay.testkit.net;

import io.jacinthquay.runtime.Service;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP relay that records requests and closes connections after a number of bytes.
 *
 * <pre>{@code
 * TcpRelay relay = new TcpRelay(service.address());
 * relay.start();
 * relay.cutRequestsAfter(17);
 * }</pre>
 */
public final class TcpRelay implements Service {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final InetSocketAddress target;
  private final List<Socket> openSockets = new ArrayList<>();
  private final List<ByteArrayOutputStream> requests = new ArrayList<>();
  private volatile long requestLimitBytes = Long.MAX_VALUE;
  private volatile long responseLimitBytes = Long.MAX_VALUE;
  private ServerSocket listener;

  /** Returns a relay to an address. */
  public TcpRelay(InetSocketAddress target) {
    this.target = target;
  }

  @Override
  public void start() {
    try {
      listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen on a free port", e);
    }
    startThread("relay-accept", this::accept);
  }

  /** Returns where the relay listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Closes later connections after this many bytes to the target. */
  public void cutRequestsAfter(long bytes) {
    requestLimitBytes = bytes;
  }

  /** Closes later connections after this many bytes from the target. */
  public void cutResponsesAfter(long bytes) {
    responseLimitBytes = bytes;
  }

  /** Removes the byte limits for later connections. */
  public void removeLimits() {
    requestLimitBytes = Long.MAX_VALUE;
    responseLimitBytes = Long.MAX_VALUE;
  }

  /** Returns what each connection sent to the target. */
  public List<String> requests() {
    synchronized (requests) {
      return requests.stream().map(bytes -> bytes.toString(StandardCharsets.UTF_8)).toList();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = listener.accept();
        startThread("relay-open", () -> connect(caller));
      }
    } catch (IOException e) {
      closeAll();
    }
  }

  private void connect(Socket caller) {
    Socket upstream = new Socket();
    synchronized (openSockets) {
      openSockets.add(caller);
      openSockets.add(upstream);
    }
    try {
      caller.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      upstream.connect(target);
    } catch (IOException e) {
      close(caller, upstream);
      return;
    }
    ByteArrayOutputStream recording = new ByteArrayOutputStream();
    synchronized (requests) {
      requests.add(recording);
    }
    long responseLimit = responseLimitBytes;
    startThread(
        "relay-answer", () -> copy(upstream, caller, responseLimit, new ByteArrayOutputStream()));
    copy(caller, upstream, requestLimitBytes, recording);
  }

  private void copy(Socket from, Socket to, long limitBytes, ByteArrayOutputStream recording) {
    long remaining = limitBytes;
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      while (remaining > 0) {
        int count = in.read(buffer, 0, (int) Math.min(buffer.length, remaining));
        if (count < 0) {
          to.shutdownOutput();
          break;
        }
        synchronized (requests) {
          recording.write(buffer, 0, count);
        }
        to.getOutputStream().write(buffer, 0, count);
        remaining -= count;
      }
    } catch (IOException e) {
      close(from, to);
    }
    close(from, to);
  }

  private static void close(Socket... sockets) {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException("cannot close a socket", e);
      }
    }
  }

  private static void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void closeAll() {
    synchronized (openSockets) {
      openSockets.forEach(TcpRelay::close);
      openSockets.clear();
    }
  }

  @Override
  public void stop() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new IllegalStateException("cannot close the listener", e);
    }
    closeAll();
  }
}
