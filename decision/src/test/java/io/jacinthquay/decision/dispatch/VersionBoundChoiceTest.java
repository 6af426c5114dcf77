package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A stream was placed at an upstream of another version, or refused while its own still served. */
final class VersionBoundChoiceTest {

  private final UpstreamSelector selector =
      new UpstreamSelector(TestRequests.LOCAL, 1, 0, new SplittableRandom(1));

  @BeforeEach
  void setPools() {
    selector.setPools(Map.of(TestRequests.PLAIN, TestRequests.plain()));
  }

  private static UpstreamListing listing(String id, String version, boolean draining) {
    return new UpstreamListing(
        new UpstreamId(id),
        TestRequests.PLAIN,
        TestRequests.LOCAL,
        InetSocketAddress.createUnresolved(id, 1),
        draining,
        false,
        8,
        0,
        new SoftwareVersion(version));
  }

  private void list(boolean oldDrains, boolean newDrains, long now) {
    selector.setListings(
        List.of(listing("old", "v1", oldDrains), listing("new", "v2", newDrains)), now);
  }

  @ParameterizedTest
  @CsvSource({
    "v1, false, false, 0, old",
    "v2, false, false, 0, new",
    "v3, false, false, 0, ''",
    "v1, false, true, 900, old",
    "v1, false, true, 1100, ''",
    "v1, true, true, 100, ''",
    "v2, false, true, 900, new"
  })
  void choosesOnlyTheVersionThatBeganTheStream(
      String version, boolean oldDrainedBefore, boolean oldDrains, long millis, String expected) {
    list(oldDrainedBefore, false, 0);
    list(oldDrains, false, 0);
    PoolRequest work = TestRequests.call(0).boundTo(new SoftwareVersion(version));
    long now = millis * TestRequests.MILLI;
    assertEquals(
        expected,
        selector
            .choose(work, Set.of(), now)
            .map(state -> state.listing().upstream().value())
            .orElse(""));
    assertEquals(!expected.isEmpty(), selector.isServed(work, now));
  }
}
