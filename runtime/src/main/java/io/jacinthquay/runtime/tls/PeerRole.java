package io.jacinthquay.runtime.tls;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What the holder of a certificate may do; stands in the certificate's organisational unit. */
public enum PeerRole {
  /** May change and read everything that operators may. */
  OPERATOR,
  /** Serves callers. */
  ROUTER,
  /** Holds the replicated state. */
  KEEPER,
  /** Orders upstreams and reports usage. */
  CONTROLLER;

  /** Returns the text used in certificates. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the role with a text, or nothing if there is none. */
  public static Optional<PeerRole> of(String text) {
    return Arrays.stream(values()).filter(role -> role.text().equals(text)).findFirst();
  }
}
