package io.jacinthquay.router.service.request;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.runtime.http.AnswerMemory;

/**
 * The context of an answer relay.
 *
 * @param id the id of the request
 * @param caller the connection to the caller
 * @param progress receives the token counts
 * @param memory what the relay holds of answers counts here
 */
record RelayContext(
    RequestId id, Caller caller, ProgressListener progress, AnswerMemory.Holding memory) {
  /** Receives the token counts of an upstream's answer. */
  interface ProgressListener {
    /**
     * Called when output tokens arrived.
     *
     * @param count number of new tokens, 1 or more
     */
    void onTokens(int count);

    /**
     * Called when the upstream reported how many prompt tokens it found in its cache.
     *
     * @param count number of cached tokens, 0 or more
     */
    void onCachedTokens(int count);
  }
}
