package io.jacinthquay.router.port;

import io.jacinthquay.decision.dispatch.PromptPart;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Data parsed from the headers of a caller's request.
 *
 * @param attemptId the caller's id of this attempt; empty if absent
 * @param host the requested host; empty if absent
 * @param key the API key
 * @param waitMillis time that the caller waits for the end of the response, in milliseconds
 * @param promptTokens tokens of the prompt, 0 if not stated
 * @param outputTokens limit of output tokens, 0 if not stated
 * @param promptParts the parts of the prompt, in order
 * @param lastEventId number of the last event that the caller has received, if it resumes a stream
 * @param resumedAttempt id of the attempt that brought the stream's first event, if it names one
 */
public record RequestMetadata(
    String attemptId,
    String host,
    Optional<String> key,
    OptionalLong waitMillis,
    int promptTokens,
    int outputTokens,
    List<PromptPart> promptParts,
    OptionalLong lastEventId,
    Optional<String> resumedAttempt) {
  /**
   * Copies the parts of the prompt.
   *
   * @throws NullPointerException if a component is null
   */
  public RequestMetadata {
    Objects.requireNonNull(attemptId, "attemptId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(resumedAttempt, "resumedAttempt");
    promptParts = List.copyOf(promptParts);
  }
}
