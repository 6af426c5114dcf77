package io.jacinthquay.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks that the documented table of result codes matches the code. */
class ResultCodeTest {
  private static final Path TABLE = Path.of("..", "docs", "RESULT-CODES.md");

  @Test
  void documentedTableMatchesAllCodes() throws IOException {
    List<String> rows;
    try (var lines = Files.lines(TABLE)) {
      rows = lines.filter(line -> line.matches("\\| \\d.*")).collect(Collectors.toList());
    }
    List<String> expected =
        Arrays.stream(ResultCode.values()).map(ResultCodeTest::row).collect(Collectors.toList());
    assertEquals(expected, rows);
  }

  @Test
  void numbersAscendAndResolveToTheirCode() {
    int previous = 0;
    for (ResultCode code : ResultCode.values()) {
      assertTrue(code.number() > previous, code.name());
      assertEquals(code, ResultCode.of(code.number()).orElseThrow());
      previous = code.number();
    }
  }

  private static String row(ResultCode code) {
    return String.format(
        "| %d | %s | %d | %s | %s | %s |",
        code.number(),
        code.name(),
        code.httpStatus(),
        code.outcome().text(),
        code.meaning(),
        code.advice());
  }
}
