package io.jacinthquay.router.port;

import java.util.List;
import java.util.Optional;

/**
 * The status and headers of an HTTP response.
 *
 * @param status the HTTP status code
 * @param headers all headers, in the order of arrival
 */
public record ResponseHead(int status, List<Header> headers) {
  /**
   * Copies the headers.
   *
   * @throws NullPointerException if {@code headers} or an element is null
   */
  public ResponseHead {
    headers = List.copyOf(headers);
  }

  /** Returns the first value of the named header; names are case-insensitive. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }
}
