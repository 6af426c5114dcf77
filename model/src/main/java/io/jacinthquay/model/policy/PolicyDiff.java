package io.jacinthquay.model.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Computes the edits that transform one set of entities into another. */
public final class PolicyDiff {
  private PolicyDiff() {}

  /**
   * Returns the edits from {@code current} to {@code target}, ordered by key.
   *
   * <p>Only entities of the policy document are compared; keys and operational states are not
   * edited.
   *
   * @param current canonical JSON by entity
   * @param target canonical JSON by entity
   */
  public static List<EntityEdit> between(
      Map<EntityKey, String> current, Map<EntityKey, String> target) {
    List<EntityEdit> edits = new ArrayList<>();
    for (Map.Entry<EntityKey, String> entry : target.entrySet()) {
      if (!entry.getValue().equals(current.get(entry.getKey()))) {
        edits.add(EntityEdit.set(entry.getKey(), entry.getValue()));
      }
    }
    for (EntityKey key : current.keySet()) {
      if (key.kind().inDocument() && !target.containsKey(key)) {
        edits.add(EntityEdit.remove(key));
      }
    }
    edits.sort((a, b) -> a.key().compareTo(b.key()));
    return edits;
  }
}
