package io.jacinthquay.runtime.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class JsonEntriesTest {
  private static final int MAX_ENTRIES = 4;

  private static List<String> read(String text) throws IOException {
    JsonEntries entries = JsonEntries.of(text, "list", MAX_ENTRIES);
    List<String> read = new ArrayList<>();
    for (Optional<JsonNode> next = entries.next(); next.isPresent(); next = entries.next()) {
      read.add(next.get().toString());
    }
    return read;
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"list\":[1,\"a\",{\"b\":[2]},null]} | [1, \"a\", {\"b\":[2]}, null]",
        "{\"x\":{\"list\":[1]},\"list\":[[],{}],\"y\":[3]} | [[], {}]",
        "{\"list\":[]} | []",
        "{\"list\":{\"a\":1},\"x\":2} | []",
        "{\"list\":null} | []",
        "{} | []",
        "[{\"list\":[1]}] | []",
        "7 | []",
        "'' | []"
      })
  void readsTheEntriesOfTheList(String text, String expected) throws IOException {
    assertEquals(expected, read(text).toString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"list\":[1,2",
        "{\"list\":[1,2]",
        "{\"list\":[1,2],\"x\":}",
        "{\"x\":[1,",
        "{\"list\":[1 2]}",
        "{\"list\":[1,2,3,4,5]}"
      })
  void malformedOrLongTextsFail(String text) {
    assertThrows(IOException.class, () -> read(text));
  }

  /** Values beside an entry don't count, those of the entry do. */
  @ParameterizedTest
  @ValueSource(strings = {"0", "[]", "{}", "{\"a\":0}"})
  void valuesOfAnEntryAreBounded(String value) throws IOException {
    String many = "[" + (value + ",").repeat(JsonEntries.MAX_ENTRY_TOKENS) + value + "]";
    assertEquals(List.of("1"), read("{\"x\":" + many + ",\"list\":[1],\"y\":" + many + "}"));
    assertThrows(IOException.class, () -> read("{\"list\":[1," + many + "]}"));
  }
}
