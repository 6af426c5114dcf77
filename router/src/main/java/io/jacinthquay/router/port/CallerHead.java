package io.jacinthquay.router.port;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The head of a caller's request.
 *
 * @param method HTTP method
 * @param path the decoded path
 * @param rawPath the path as sent
 * @param query the query as sent; empty if there is none
 * @param headers all headers, in the order of arrival
 */
public record CallerHead(
    String method, String path, String rawPath, String query, List<Header> headers) {
  /**
   * Copies the headers.
   *
   * @throws NullPointerException if a part is missing
   */
  public CallerHead {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(rawPath, "rawPath");
    Objects.requireNonNull(query, "query");
    headers = List.copyOf(headers);
  }

  /** Returns the first value of a header, whatever its case. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }

  /** Returns all values of a header, whatever its case. */
  public List<String> headers(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .toList();
  }
}
