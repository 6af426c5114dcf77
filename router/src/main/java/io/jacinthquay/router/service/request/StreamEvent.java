package io.jacinthquay.router.service.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** What the router reads out of one event of a streamed answer, or of a whole JSON answer. */
final class StreamEvent {
  private static final JsonFactory JSON = new JsonFactory();
  private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

  /** The kinds of event. */
  enum Kind {
    /** A comment or an event without data. */
    EMPTY,
    /** A part of the answer. */
    PART,
    /** The last event. */
    DONE,
    /** Data that is not what an engine sends. */
    MALFORMED
  }

  private Kind kind = Kind.EMPTY;
  private String id = "";
  private String text = "";
  private boolean finished;
  private long promptTokens = -1;
  private long completionTokens = -1;
  private long cachedTokens = -1;

  private StreamEvent() {}

  /** Reads one event with its closing blank line. */
  static StreamEvent of(byte[] bytes, int from, int to) {
    StreamEvent event = new StreamEvent();
    int at = from;
    while (at < to) {
      int lineEnd = at;
      while (lineEnd < to && bytes[lineEnd] != '\n') {
        lineEnd++;
      }
      if (startsWith(bytes, at, lineEnd, DATA)) {
        event.readData(bytes, at + DATA.length, lineEnd);
      }
      at = lineEnd + 1;
    }
    return event;
  }

  /** Reads a whole JSON answer. */
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
    int at = from;
    while (at < to && bytes[at] == ' ') {
      at++;
    }
    if (startsWith(bytes, at, to, DONE)) {
      kind = Kind.DONE;
      return;
    }
    kind = Kind.PART;
    try (JsonParser json = JSON.createParser(bytes, at, to - at)) {
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
        throw new IOException("the answer ends early");
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
      text = text.isEmpty() ? json.getText() : text + json.getText();
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

  /** Returns the request that the event belongs to; empty if it names none. */
  String id() {
    return id;
  }

  /** Returns the text of the event; empty if it carries none. */
  String text() {
    return text;
  }

  /** Returns whether the event tells why the answer ends. */
  boolean finished() {
    return finished;
  }

  /** Returns the prompt tokens by the engine's count; -1 if the event holds none. */
  long promptTokens() {
    return promptTokens;
  }

  /** Returns the output tokens by the engine's count; -1 if the event holds none. */
  long completionTokens() {
    return completionTokens;
  }

  /** Returns the prompt tokens that were cached; -1 if the event holds none. */
  long cachedTokens() {
    return cachedTokens;
  }
}
