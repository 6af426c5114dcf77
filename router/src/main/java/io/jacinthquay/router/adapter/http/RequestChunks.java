package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.ChunkedFraming;
import io.jacinthquay.runtime.http.InvalidFramingException;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Checks the chunks of the requests on a connection, besides the server's parser, which takes
 * invalid chunks for the end of a body and what follows them for another request.
 */
final class RequestChunks {
  private static final Logger log = LogManager.getLogger();

  private HttpServerExchange exchange;
  private ChunkedFraming framing;
  private int checkedBytes;
  private boolean invalid;

  /** Begins to check a request if its body is chunked; a part of it may have been read already. */
  void begin(HttpServerExchange started) {
    end();
    if (!started.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)) {
      return;
    }
    exchange = started;
    framing = new ChunkedFraming();
    PooledByteBuffer extra = ((AbstractServerConnection) started.getConnection()).getExtraBytes();
    if (extra != null) {
      ByteBuffer bytes = extra.getBuffer();
      read(bytes, bytes.position(), bytes.limit());
    }
  }

  /** Ends the check; what is read from now on belongs to the next request. */
  void end() {
    exchange = null;
    framing = null;
    checkedBytes = 0;
    invalid = false;
  }

  /** Returns whether the chunks of the current request are invalid. */
  boolean isInvalid() {
    return invalid;
  }

  /** Records that bytes were checked which will be read once more. */
  void takenBack(int bytes) {
    if (framing != null) {
      checkedBytes += bytes;
    }
  }

  /** Reads the part of a buffer between two positions. */
  void read(ByteBuffer buffer, int from, int to) {
    if (framing == null || invalid) {
      return;
    }
    int repeated = Math.min(checkedBytes, to - from);
    checkedBytes -= repeated;
    try {
      int unused = framing.read(buffer, from + repeated, to);
    } catch (InvalidFramingException e) {
      log.debug("a request of {} has invalid chunks: {}", exchange.getSourceAddress(), e);
      invalid = true;
      exchange.setPersistent(false);
    }
  }
}
