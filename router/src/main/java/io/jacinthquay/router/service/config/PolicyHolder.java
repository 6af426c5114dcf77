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
 * Holds the configuration in force, which never goes back to an older version.
 *
 * <p>Reads take no lock. Changes are applied under the holder's own lock, and listeners are called
 * under it, in the order of versions.
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

  /** Adds a listener, which hears of every later change. */
  public void onChange(Consumer<PolicyView> listener) {
    listeners.add(listener);
  }

  /**
   * Applies a change.
   *
   * @param snapshot whether the change holds the whole state
   * @return the new version, or a failure if the change is older than what is in force
   */
  public synchronized Either<Failure, ConfigVersion> apply(ConfigChange change, boolean snapshot) {
    if (change.version().compareTo(version()) <= 0) {
      return Either.left(
          Failure.of(
              ResultCode.CONFIG_VERSION_CONFLICT,
              "version " + change.version().value() + " is not newer than what is in force"));
    }
    Policy base = snapshot ? Policy.empty() : view.policy();
    Either<Failure, Policy> next = base.apply(change);
    if (next.isLeft()) {
      return Either.left(next.getLeft());
    }
    boolean whole = snapshot || change.edits().stream().anyMatch(PolicyHolder::touchesLists);
    view = whole ? PolicyView.of(next.get()) : view.with(next.get());
    history.add(change, snapshot);
    listeners.forEach(listener -> listener.accept(view));
    return Either.right(change.version());
  }

  private static boolean touchesLists(EntityEdit edit) {
    EntityKind kind = edit.key().kind();
    return kind == EntityKind.ROUTE || kind == EntityKind.MODEL;
  }
}
