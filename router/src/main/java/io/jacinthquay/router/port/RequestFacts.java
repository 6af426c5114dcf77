package io.jacinthquay.router.port;

import io.jacinthquay.decision.dispatch.PromptPart;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param attemptId the caller's own id of this attempt; empty if it sent none
 * @param host the host that it names; empty if it names none
 * @param key the key that it presents
 * @param waitMillis how long the caller waits for the end of the answer, in milliseconds
 * @param promptTokens tokens of its prompt, 0 if it describes none
 * @param outputTokens most tokens of its answer, 0 if it describes none
 * @param parts the parts of its prompt, in order
 * @param lastEventId number of the last event that the caller already has
 */
public record RequestFacts(
    String attemptId,
    String host,
    Optional<String> key,
    OptionalLong waitMillis,
    int promptTokens,
    int outputTokens,
    List<PromptPart> parts,
    OptionalLong lastEventId) {
  /** Copies the list. */
  public RequestFacts {
    Objects.requireNonNull(attemptId, "attemptId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(key, "key");
    parts = List.copyOf(parts);
  }
}
