package io.jacinthquay.router.port;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The request line and headers of a caller's request.
 *
 * @param method the HTTP method
 * @param path the path, percent-decoded
 * @param rawPath the path as sent
 * @param query the query as sent; empty if there is none
 * @param headers all headers, in the order of arrival
 */
public record RequestHead(
    String method, String path, String rawPath, String query, List<Header> headers) {
  /**
   * Copies the headers.
   *
   * @throws NullPointerException if a component is null
   */
  public RequestHead {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(rawPath, "rawPath");
    Objects.requireNonNull(query, "query");
    headers = List.copyOf(headers);
  }

  /** Returns the first value of the named header; names are case-insensitive. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }

  /** Returns all values of the named header; names are case-insensitive. */
  public List<String> headers(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .toList();
  }
}
