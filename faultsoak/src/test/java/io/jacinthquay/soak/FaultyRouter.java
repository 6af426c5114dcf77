package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A small router with at most one defect; it keeps all other guarantees that the soak checks. */
final class FaultyRouter implements AutoCloseable {
  /** The defect of a router. */
  enum Defect {
    NONE,
    /** Requests are not cancelled when callers disconnect. */
    IGNORES_DISCONNECT,
    /** Each request is sent to its upstream twice. */
    SENDS_TWICE,
    /** Some requests are rejected as not run although they ran. */
    REJECTS_AFTER_RUN,
    /** A truncated response is ended as if it were complete. */
    HIDES_TRUNCATION,
    /** Some callers get the response to an earlier request. */
    MIXES_UP_RESPONSES,
    /** The caller's key is forwarded to the upstream. */
    FORWARDS_KEY,
    /** The deadline for the upstream is longer than the caller's. */
    EXTENDS_DEADLINE,
    /** Requests with unknown keys run. */
    ACCEPTS_UNKNOWN_KEY,
    /** Some connections are closed in place of the answer of the upstream. */
    LOSES_ANSWERS,
    /** The timeouts of routes are ignored. */
    IGNORES_TIMEOUT
  }

  /** One request in this many is affected by a defect that concerns some requests. */
  private static final int ONE_IN = 5;

  private final Defect defect;
  private final InetSocketAddress upstream;
  private final Acceptor acceptor;
  private final AtomicReference<String> earlierBody = new AtomicReference<>("");
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();

  FaultyRouter(Defect defect, InetSocketAddress upstream) throws IOException {
    this.defect = defect;
    this.upstream = upstream;
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  private void serve(Socket caller) throws IOException {
    InputStream in = caller.getInputStream();
    HttpCodec.Head head = HttpCodec.readHead(in);
    StringBuilder body = new StringBuilder();
    HttpCodec.readBody(head, in, body::append);
    Documents.Customer customer = Documents.Customer.of(new RequestId(head.field("Attempt-Id")));
    if (customer == Documents.Customer.UNKNOWN && defect != Defect.ACCEPTS_UNKNOWN_KEY) {
      caller
          .getOutputStream()
          .write(HttpCodec.encode("HTTP/1.1 401 Unknown\r\nConnection: close\r\n\r\n"));
      return;
    }
    try (Socket upstreamSocket = sendUpstream(head, body.toString());
        Socket secondSocket =
            defect == Defect.SENDS_TWICE ? sendUpstream(head, body.toString()) : new Socket()) {
      Thread watcher =
          new Thread(() -> cancelOnDisconnect(caller, upstreamSocket), "planted-watch");
      watcher.setDaemon(true);
      watcher.start();
      if (defect != Defect.IGNORES_TIMEOUT) {
        var unused =
            timers.schedule(
                () -> Acceptor.reset(upstreamSocket),
                Documents.TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
      }
      forwardResponse(head, upstreamSocket, caller);
      if (secondSocket.isConnected()) {
        secondSocket.getInputStream().readNBytes(1);
      }
    }
  }

  private Socket sendUpstream(HttpCodec.Head head, String body) throws IOException {
    Socket socket = new Socket(upstream.getAddress(), upstream.getPort());
    long deadlineMillis =
        head.longField("Deadline-Ms").orElse(0) + (defect == Defect.EXTENDS_DEADLINE ? 1 : -1);
    String key =
        defect == Defect.FORWARDS_KEY
            ? "Authorization: " + head.field("Authorization") + "\r\n"
            : "";
    String lastEvent = head.field("Last-Event-Id");
    String request =
        head.line()
            + "\r\nAttempt-Id: "
            + head.field("Attempt-Id")
            + "\r\nTenant: "
            + Documents.Customer.of(new RequestId(head.field("Attempt-Id"))).label()
            + "\r\nDeadline-Ms: "
            + deadlineMillis
            + "\r\n"
            + key
            + (lastEvent.isEmpty() ? "" : "Last-Event-Id: " + lastEvent + "\r\n")
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(HttpCodec.encode(request));
    return socket;
  }

  /**
   * Cancels the upstream request when the caller disconnects. A connection carries one request;
   * further ones are ignored.
   */
  private void cancelOnDisconnect(Socket caller, Socket upstreamSocket) {
    try {
      caller.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      // The caller reset its connection, which counts as a disconnect too.
    }
    if (defect != Defect.IGNORES_DISCONNECT) {
      Acceptor.reset(upstreamSocket);
    }
  }

  private boolean isAffected(HttpCodec.Head head, Defect candidate) {
    return defect == candidate && Math.floorMod(head.field("Attempt-Id").hashCode(), ONE_IN) == 0;
  }

  /** Responds with a status that does not tell whether the request ran. */
  private static void fail(OutputStream out) throws IOException {
    out.write(HttpCodec.encode("HTTP/1.1 502 Broke\r\nConnection: close\r\n\r\n"));
  }

  private void forwardResponse(HttpCodec.Head request, Socket upstreamSocket, Socket caller)
      throws IOException {
    OutputStream out = caller.getOutputStream();
    HttpCodec.Head head;
    try {
      head = HttpCodec.readHead(upstreamSocket.getInputStream());
    } catch (IOException e) {
      fail(out);
      return;
    }
    if (defect == Defect.SENDS_TWICE && head.secondWord().equals("503")) {
      // The other copy may run, so the rejection of this one guarantees nothing.
      fail(out);
      return;
    }
    if (isAffected(request, Defect.REJECTS_AFTER_RUN)) {
      out.write(HttpCodec.encode("HTTP/1.1 503 Full\r\nConnection: close\r\n\r\n"));
      return;
    }
    if (isAffected(request, Defect.LOSES_ANSWERS)) {
      Acceptor.reset(caller);
      return;
    }
    String id = request.field("Attempt-Id");
    out.write(
        HttpCodec.encode(
            head.line()
                + "\r\nAttempt-Id: "
                + id
                + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"));
    StringBuilder forwardedBody = new StringBuilder();
    try {
      if (isAffected(request, Defect.MIXES_UP_RESPONSES)) {
        out.write(HttpCodec.encode(HttpCodec.encodeChunk(earlierBody.get())));
      } else {
        HttpCodec.readBody(
            head,
            upstreamSocket.getInputStream(),
            part -> {
              forwardedBody.append(part);
              out.write(HttpCodec.encode(HttpCodec.encodeChunk(part)));
            });
        earlierBody.set(forwardedBody.toString());
      }
      out.write(HttpCodec.encode("0\r\n\r\n"));
    } catch (IOException e) {
      if (defect == Defect.HIDES_TRUNCATION
          && !(e instanceof EOFException && forwardedBody.isEmpty())) {
        out.write(HttpCodec.encode("0\r\n\r\n"));
      } else {
        Acceptor.reset(caller);
      }
    }
  }

  @Override
  public void close() throws IOException {
    timers.shutdownNow();
    acceptor.close();
  }
}
