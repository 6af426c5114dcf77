package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.function.Consumer;

/** Expects that some history shows a planted fault. */
final class PlantedFault {
  private PlantedFault() {}

  static <T> void isCaught(List<List<T>> histories, Consumer<List<T>> check) {
    for (List<T> history : histories) {
      try {
        check.accept(history);
      } catch (AssertionError caught) {
        return;
      }
    }
    fail("no history of " + histories.size() + " shows the planted fault");
  }
}
