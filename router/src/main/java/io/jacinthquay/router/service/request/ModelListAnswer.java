package io.jacinthquay.router.service.request;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.port.Caller;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;

/** The answer to {@code GET /v1/models}. */
final class ModelListAnswer {
  private static final JsonFactory JSON = new JsonFactory();

  private ModelListAnswer() {}

  static void send(Caller caller, RequestId id, List<ModelName> models) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeStringField("object", "list");
      json.writeArrayFieldStart("data");
      for (ModelName model : models) {
        json.writeStartObject();
        json.writeStringField("id", model.value());
        json.writeStringField("object", "model");
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    LocalAnswers.send(
        caller,
        200,
        "application/json",
        out.toByteArray(),
        ErrorAnswers.headers(id, Outcome.NOT_RUN));
  }
}
