package io.jacinthquay.model.policy;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;

/**
 * Parses entities from JSON and converts JSON to a canonical form.
 *
 * <pre>{@code
 * Either<Failure, ClassPolicy> read = EntityJson.read(json, ClassPolicy.class);
 * }</pre>
 */
public final class EntityJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .serializationInclusion(JsonInclude.Include.NON_NULL)
          .visibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
          .build();

  private EntityJson() {}

  static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Parses one entity.
   *
   * @param json the JSON form
   * @param type the record type of the entity
   * @return the entity, or a {@link ResultCode#CONFIG_INVALID} failure that names the error
   */
  public static <T> Either<Failure, T> read(String json, Class<T> type) {
    try {
      return Either.right(MAPPER.readValue(json, type));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.of(ResultCode.CONFIG_INVALID, message(e)));
    }
  }

  /**
   * Returns the canonical form of a JSON text: no whitespace and sorted fields, so that equal
   * entities have equal text.
   *
   * @throws IllegalArgumentException if {@code json} is not valid JSON
   */
  public static String canonical(String json) {
    try {
      JsonNode tree = MAPPER.readTree(json);
      return MAPPER.writeValueAsString(MAPPER.treeToValue(tree, Object.class));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(message(e), e);
    }
  }

  /** Returns the message of a JSON error, without the location and source that Jackson appends. */
  static String message(JsonProcessingException e) {
    Throwable cause = e.getCause();
    boolean causeHasMessage = cause instanceof IllegalArgumentException || isMissing(cause);
    String text = causeHasMessage ? cause.getMessage() : e.getOriginalMessage();
    return e instanceof JsonMappingException && isMissing(cause) ? text + " is missing" : text;
  }

  private static boolean isMissing(Throwable cause) {
    return cause instanceof NullPointerException && cause.getMessage() != null;
  }
}
