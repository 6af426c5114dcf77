package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.function.Consumer;

/** Verifies that a property detects an injected fault. */
final class InjectedFault {
  private InjectedFault() {}

  /** Fails unless the check fails for at least one history. */
  static <T> void assertDetected(List<List<T>> histories, Consumer<List<T>> check) {
    for (List<T> history : histories) {
      try {
        check.accept(history);
      } catch (AssertionError expected) {
        return;
      }
    }
    fail("no history of " + histories.size() + " reveals the injected fault");
  }
}
