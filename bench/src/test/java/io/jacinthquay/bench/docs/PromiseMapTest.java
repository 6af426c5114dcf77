package io.jacinthquay.bench.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that docs/PROMISES.md names at least one test class per promise, and only existing ones.
 */
class PromiseMapTest {
  private static final Path ROOT = Path.of("..");
  private static final int PROMISES = 15;
  private static final Pattern TEST_NAME = Pattern.compile("`([A-Z]\\w+)`");

  @Test
  void everyNamedTestClassExists() throws IOException {
    Set<String> existing = testClasses();
    List<String> missing = new ArrayList<>();
    for (String row : rows()) {
      Matcher names = TEST_NAME.matcher(row.split("\\|")[3]);
      int nameCount = 0;
      for (; names.find(); nameCount++) {
        if (!existing.contains(names.group(1))) {
          missing.add(names.group(1));
        }
      }
      assertFalse(nameCount == 0, row);
    }
    assertEquals(List.of(), missing);
  }

  @Test
  void everyPromiseHasARow() throws IOException {
    assertEquals(PROMISES, rows().size());
  }

  private static List<String> rows() throws IOException {
    List<String> lines = Files.readAllLines(ROOT.resolve("docs/PROMISES.md"));
    return lines.stream().filter(line -> line.startsWith("| ")).skip(1).toList();
  }

  private static Set<String> testClasses() throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      return files
          .filter(file -> file.toString().contains("src/test/java"))
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(".java"))
          .map(name -> name.substring(0, name.length() - ".java".length()))
          .collect(Collectors.toSet());
    }
  }
}
