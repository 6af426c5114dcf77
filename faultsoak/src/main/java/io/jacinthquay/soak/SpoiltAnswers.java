package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * What an upstream sends that answers most requests with something that is no answer. Each kind
 * makes a router decide anew whether it sends the request once more.
 */
final class SpoiltAnswers {
  /** Share of the requests that an upstream spoils while it does so, in percent. */
  private static final int SPOILT_PERCENT = 85;

  /** Share of the requests with a body that are spoilt before the body is read, in percent. */
  private static final int SPOILT_UPLOAD_PERCENT = 10;

  /** Time in which a router can read what was sent before a reset. */
  private static final long BEFORE_RESET_MILLIS = 30;

  /** Bytes after which an answer without end is broken off, if the router has not closed it. */
  private static final int MAX_ENDLESS_BYTES = 4 * 1024 * 1024;

  private static final int PIECE_BYTES = 8 * 1024;

  /** One way to spoil an answer. */
  enum Kind {
    /** Bytes that are no HTTP. */
    GARBAGE,
    /** The connection ends within the head. */
    TRUNCATED_HEAD,
    /** The connection ends within the body. */
    TRUNCATED_BODY,
    /** The connection ends within the first event that the caller lacks, or within the body. */
    BROKEN_STREAM,
    /** Fields of a head that doesn't end. */
    ENDLESS_HEAD,
    /** A body that ends with its connection, and doesn't end. */
    ENDLESS_BODY,
    /** A chunk whose extension doesn't end. */
    ENDLESS_EXTENSION,
    /** Chunks of one byte that don't end. */
    ENDLESS_SMALL_CHUNKS,
    /** Small lines after the last chunk that don't end. */
    ENDLESS_TRAILERS,
    /** A chunk whose size is no number follows the first part. */
    INVALID_CHUNK_SIZE,
    /** A part of a body without a length, and a reset. */
    PART_WITHOUT_LENGTH,
    /** Status 000. */
    STATUS_ZERO,
    /** Status 600. */
    STATUS_TOO_LARGE,
    /** Status 999. */
    STATUS_LARGEST,
    /** Status 200 with a sign, and a part of the body. */
    STATUS_WITH_SIGN,
    /** The connection is reset after the request was read. */
    RESET,
    /** The connection is closed after the request was read. */
    CLOSED,
    /** The answer is marked as one to another request. */
    OTHER_ID,
    /** A success without a signature. */
    UNSIGNED,
    /** Status 503 without a proof that the request didn't run. */
    REFUSED,
    /** Status 503 with the proof. */
    NOT_EXECUTED,
    /** Status 500. */
    FAILED
  }

  private SpoiltAnswers() {}

  /** Returns whether a request is spoilt, given a number below 100 that was drawn for it. */
  static boolean isSpoilt(int drawn) {
    return drawn < SPOILT_PERCENT;
  }

  /** Returns whether a request is spoilt before its body is read, given a number below 100. */
  static boolean isSpoiltBeforeItsEnd(int drawn) {
    return drawn < SPOILT_UPLOAD_PERCENT;
  }

