package io.jacinthquay.router.service.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The fields that the router reads from a stream event or from a complete JSON answer. */
final class StreamEvent {
  private static final JsonFactory JSON = new JsonFactory();
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

  /** The kind of an event. */
  enum Kind {
    /** A comment or an event without data. */
    EMPTY,
    /** A part of the answer. */
    PART,
    /** The marker of the end of the stream. */
    DONE,
    /** Data that is not a valid engine answer. */
    MALFORMED
  }

  private Kind kind = Kind.EMPTY;
  private String id = "";
  private final StringBuilder text = new StringBuilder();
  private boolean finished;
  private long promptTokens = -1;
  private long completionTokens = -1;
  private long cachedTokens = -1;

  private StreamEvent() {}

  /** Parses one event, including its closing blank line. */
  static StreamEvent of(byte[] bytes, int from, int to) {
    StreamEvent event = new StreamEvent();
    int pos = from;
    while (pos < to) {
      int lineEnd = pos;
      while (lineEnd < to && bytes[lineEnd] != '\n') {
        lineEnd++;
      }
      if (startsWith(bytes, pos, lineEnd, DATA)) {
        event.readData(bytes, pos + DATA.length, lineEnd);
      }
      pos = lineEnd + 1;
    }
    return event;
  }

  /** Parses a complete JSON answer. */
  static StreamEvent ofAnswer(byte[] json) {
    StreamEvent event = new StreamEvent();
    event.readData(json, 0, json.length);
    return event;
  }

  private static boolean startsWith(byte[] bytes, int from, int to, byte[] prefix) {
    if (to - from < prefix.length) {
      return false;
    }
    for (int i = 0; i < prefix.length; i++) {
      if (bytes[from + i] != prefix[i]) {
        return false;
      }
    }
    return true;
  }

  private void readData(byte[] bytes, int from, int to) {
    int pos = from;
    while (pos < to && bytes[pos] == ' ') {
      pos++;
    }
    if (startsWith(bytes, pos, to, DONE)) {
      kind = Kind.DONE;
      return;
    }
    kind = Kind.PART;
    try (JsonParser json = JSON.createParser(bytes, pos, to - pos)) {
      readObject(json);
    } catch (IOException e) {
      kind = Kind.MALFORMED;
    }
  }

  private void readObject(JsonParser json) throws IOException {
    if (json.nextToken() != JsonToken.START_OBJECT) {
      kind = Kind.MALFORMED;
      return;
    }
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String name = json.currentName();
      json.nextToken();
      switch (name) {
        case "id" -> id = json.getValueAsString("");
        case "choices" -> readChoices(json);
        case "usage" -> readUsage(json);
        default -> json.skipChildren();
      }
    }
  }

  private void readChoices(JsonParser json) throws IOException {
    int depth = 0;
    do {
      JsonToken token = json.currentToken();
      if (token == null) {
        throw new IOException("the answer is truncated");
      }
      depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
      if (token == JsonToken.VALUE_STRING) {
        readText(json);
      }
    } while (depth > 0 && json.nextToken() != null);
  }

  private void readText(JsonParser json) throws IOException {
    String name = json.currentName();
    if ("content".equals(name) || "text".equals(name)) {
      text.append(json.getText());
    } else if ("finish_reason".equals(name)) {
      finished = true;
    }
  }

  private void readUsage(JsonParser json) throws IOException {
    if (json.currentToken() != JsonToken.START_OBJECT) {
      json.skipChildren();
      return;
    }
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String name = json.currentName();
      json.nextToken();
      switch (name) {
        case "prompt_tokens" -> promptTokens = json.getValueAsLong(-1);
        case "completion_tokens" -> completionTokens = json.getValueAsLong(-1);
        case "cached_tokens" -> cachedTokens = json.getValueAsLong(-1);
        default -> json.skipChildren();
      }
    }
  }

  Kind kind() {
    return kind;
  }

  /** Returns the id of the request that the event belongs to; empty if the event has none. */
  String id() {
    return id;
  }

  /** Returns whether the event has text. */
  boolean hasText() {
    return !text.isEmpty();
  }

  /** Returns a copy of the text of the event; empty if it has none. */
  String text() {
    return text.toString();
  }

  /** Returns whether the event has a finish reason. */
  boolean finished() {
    return finished;
  }

  /** Returns the number of prompt tokens reported by the engine; -1 if not reported. */
  long promptTokens() {
    return promptTokens;
  }

  /** Returns the number of output tokens reported by the engine; -1 if not reported. */
  long completionTokens() {
    return completionTokens;
  }

  /** Returns the number of cached prompt tokens reported by the engine; -1 if not reported. */
  long cachedTokens() {
    return cachedTokens;
  }
}
