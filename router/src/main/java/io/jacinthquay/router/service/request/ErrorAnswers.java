package io.jacinthquay.router.service.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Writes failures as JSON error answers and as error events of a stream. */
final class ErrorAnswers {
  static final String OUTCOME_HEADER = "x-jq-outcome";
  static final String REQUEST_ID_HEADER = "x-request-id";

  private static final JsonFactory JSON = new JsonFactory();
  private static final long MILLIS_PER_SECOND = 1_000;

  private ErrorAnswers() {}

  /**
   * Sends a complete error answer.
   *
   * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 if unknown
   */
  static void send(
      Caller caller, RequestId id, Failure failure, Outcome outcome, long retryAfterMillis) {
    byte[] body = body(id, failure, outcome);
    List<Header> headers = new ArrayList<>(headers(id, outcome));
    headers.add(new Header("content-type", "application/json"));
    if (retryAfterMillis > 0) {
      long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.add(new Header("retry-after", Long.toString(seconds)));
    }
    caller.sendResponse(new ResponseHead(failure.code().httpStatus(), headers), body);
  }

  /** Returns the headers that every answer carries. */
  static List<Header> headers(RequestId id, Outcome outcome) {
    return List.of(
        new Header(REQUEST_ID_HEADER, id.value()), new Header(OUTCOME_HEADER, outcome.text()));
  }

  /** Returns the error event that ends a stream. */
  static byte[] event(RequestId id, Failure failure, Outcome outcome) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes("event: error\ndata: ".getBytes(StandardCharsets.US_ASCII));
    out.writeBytes(body(id, failure, outcome));
    out.writeBytes("\n\n".getBytes(StandardCharsets.US_ASCII));
    return out.toByteArray();
  }

  private static byte[] body(RequestId id, Failure failure, Outcome outcome) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeObjectFieldStart("error");
      json.writeNumberField("code", failure.code().number());
      json.writeStringField("name", failure.code().name());
      json.writeStringField("message", failure.detail());
      json.writeStringField("outcome", outcome.text());
      json.writeStringField("request_id", id.value());
      json.writeEndObject();
      json.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toByteArray();
  }
}