  /** Sends a part of a body without a length, and resets the connection. */
  static void sendPartAndReset(RequestId id, Socket socket) throws IOException {
    String body = ExpectedResponse.body(id);
    write(
        socket.getOutputStream(),
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id.value()
            + "\r\nResponse-Signature: s\r\n\r\n"
            + body.substring(0, body.length() / 2));
    try {
      TimeUnit.MILLISECONDS.sleep(BEFORE_RESET_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Acceptor.reset(socket);
  }

  /**
   * Sends a spoilt answer.
   *
   * @param event the first event that the caller lacks
   * @return whether the connection stays open
   */
  static boolean send(Kind kind, RequestId id, String event, Socket socket) throws IOException {
    OutputStream out = socket.getOutputStream();
    String body = ExpectedResponse.body(id);
    String half = body.substring(0, body.length() / 2);
    switch (kind) {
      case GARBAGE -> write(out, "\u0001\u0002 no answer \u00ff\r\n\r\n" + half);
      case TRUNCATED_HEAD -> write(out, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id.value());
      case TRUNCATED_BODY ->
          write(out, head("200", id, "Response-Signature: s", body.length()) + half);
      case BROKEN_STREAM ->
          write(
              out,
              "HTTP/1.1 200 OK\r\nAttempt-Id: "
                  + id.value()
                  + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\n"
                  + HttpCodec.encodeChunk(event));
      case ENDLESS_HEAD -> {
        write(out, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id.value() + "\r\n");
        writeEndlessly(socket, "X-Field: y\r\n");
      }
      case ENDLESS_BODY -> {
        write(
            out,
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id.value() + "\r\nResponse-Signature: s\r\n\r\n");
        writeEndlessly(socket, "z");
      }
      case ENDLESS_EXTENSION -> {
        write(out, chunkedHead(id) + "1;");
        writeEndlessly(socket, "x");
      }
      case RESET -> Acceptor.reset(socket);
      case OTHER_ID ->
          write(
              out,
              head("200", new RequestId("other"), "Response-Signature: s", body.length()) + body);
      case UNSIGNED -> write(out, head("200", id, "X-Odd: 1", body.length()) + body);
      case REFUSED -> write(out, head("503", id, "X-Odd: 1", 0));
      case NOT_EXECUTED -> write(out, head("503", id, "Not-Executed: 1", 0));
      case FAILED -> write(out, head("500", id, "Response-Signature: s", 0));
      case CLOSED -> {
        // The end of the connection is all that the router gets.
      }
      default -> sendMalformed(kind, id, half, socket);
    }
    return switch (kind) {
      case UNSIGNED, REFUSED, NOT_EXECUTED, FAILED -> true;
      default -> false;
    };
  }

  /** Sends an answer that is no HTTP in one place, and a part of the body around it. */
  private static void sendMalformed(Kind kind, RequestId id, String half, Socket socket)
      throws IOException {
    OutputStream out = socket.getOutputStream();
    switch (kind) {
      case ENDLESS_SMALL_CHUNKS -> {
        write(out, chunkedHead(id));
        writeEndlessly(socket, HttpCodec.encodeChunk("x"));
      }
      case ENDLESS_TRAILERS -> {
        write(out, chunkedHead(id) + HttpCodec.encodeChunk(half) + "0\r\n");
        writeEndlessly(socket, "X: y\r\n");
      }
      case INVALID_CHUNK_SIZE ->
          write(out, chunkedHead(id) + HttpCodec.encodeChunk(half) + "zz\r\n\r\n");
      case PART_WITHOUT_LENGTH -> sendPartAndReset(id, socket);
      case STATUS_ZERO ->
          write(out, head("000", id, "Response-Signature: s", half.length()) + half);
      case STATUS_TOO_LARGE ->
          write(out, head("600", id, "Response-Signature: s", half.length()) + half);
      case STATUS_LARGEST ->
          write(out, head("999", id, "Response-Signature: s", half.length()) + half);
      case STATUS_WITH_SIGN ->
          write(out, head("+200", id, "Response-Signature: s", half.length()) + half);
      default -> throw new IllegalArgumentException("no such answer: " + kind);
    }
  }

  private static String chunkedHead(RequestId id) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + id.value()
        + "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private static String head(String status, RequestId id, String field, int length) {
    return "HTTP/1.1 "
        + status
        + " Status\r\nAttempt-Id: "
        + id.value()
        + "\r\n"
        + field
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(HttpCodec.encode(text));
  }

  /**
   * Writes a text again and again until the router closes the connection, and resets it after too
   * many bytes: an end of the connection would complete a body without a length.
   */
  private static void writeEndlessly(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    String piece = text.repeat(PIECE_BYTES / text.length());
    for (int sent = 0; sent < MAX_ENDLESS_BYTES; sent += piece.length()) {
      write(out, piece);
    }
    Acceptor.reset(socket);
  }
}
