package io.jacinthquay.router.port;

import java.util.List;
import java.util.Optional;

/**
 * The head of an upstream's answer.
 *
 * @param status HTTP status
 * @param headers in the order of arrival
 */
public record AnswerHead(int status, List<Header> headers) {
  /**
   * Copies the list.
   *
   * @throws NullPointerException if a part is missing
   */
  public AnswerHead {
    headers = List.copyOf(headers);
  }

  /** Returns the first value of a header, whatever its case. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }
}
