package io.jacinthquay.decision.slots;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.Optional;

/**
 * Looks up the classes of the configuration in force.
 *
 * <pre>{@code
 * ClassPolicies classes = name -> currentPolicy().classPolicy(name);
 * }</pre>
 */
@FunctionalInterface
public interface ClassPolicies {
  /** Returns the policy of a class, or nothing if the class is not configured. */
  Optional<ClassPolicy> find(ClassName name);
}
