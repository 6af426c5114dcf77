package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicReference;

/** A small router that keeps every promise that the soak judges, but for one. */
final class PlantedRouter implements AutoCloseable {
  /** The promise that is broken. */
  enum Flaw {
    NONE,
    /** Upstreams are not told when callers leave. */
    RUNS_ON,
    /** Each request is sent to its upstream two times. */
    SENDS_TWICE,
    /** Some requests are refused as not run after they have run. */
    REFUSES_WHAT_RAN,
    /** An answer that broke off is ended as if it were whole. */
    ENDS_WHAT_BROKE_OFF,
    /** Some callers get the answer to an earlier request. */
    ANSWERS_ANOTHER,
    /** Upstreams see the caller's key. */
    PASSES_THE_KEY,
    /** Upstreams are told more time than the caller has. */
    GIVES_MORE_TIME,
    /** Requests run whatever their key is. */
    TAKES_ANY_KEY
  }

  private static final int ONE_IN = 5;

  private final Flaw flaw;
  private final InetSocketAddress upstream;
  private final Acceptor acceptor;
  private final AtomicReference<String> earlier = new AtomicReference<>("");

  PlantedRouter(Flaw flaw, InetSocketAddress upstream) throws IOException {
    this.flaw = flaw;
    this.upstream = upstream;
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  private void serve(Socket caller) throws IOException {
    InputStream in = caller.getInputStream();
    HttpWire.Head head = HttpWire.head(in);
    StringBuilder body = new StringBuilder();
    HttpWire.body(head, in, body::append);
    Documents.Customer customer = Documents.Customer.of(new RequestId(head.field("Attempt-Id")));
    if (customer == Documents.Customer.UNKNOWN && flaw != Flaw.TAKES_ANY_KEY) {
      caller
          .getOutputStream()
          .write(HttpWire.bytes("HTTP/1.1 401 Unknown\r\nConnection: close\r\n\r\n"));
      return;
    }
    try (Socket send = open(head, body.toString());
        Socket second = flaw == Flaw.SENDS_TWICE ? open(head, body.toString()) : new Socket()) {
      Thread watch = new Thread(() -> watch(caller, send), "planted-watch");
      watch.setDaemon(true);
      watch.start();
      answer(head, send, caller);
      if (second.isConnected()) {
        second.getInputStream().readNBytes(1);
      }
    }
  }

  private Socket open(HttpWire.Head head, String body) throws IOException {
    Socket socket = new Socket(upstream.getAddress(), upstream.getPort());
    long wait = head.number("Deadline-Ms").orElse(0) + (flaw == Flaw.GIVES_MORE_TIME ? 1 : -1);
    String key =
        flaw == Flaw.PASSES_THE_KEY ? "Authorization: " + head.field("Authorization") + "\r\n" : "";
    String text =
        head.line()
            + "\r\nAttempt-Id: "
            + head.field("Attempt-Id")
            + "\r\nTenant: "
            + Documents.Customer.of(new RequestId(head.field("Attempt-Id"))).label()
            + "\r\nDeadline-Ms: "
            + wait
            + "\r\n"
            + key
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(HttpWire.bytes(text));
    return socket;
  }

  /** Each connection carries one request, so whatever is read here is its end. */
  private void watch(Socket caller, Socket send) {
    try {
      int unused = caller.getInputStream().read();
    } catch (IOException e) {
      // The caller reset its connection, which is an end as well.
    }
    if (flaw != Flaw.RUNS_ON) {
      Acceptor.reset(send);
    }
  }

  private boolean isOneOfSome(HttpWire.Head head, Flaw which) {
    return flaw == which && Math.floorMod(head.field("Attempt-Id").hashCode(), ONE_IN) == 0;
  }

  /** Answers in a way that promises nothing. */
  private static void fail(OutputStream out) throws IOException {
    out.write(HttpWire.bytes("HTTP/1.1 502 Broke\r\nConnection: close\r\n\r\n"));
  }

  private void answer(HttpWire.Head request, Socket send, Socket caller) throws IOException {
    OutputStream out = caller.getOutputStream();
    HttpWire.Head head;
    try {
      head = HttpWire.head(send.getInputStream());
    } catch (IOException e) {
      fail(out);
      return;
    }
    if (flaw == Flaw.SENDS_TWICE && head.second().equals("503")) {
      // The other send may run, so the refusal of this one is no promise.
      fail(out);
      return;
    }
    if (isOneOfSome(request, Flaw.REFUSES_WHAT_RAN)) {
      out.write(HttpWire.bytes("HTTP/1.1 503 Full\r\nConnection: close\r\n\r\n"));
      return;
    }
    String id = request.field("Attempt-Id");
    out.write(
        HttpWire.bytes(
            head.line()
                + "\r\nAttempt-Id: "
                + id
                + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"));
    StringBuilder whole = new StringBuilder();
    try {
      if (isOneOfSome(request, Flaw.ANSWERS_ANOTHER)) {
        out.write(HttpWire.bytes(HttpWire.chunk(earlier.get())));
      } else {
        HttpWire.body(
            head,
            send.getInputStream(),
            part -> {
              whole.append(part);
              out.write(HttpWire.bytes(HttpWire.chunk(part)));
            });
        earlier.set(whole.toString());
      }
      out.write(HttpWire.bytes("0\r\n\r\n"));
    } catch (IOException e) {
      if (flaw == Flaw.ENDS_WHAT_BROKE_OFF && !(e instanceof EOFException && whole.isEmpty())) {
        out.write(HttpWire.bytes("0\r\n\r\n"));
      } else {
        Acceptor.reset(caller);
      }
    }
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }
}
