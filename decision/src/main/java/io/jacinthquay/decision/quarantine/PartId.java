package io.jacinthquay.decision.quarantine;

import io.jacinthquay.decision.dispatch.PromptPart;
import java.util.List;

/**
 * Identifies a part of a prompt.
 *
 * @param value the id as in {@link PromptPart#id()}
 */
public record PartId(long value) {
  /** Returns the ids of parts, in the same order. */
  public static List<PartId> of(List<PromptPart> parts) {
    return parts.stream().map(part -> new PartId(part.id())).toList();
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
