package io.jacinthquay.model.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.reflect.Executable;
import java.lang.reflect.Parameter;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that the published JSON schema has the same sections and fields as the records. */
final class PolicySchemaTest {
  private static JsonNode schema() throws IOException {
    return new ObjectMapper().readTree(Path.of("..", "docs", "policy.schema.json").toFile());
  }

  @Test
  void schemaSectionsMatchTheDocument() throws IOException {
    Set<String> sections =
        Arrays.stream(EntityKind.values())
            .filter(EntityKind::inDocument)
            .map(EntityKind::section)
            .collect(Collectors.toCollection(TreeSet::new));

    assertEquals(sections, names(schema().get("properties")));
  }

  @ParameterizedTest
  @EnumSource(
      value = EntityKind.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = {"KEY", "DOMAIN_STATE", "VM_STATE"})
  void schemaFieldsMatchTheRecord(EntityKind kind) throws IOException {
    JsonNode entity = schema().get("$defs").get(kind.section());

    assertEquals(fields(kind.type(), p -> true), names(entity.get("properties")));
    Set<String> required = new TreeSet<>();
    entity.get("required").forEach(name -> required.add(name.asText()));
    assertEquals(fields(kind.type(), JsonProperty::required), required);
  }

  private static Set<String> names(JsonNode object) {
    Iterable<String> names = object::fieldNames;
    return StreamSupport.stream(names.spliterator(), false)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static Set<String> fields(Class<?> type, Predicate<JsonProperty> filter) {
    Executable creator =
        Stream.<Executable>concat(
                Arrays.stream(type.getDeclaredConstructors()),
                Arrays.stream(type.getDeclaredMethods()))
            .filter(e -> e.isAnnotationPresent(JsonCreator.class))
            .findFirst()
            .orElseThrow();
    return Arrays.stream(creator.getParameters())
        .map((Parameter p) -> p.getAnnotation(JsonProperty.class))
        .filter(filter)
        .map(JsonProperty::value)
        .collect(Collectors.toCollection(TreeSet::new));
  }
}
