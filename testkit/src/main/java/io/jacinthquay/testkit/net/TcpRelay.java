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
 * Passes TCP connections on, keeps what was sent, and cuts them after a number of bytes.
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
  private final List<Socket> open = new ArrayList<>();
  private final List<ByteArrayOutputStream> requests = new ArrayList<>();
  private volatile long requestLimit = Long.MAX_VALUE;
  private volatile long answerLimit = Long.MAX_VALUE;
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
      throw new IllegalStateException("no port is free", e);
    }
    run("relay-accept", this::accept);
  }

  /** Returns where the relay listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Cuts later connections once they passed this many bytes towards the target. */
  public void cutRequestsAfter(long bytes) {
    requestLimit = bytes;
  }

  /** Cuts later connections once they passed this many bytes from the target. */
  public void cutAnswersAfter(long bytes) {
    answerLimit = bytes;
  }

  /** Cuts no further connections. */
  public void cutNothing() {
    requestLimit = Long.MAX_VALUE;
    answerLimit = Long.MAX_VALUE;
  }

  /** Returns what each connection passed towards the target. */
  public List<String> requests() {
    synchronized (requests) {
      return requests.stream().map(bytes -> bytes.toString(StandardCharsets.UTF_8)).toList();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = listener.accept();
        run("relay-open", () -> connect(caller));
      }
    } catch (IOException e) {
      closeAll();
    }
  }

  private void connect(Socket caller) {
    Socket upstream = new Socket();
    synchronized (open) {
      open.add(caller);
      open.add(upstream);
    }
    try {
      caller.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      upstream.connect(target);
    } catch (IOException e) {
      cut(caller, upstream);
      return;
    }
    ByteArrayOutputStream record = new ByteArrayOutputStream();
    synchronized (requests) {
      requests.add(record);
    }
    long answers = answerLimit;
    run("relay-answer", () -> pass(upstream, caller, answers, new ByteArrayOutputStream()));
    pass(caller, upstream, requestLimit, record);
  }

  private void pass(Socket from, Socket to, long limit, ByteArrayOutputStream record) {
    long left = limit;
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      while (left > 0) {
        int count = in.read(buffer, 0, (int) Math.min(buffer.length, left));
        if (count < 0) {
          to.shutdownOutput();
          break;
        }
        synchronized (requests) {
          record.write(buffer, 0, count);
        }
        to.getOutputStream().write(buffer, 0, count);
        left -= count;
      }
    } catch (IOException e) {
      cut(from, to);
    }
    cut(from, to);
  }

  private static void cut(Socket... sockets) {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException("closing a socket failed", e);
      }
    }
  }

  private static void run(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void closeAll() {
    synchronized (open) {
      open.forEach(TcpRelay::cut);
      open.clear();
    }
  }

  @Override
  public void stop() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new IllegalStateException("closing the listener failed", e);
    }
    closeAll();
  }
}
