package io.jacinthquay.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** The parsed body of a request to a fake engine. */
record EngineRequest(
    String model, boolean stream, int tokens, int priority, int firstToken, String prompt) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  static EngineRequest parse(byte[] body, int defaultTokens) throws IOException {
    JsonNode json = MAPPER.readTree(body);
    JsonNode prompt = json.has("messages") ? json.get("messages") : json.path("prompt");
    return new EngineRequest(
        json.path("model").asText(),
        json.path("stream").asBoolean(false),
        json.path("max_tokens").asInt(defaultTokens),
        json.path("priority").asInt(0),
        json.path("resume_from").path("tokens").asInt(0),
        text(prompt));
  }

  /** Returns all texts of a prompt, each followed by a line feed. */
  private static String text(JsonNode node) {
    if (node.isTextual()) {
      return node.asText() + "\n";
    }
    StringBuilder joined = new StringBuilder();
    node.forEach(child -> joined.append(text(child)));
    return joined.toString();
  }

  int promptTokens() {
    return 1 + prompt.length() / 4;
  }
}
