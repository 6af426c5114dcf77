package io.jacinthquay.testkit.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Generates one response; used on the I/O thread of its connection. */
final class Sequence {
  private static final HttpString REQUEST_ID = new HttpString("x-request-id");
  private static final String MISMATCHED_ID = "another-request";

  private final HttpServerExchange exchange;
  private final String requestId;
  private final EngineRequest request;
  private final EngineFaults faults;
  private final EngineLog.Entry entry;
  private final Batch batch;
  private int remainingPrefillSteps;
  private int nextToken;
  private StreamSinkChannel sink;
  private ByteBuffer pending = ByteBuffer.allocate(0);
  private boolean ended;

  Sequence(
      HttpServerExchange exchange,
      String requestId,
      EngineRequest request,
      EngineFaults faults,
      EngineLog.Entry entry,
      Batch batch,
      int prefillSteps) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.request = request;
    this.faults = faults;
    this.entry = entry;
    this.batch = batch;
    this.remainingPrefillSteps = prefillSteps;
    this.nextToken = request.firstToken();
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

  /** Advances by one step: prefill, or one token. */
  void step() {
    if (ended || pending.hasRemaining()) {
      return;
    }
    if (remainingPrefillSteps > 0) {
      remainingPrefillSteps--;
      return;
    }
    int sent = nextToken - request.firstToken();
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
      stepBody();
    }
  }

  private void stepStream() {
    if (sink == null) {
      startResponse("text/event-stream");
      if (request.firstToken() == 0) {
        write(event("{\"role\":\"assistant\"}", "null", ""));
      }
    }
    if (nextToken < request.tokens()) {
      write(event("{\"content\":\"" + EngineText.token(nextToken) + "\"}", "null", ""));
      nextToken++;
      entry.setSentTokens(nextToken - request.firstToken());
    }
    if (!ended && nextToken >= request.tokens()) {
      write(event("{}", "\"stop\"", ",\"usage\":" + usage()));
      write("data: [DONE]\n\n");
      end();
    }
  }

  private void stepBody() {
    nextToken++;
    entry.setSentTokens(nextToken - request.firstToken());
    if (nextToken < request.tokens()) {
      return;
    }
    startResponse("application/json");
    write(
        "{\"id\":\""
            + responseId()
            + "\",\"object\":\"chat.completion\",\"choices\":[{\"index\":0,\"message\":"
            + "{\"role\":\"assistant\",\"content\":\""
            + EngineText.tokens(0, request.tokens())
            + "\"},\"finish_reason\":\"stop\"}],\"usage\":"
            + usage()
            + "}");
    end();
  }

  private String event(String delta, String finishReason, String extraFields) {
    return "data: {\"id\":\""
        + responseId()
        + "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":"
        + delta
        + ",\"finish_reason\":"
        + finishReason
        + "}]"
        + extraFields
        + "}\n\n";
  }

  private String responseId() {
    return faults.mismatchesEventIds() ? MISMATCHED_ID : requestId;
  }

  private String usage() {
    return "{\"prompt_tokens\":"
        + request.promptTokens()
        + ",\"completion_tokens\":"
        + request.tokens()
        + "}";
  }

  private void startResponse(String type) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange
        .getResponseHeaders()
        .put(REQUEST_ID, faults.mismatchesHeaderIds() ? MISMATCHED_ID : requestId);
    sink = exchange.getResponseChannel();
    sink.getWriteSetter().set(channel -> writePending());
  }

  private void write(String text) {
    if (ended) {
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
      if (ended) {
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
    if (ended) {
      return;
    }
    ended = true;
    batch.remove(this, true);
    entry.setComplete();
    if (!pending.hasRemaining()) {
      exchange.endExchange();
    }
  }

  /** Stops generating and closes the connection. */
  void cancel() {
    onDisconnect();
    IoUtils.safeClose(exchange.getConnection());
  }

  /** Stops generating because the connection is closed. */
  void onDisconnect() {
    if (!ended) {
      ended = true;
      batch.remove(this, false);
    }
  }
}
