package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.CallerHead;
import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The key that a caller presented; never logged and never sent on.
 *
 * <p>A key stands in {@code Authorization: Bearer}, in {@code x-api-key} or {@code api-key}, or in
 * one of the query parameters of {@link #QUERY_PARAMETERS}.
 */
final class Credentials {
  /** Query parameters that hold keys. */
  static final Set<String> QUERY_PARAMETERS =
      Set.of("api_key", "api-key", "apikey", "key", "access_token");

  private static final String BEARER = "bearer ";

  private final Optional<String> key;

  private Credentials(Optional<String> key) {
    this.key = key;
  }

  /** Reads the key out of a head; two different keys are a malformed request. */
  static Either<Failure, Credentials> of(CallerHead head) {
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

  /** Returns whether the key occurs in any of the parts, escaped or not. */
  boolean occursIn(List<byte[]> parts) {
    return key.map(k -> KeySearch.of(k).occursInAny(parts)).orElse(false);
  }

  @Override
  public String toString() {
    return key.isPresent() ? "a key" : "no key";
  }
}
