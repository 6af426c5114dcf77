package io.jacinthquay.router.service.request;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.port.Caller;

/**
 * What a relay needs.
 *
 * @param id the request
 * @param caller the way back
 * @param progress hears of tokens
 */
record RelayContext(RequestId id, Caller caller, Progress progress) {
  /** Hears of the tokens that an upstream gives. */
  interface Progress {
    /**
     * Tokens arrived.
     *
     * @param count 1 or more
     */
    void tokens(int count);

    /**
     * The upstream told how many prompt tokens it had cached.
     *
     * @param count 0 or more
     */
    void cachedTokens(int count);
  }
}
