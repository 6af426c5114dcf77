package io.jacinthquay.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * A whole exchange in a readable file: what the caller sends, what the upstream sees, what the
 * caller gets and what is logged.
 */
record GoldenSession(String setup, String sends, String sees, String gets, String logs) {
  private static final Path FOLDER = Path.of("src/test/resources/golden");
  private static final String MARK = "=== ";

  static Stream<String> names() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      List<String> names =
          files
              .map(file -> file.getFileName().toString().replace(".session", ""))
              .sorted()
              .toList();
      return names.stream();
    }
  }

  static GoldenSession read(String name) throws IOException {
    String[] parts = Files.readString(file(name)).split("(?m)^" + MARK + ".*\n", -1);
    return new GoldenSession(
        parts[0].strip().replace("setup: ", ""),
        parts[1].strip(),
        parts[2].strip(),
        parts[3].strip(),
        parts[4].strip());
  }

  void write(String name) throws IOException {
    String text =
        "setup: "
            + String.join(
                "\n",
                setup,
                MARK + "caller sends",
                sends,
                MARK + "upstream sees",
                sees,
                MARK + "caller gets",
                gets,
                MARK + "log",
                logs)
            + "\n";
    Files.writeString(file(name), text);
  }

  private static Path file(String name) {
    return FOLDER.resolve(name + ".session");
  }

  /** Returns the path that the caller asks for. */
  String path() {
    return sends.split(" ", 3)[1];
  }

  /** Returns the bytes that the caller sends: a head with its line ends, and the body as it is. */
  String request() {
    int end = sends.indexOf("\n\n");
    String head = sends.substring(0, end).replace("\n", "\r\n");
    String body = sends.substring(end + 2);
    return head + "\r\n\r\n" + body;
  }
}
