package io.jacinthquay.router.service.request;

import java.util.Optional;

/** The endpoints of the model API that run inference. */
enum Endpoint {
  CHAT("/v1/chat/completions"),
  TEXT("/v1/completions");

  private final String path;

  Endpoint(String path) {
    this.path = path;
  }

  String path() {
    return path;
  }

  static Optional<Endpoint> of(String path) {
    for (Endpoint endpoint : values()) {
      if (endpoint.path.equals(path)) {
        return Optional.of(endpoint);
      }
    }
    return Optional.empty();
  }
}
