package io.jacinthquay.soak;

import java.io.IOException;
import java.net.Socket;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes responses to a connection; a late copy never falls within one. */
final class ResponseWriter {
  private static final Logger log = LogManager.getLogger();

  private final Socket socket;
  private boolean withinResponse;

  ResponseWriter(Socket socket) {
    this.socket = socket;
  }

  synchronized void beginResponse() {
    withinResponse = true;
  }

  synchronized void endResponse() {
    withinResponse = false;
  }

  synchronized void send(String text) throws IOException {
    socket.getOutputStream().write(HttpCodec.encode(text));
  }

  synchronized void sendBetweenResponses(String text) {
    try {
      if (!withinResponse) {
        send(text);
      }
    } catch (IOException e) {
      log.debug("a copy of a response could not be sent: {}", e.getMessage());
    }
  }
}
