package io.jacinthquay.runtime.tls;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The role of a certificate's holder, stored in the certificate's organisational unit. */
public enum PeerRole {
  /** May read and change everything that operators have access to. */
  OPERATOR,
  /** Serves requests of callers. */
  ROUTER,
  /** Stores the replicated state. */
  KEEPER,
  /** Orders upstreams and reports usage. */
  CONTROLLER;

  /** Returns the text used in certificates. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the role with a text, or empty if there is none. */
  public static Optional<PeerRole> of(String text) {
    return Arrays.stream(values()).filter(role -> role.text().equals(text)).findFirst();
  }
}
