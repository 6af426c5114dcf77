package io.jacinthquay.runtime.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests precedence, errors and informational flags of {@link SettingsParser}. */
class SettingsParserTest {
  private static final Setting<Integer> PORT =
      Setting.integer("port", "TCP port", "port number", 0, 65535).withDefault("8080");
  private static final Setting<String> DOMAIN = Setting.text("domain", "failure domain");
  private static final SettingsParser PARSER =
      SettingsParser.of("jq-x", "Tests.", List.of(PORT, DOMAIN));

  private static String[] arguments(String line) {
    return line.isEmpty() ? new String[0] : line.split(" ");
  }

  @ParameterizedTest
  @CsvSource({"--domain a,8080", "--domain a --port 9,9", "--domain a --port 0,0"})
  void flagOverridesDefault(String line, int port) {
    assertEquals(port, PARSER.parse(arguments(line), Map.of()).get().value(PORT));
  }

  @Test
  void flagOverridesEnvironment() {
    Map<String, String> environment = Map.of("JQ_PORT", "1", "JQ_DOMAIN", "b");
    assertEquals(1, PARSER.parse(arguments(""), environment).get().value(PORT));
    assertEquals(2, PARSER.parse(arguments("--port 2"), environment).get().value(PORT));
  }

  @ParameterizedTest
  @CsvSource({
    "'',1,JQ_DOMAIN",
    "--port x,2,--port",
    "--port 70000 --bad 1,4,unknown",
    "--port,1,port"
  })
  void reportsAllErrorsAtOnce(String line, int count, String word) {
    List<String> errors = PARSER.parse(arguments(line), Map.of()).getLeft();
    assertEquals(count, errors.size(), errors.toString());
    assertTrue(errors.toString().contains(word), errors.toString());
  }

  @ParameterizedTest
  @CsvSource({"--help,JQ_PORT", "--version,jq-x", "--domain a --check,valid"})
  void informationalFlagsYieldTextToPrint(String line, String word) {
    String text = PARSER.parse(arguments(line), Map.of()).get().textToPrint().orElseThrow();
    assertTrue(text.contains(word), text);
  }
}
