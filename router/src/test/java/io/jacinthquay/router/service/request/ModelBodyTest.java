package io.jacinthquay.router.service.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.ResultCode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ModelBodyTest {
  /** The names of a body of 8 MB filled the heap of a router. */
  @ParameterizedTest
  @CsvSource({
    "'{', '}', 99999, true",
    "'{', '}', 100000, false",
    "'{\"x\":[{', '}]}', 99998, true",
    "'{\"x\":[{', '}]}', 99999, false",
    "'{\"priority\":{', '}}', 99999, false"
  })
  void numberOfFieldsIsBounded(String start, String end, int count, boolean expected) {
    StringBuilder body = new StringBuilder("{\"model\":\"m\",").append(start.substring(1));
    for (int i = 0; i < count; i++) {
      body.append(i == 0 ? "\"" : ",\"").append(i).append("\":1");
    }
    byte[] json = body.append(end).toString().getBytes(StandardCharsets.UTF_8);
    assertEquals(expected, ModelBody.parse(json).isRight());
  }

  /** A byte that isn't UTF-8 was replaced by another character and sent to the engine. */
  @ParameterizedTest
  @CsvSource({"'{\"model\":\"m\",\"prompt\":\"ab\u00FFc\"}'", "'{\"model\":\"m\",\"x\u00FF\":1}'"})
  void malformedUtf8IsRefused(String body) {
    byte[] json = body.getBytes(StandardCharsets.ISO_8859_1);
    assertEquals(ResultCode.MALFORMED_JSON, ModelBody.parse(json).getLeft().code());
  }
}
