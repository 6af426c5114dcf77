package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.RequestHead;
import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The API key of a request; it is never logged or forwarded.
 *
 * <p>The key is read from {@code Authorization: Bearer}, in {@code x-api-key} or {@code api-key},
 * or from one of the query parameters in {@link #QUERY_PARAMETERS}.
 */
final class Credentials {
  /** Names of the query parameters that may contain a key. */
  static final Set<String> QUERY_PARAMETERS =
      Set.of("api_key", "api-key", "apikey", "key", "access_token");

  private static final String BEARER = "bearer ";

  private final Optional<String> key;

  private Credentials(Optional<String> key) {
    this.key = key;
  }

  /** Reads the key from a request head; returns a failure if it holds several different keys. */
  static Either<Failure, Credentials> of(RequestHead head) {
    Set<String> keys = new LinkedHashSet<>();
    for (String value : head.headers("authorization")) {
      String lower = value.toLowerCase(Locale.ROOT);
      keys.add(lower.startsWith(BEARER) ? value.substring(BEARER.length()).strip() : value);
    }
    keys.addAll(head.headers("x-api-key"));
    keys.addAll(head.headers("api-key"));
    keys.addAll(Query.of(head.query()).values(QUERY_PARAMETERS));
    keys.remove("");
    if (keys.size() > 1) {
      return Either.left(Failure.of(ResultCode.BAD_REQUEST, "several keys were presented"));
    }
    return Either.right(new Credentials(keys.stream().findFirst()));
  }

  Optional<KeyDigest> digest() {
    return key.map(KeyDigest::ofKey);
  }

  /** Returns whether any of the parts contains the key, escaped or not. */
  boolean occursIn(List<byte[]> parts) {
    return key.map(k -> KeySearch.of(k).occursInAny(parts)).orElse(false);
  }

  @Override
  public String toString() {
    return key.isPresent() ? "a key" : "no key";
  }
}
