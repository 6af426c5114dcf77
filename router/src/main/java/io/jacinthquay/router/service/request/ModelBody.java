package io.jacinthquay.router.service.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** The body of a model request, parsed and copied in one pass. */
final class ModelBody {
  private static final JsonFactory JSON =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  /**
   * Most fields of all objects of a body. The detection of duplicates keeps a name of a few bytes
   * with about a hundred bytes of memory, and the parser's table of names has another entry.
   */
  private static final int MAX_FIELDS = 100_000;

  /** Fields that only the router may set; they are removed from the caller's body. */
  private static final Set<String> OWN_FIELDS = Set.of("priority", "resume_from");

  private static final Set<String> PROMPT_FIELDS = Set.of("messages", "prompt");

  /** Assumed size of a token in estimates, in bytes of text. */
  static final int BYTES_PER_TOKEN = 4;

  /** Length of the prompt's start that is kept for prefix matching, in characters. */
  private static final int MAX_PREFIX_CHARS = 64 * 1024;

  private final StringBuilder prompt = new StringBuilder();
  private long promptChars;
  private int fieldCount;
  private ModelName model;
  private boolean stream;
  private long maxTokens = Long.MAX_VALUE;
  private byte[] unclosedJson;

  private ModelBody() {}

  /** Parses a body; returns a failure if it is malformed. */
  static Either<Failure, ModelBody> parse(byte[] json) {
    ModelBody body = new ModelBody();
    try {
      body.read(json);
    } catch (IOException | IllegalArgumentException e) {
      if (body.fieldCount > MAX_FIELDS) {
        return malformed("the body has more than " + MAX_FIELDS + " fields");
      }
      return malformed("the body is not a JSON object of the model interface");
    }
    if (body.model == null) {
      return malformed("the field model is missing");
    }
    return Either.right(body);
  }

  private static Either<Failure, ModelBody> malformed(String detail) {
    return Either.left(Failure.of(ResultCode.MALFORMED_JSON, detail));
  }

  private void read(byte[] json) throws IOException {
    ByteArrayOutputStream copy = new ByteArrayOutputStream(json.length + 64);
    try (JsonParser in = JSON.createParser(json);
        JsonGenerator out = JSON.createGenerator(copy)) {
      require(in.nextToken() == JsonToken.START_OBJECT);
      out.writeStartObject();
      while (next(in) == JsonToken.FIELD_NAME) {
        readField(in, out);
      }
      require(in.nextToken() == null);
    }
    byte[] completeJson = copy.toByteArray();
    unclosedJson = java.util.Arrays.copyOf(completeJson, completeJson.length - 1);
  }

  /** Advances to the next token; each field counts, also one that is removed. */
  private JsonToken next(JsonParser in) throws IOException {
    JsonToken token = in.nextToken();
    if (token == JsonToken.FIELD_NAME) {
      fieldCount++;
      require(fieldCount <= MAX_FIELDS);
    }
    return token;
  }

  private void readField(JsonParser in, JsonGenerator out) throws IOException {
    String name = in.currentName();
    JsonToken value = next(in);
    if (OWN_FIELDS.contains(name)) {
      skipValue(in, value);
      return;
    }
    out.writeFieldName(name);
    switch (name) {
      case "model" -> model = new ModelName(in.getValueAsString(""));
      case "stream" -> stream = readBoolean(in);
      case "max_tokens", "max_completion_tokens" -> maxTokens = readLimit(in);
      default -> {
        // Other fields are copied without being interpreted.
      }
    }
    copyValue(in, out, PROMPT_FIELDS.contains(name));
  }

  private static boolean readBoolean(JsonParser in) {
    require(in.currentToken().isBoolean() || in.currentToken() == JsonToken.VALUE_NULL);
    return in.currentToken() == JsonToken.VALUE_TRUE;
  }

  private long readLimit(JsonParser in) throws IOException {
    if (in.currentToken() == JsonToken.VALUE_NULL) {
      return maxTokens;
    }
    require(in.currentToken() == JsonToken.VALUE_NUMBER_INT);
    require(in.getLongValue() > 0);
    return Math.min(maxTokens, in.getLongValue());
  }

  private void skipValue(JsonParser in, JsonToken first) throws IOException {
    int depth = 0;
    JsonToken token = first;
    while (true) {
      require(token != null);
      depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
      if (depth == 0) {
        return;
      }
      token = next(in);
    }
  }

  private void copyValue(JsonParser in, JsonGenerator out, boolean isPrompt) throws IOException {
    int depth = 0;
    do {
      JsonToken token = in.currentToken();
      require(token != null);
      if (isPrompt && token == JsonToken.VALUE_STRING) {
        addPrompt(in.getText());
      }
      out.copyCurrentEvent(in);
      depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
    } while (depth > 0 && next(in) != null);
  }

  private void addPrompt(String text) {
    promptChars += text.length();
    int remaining = MAX_PREFIX_CHARS - prompt.length();
    prompt.append(text, 0, Math.min(remaining, text.length())).append('\n');
  }

  private static void require(boolean condition) {
    if (!condition) {
      throw new IllegalArgumentException("malformed");
    }
  }

  ModelName model() {
    return model;
  }

  boolean stream() {
    return stream;
  }

  /** Returns the caller's limit of output tokens, at most {@code upperBound}. */
  long maxTokens(long upperBound) {
    return Math.min(maxTokens, upperBound);
  }

  /** Returns the start of the prompt, for prefix matching. */
  byte[] promptBytes() {
    return prompt.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the estimated number of prompt tokens, 1 or more. */
  int promptTokens() {
    return (int) Math.min(Integer.MAX_VALUE, 1 + promptChars / BYTES_PER_TOKEN);
  }

  /**
   * Returns the body to send to an engine.
   *
   * @param priority the priority of the request; smaller values are served first
   * @param delivered output that was sent to the caller already, which the engine must not repeat
   */
  byte[] forward(int priority, DeliveredOutput delivered) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(unclosedJson.length + 64);
    out.writeBytes(unclosedJson);
    out.writeBytes((",\"priority\":" + priority).getBytes(StandardCharsets.UTF_8));
    if (delivered.tokens() > 0) {
      out.writeBytes(resumeField(delivered));
    }
    out.write('}');
    return out.toByteArray();
  }

  private static byte[] resumeField(DeliveredOutput delivered) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(",\"resume_from\":".getBytes(StandardCharsets.UTF_8));
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeNumberField("tokens", delivered.tokens());
      json.writeStringField("text", delivered.text());
      json.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toByteArray();
  }
}
