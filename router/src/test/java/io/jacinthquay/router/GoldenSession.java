package io.jacinthquay.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * A recorded exchange in a readable file: the request of the caller, the requests that upstreams
 * receive, the response to the caller, and the request log.
 */
record GoldenSession(
    String setup, String request, String upstreamRequests, String response, String log) {
  private static final Path FOLDER = Path.of("src/test/resources/golden");

  /** Start of the line before each section. */
  private static final String SECTION_MARK = "=== ";

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
    String[] parts = Files.readString(file(name)).split("(?m)^" + SECTION_MARK + ".*\n", -1);
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
                SECTION_MARK + "caller sends",
                request,
                SECTION_MARK + "upstream sees",
                upstreamRequests,
                SECTION_MARK + "caller gets",
                response,
                SECTION_MARK + "log",
                log)
            + "\n";
    Files.writeString(file(name), text);
  }

  private static Path file(String name) {
    return FOLDER.resolve(name + ".session");
  }

  /** Returns the path of the request. */
  String path() {
    return request.split(" ", 3)[1];
  }

  /** Returns the request as sent: the head with CRLF line ends, and the body unchanged. */
  String requestOnTheWire() {
    int end = request.indexOf("\n\n");
    String head = request.substring(0, end).replace("\n", "\r\n");
    String body = request.substring(end + 2);
    return head + "\r\n\r\n" + body;
  }
}
