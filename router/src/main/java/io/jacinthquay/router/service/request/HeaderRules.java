package io.jacinthquay.router.service.request;

import io.jacinthquay.router.port.Header;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Lists of the headers forwarded to upstreams and to callers; all others are dropped. */
final class HeaderRules {
  private static final Set<String> TO_UPSTREAM =
      Set.of(
          "accept",
          "accept-language",
          "content-language",
          "content-type",
          "idempotency-key",
          "if-match",
          "if-modified-since",
          "if-none-match",
          "if-range",
          "if-unmodified-since",
          "range",
          "traceparent",
          "tracestate",
          "user-agent");

  private static final Set<String> TO_CALLER =
      Set.of(
          "accept-ranges",
          "allow",
          "cache-control",
          "content-disposition",
          "content-encoding",
          "content-language",
          "content-range",
          "content-type",
          "etag",
          "expires",
          "last-modified",
          "location",
          "retry-after",
          "vary",
          "www-authenticate");

  private HeaderRules() {}

  static List<Header> toUpstream(List<Header> headers) {
    return filter(headers, TO_UPSTREAM);
  }

  static List<Header> toCaller(List<Header> headers) {
    return filter(headers, TO_CALLER);
  }

  private static List<Header> filter(List<Header> headers, Set<String> allowed) {
    return headers.stream()
        .filter(header -> allowed.contains(header.name().toLowerCase(Locale.ROOT)))
        .toList();
  }
}
