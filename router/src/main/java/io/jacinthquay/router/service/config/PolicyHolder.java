package io.jacinthquay.router.service.config;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.Policy;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the configuration in force, whose version only ever grows.
 *
 * <p>Thread-safe. Reads take no lock. Changes are applied, and listeners called, under the holder's
 * own lock, in the order of versions.
 */
public final class PolicyHolder {
  private final List<Consumer<PolicyView>> listeners = new CopyOnWriteArrayList<>();
  private final ConfigHistory history = new ConfigHistory();
  private volatile PolicyView view = PolicyView.of(Policy.empty());

  /** Returns the configuration in force. */
  public PolicyView view() {
    return view;
  }

  /** Returns the version in force. */
  public ConfigVersion version() {
    return view.policy().version();
  }

  /** Returns the latest changes. */
  public ConfigHistory history() {
    return history;
  }

  /** Adds a listener, which is called after every later change. */
  public void addListener(Consumer<PolicyView> listener) {
    listeners.add(listener);
  }

  /**
   * Applies a change.
   *
   * @param snapshot whether the change holds the whole configuration
   * @return the new version, or a failure if the change is not newer than the version in force or
   *     can't be applied to it
   */
  public synchronized Either<Failure, ConfigVersion> apply(ConfigChange change, boolean snapshot) {
    if (change.version().compareTo(version()) <= 0) {
      return Either.left(
          Failure.of(
              ResultCode.CONFIG_VERSION_CONFLICT,
              "version " + change.version().value() + " is not newer than the version in force"));
    }
    Policy base = snapshot ? Policy.empty() : view.policy();
    Either<Failure, Policy> next = base.apply(change);
    if (next.isLeft()) {
      return Either.left(next.getLeft());
    }
    boolean rebuild = snapshot || change.edits().stream().anyMatch(PolicyHolder::changesLists);
    view = rebuild ? PolicyView.of(next.get()) : view.withPolicy(next.get());
    history.add(change, snapshot);
    listeners.forEach(listener -> listener.accept(view));
    return Either.right(change.version());
  }

  private static boolean changesLists(EntityEdit edit) {
    EntityKind kind = edit.key().kind();
    return kind == EntityKind.ROUTE || kind == EntityKind.MODEL;
  }
}
