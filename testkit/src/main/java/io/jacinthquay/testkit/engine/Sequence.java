package io.jacinthquay.testkit.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** One answer in the making; used on the I/O thread of its connection. */
final class Sequence {
  private static final HttpString REQUEST_ID = new HttpString("x-request-id");
  private static final String OTHER_REQUEST = "another-request";

  private final HttpServerExchange exchange;
  private final String requestId;
  private final EngineRequest request;
  private final EngineFaults faults;
  private final EngineLog.Entry entry;
  private final Batch batch;
  private int prefillLeft;
  private int next;
  private StreamSinkChannel sink;
  private ByteBuffer pending = ByteBuffer.allocate(0);
  private boolean over;

  Sequence(
      HttpServerExchange exchange,
      String requestId,
      EngineRequest request,
      EngineFaults faults,
      EngineLog.Entry entry,
      Batch batch,
      int prefill) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.request = request;
    this.faults = faults;
    this.entry = entry;
    this.batch = batch;
    this.prefillLeft = prefill;
    this.next = request.firstToken();
  }

  int priority() {
    return request.priority();
  }

  String requestId() {
    return requestId;
  }

  HttpServerExchange exchange() {
    return exchange;
  }

  /** Gains one token. */
  void step() {
    if (over || pending.hasRemaining()) {
      return;
    }
    if (prefillLeft > 0) {
      prefillLeft--;
      return;
    }
    int sent = next - request.firstToken();
    if (faults.stallAfterTokens() >= 0 && sent >= faults.stallAfterTokens()) {
      return;
    }
    if (faults.dieAfterTokens() >= 0 && sent >= faults.dieAfterTokens()) {
      cancel();
      return;
    }
    if (request.stream()) {
      stepStream();
    } else {
      stepWhole();
    }
  }

  private void stepStream() {
    if (sink == null) {
      begin("text/event-stream");
      if (request.firstToken() == 0) {
        write(event("{\"role\":\"assistant\"}", "null", ""));
      }
    }
    if (next < request.tokens()) {
      write(event("{\"content\":\"" + EngineText.token(next) + "\"}", "null", ""));
      next++;
      entry.sent(next - request.firstToken());
    }
    if (!over && next >= request.tokens()) {
      write(event("{}", "\"stop\"", ",\"usage\":" + usage()));
      write("data: [DONE]\n\n");
      end();
    }
  }

  private void stepWhole() {
    next++;
    entry.sent(next - request.firstToken());
    if (next < request.tokens()) {
      return;
    }
    begin("application/json");
    write(
        "{\"id\":\""
            + answerId()
            + "\",\"object\":\"chat.completion\",\"choices\":[{\"index\":0,\"message\":"
            + "{\"role\":\"assistant\",\"content\":\""
            + EngineText.tokens(0, request.tokens())
            + "\"},\"finish_reason\":\"stop\"}],\"usage\":"
            + usage()
            + "}");
    end();
  }

  private String event(String delta, String finishReason, String more) {
    return "data: {\"id\":\""
        + answerId()
        + "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":"
        + delta
        + ",\"finish_reason\":"
        + finishReason
        + "}]"
        + more
        + "}\n\n";
  }

  private String answerId() {
    return faults.crossesEvents() ? OTHER_REQUEST : requestId;
  }

  private String usage() {
    return "{\"prompt_tokens\":"
        + request.promptTokens()
        + ",\"completion_tokens\":"
        + request.tokens()
        + "}";
  }

  private void begin(String type) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange
        .getResponseHeaders()
        .put(REQUEST_ID, faults.crossesHeads() ? OTHER_REQUEST : requestId);
    sink = exchange.getResponseChannel();
    sink.getWriteSetter().set(channel -> writePending());
  }

  private void write(String text) {
    if (over) {
      return;
    }
    ByteBuffer data = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    ByteBuffer joined = ByteBuffer.allocate(pending.remaining() + data.remaining());
    pending = joined.put(pending).put(data).flip();
    writePending();
  }

  private void writePending() {
    try {
      while (pending.hasRemaining()) {
        if (sink.write(pending) == 0) {
          sink.resumeWrites();
          return;
        }
      }
      if (over) {
        exchange.endExchange();
      } else if (sink.flush()) {
        sink.suspendWrites();
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      cancel();
    }
  }

  private void end() {
    if (over) {
      return;
    }
    over = true;
    batch.remove(this, true);
    entry.whole();
    if (!pending.hasRemaining()) {
      exchange.endExchange();
    }
  }

  /** Ends the work and closes the connection. */
  void cancel() {
    gone();
    IoUtils.safeClose(exchange.getConnection());
  }

  /** The caller went away. */
  void gone() {
    if (!over) {
      over = true;
      batch.remove(this, false);
    }
  }
}
