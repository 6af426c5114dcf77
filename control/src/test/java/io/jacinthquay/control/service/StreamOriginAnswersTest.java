package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.time.ClockReading;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StreamOriginAnswersTest {
  private static final PoolName POOL = new PoolName("p");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlState state = new ControlState();
  private final ControlStore store = new ControlStore(new ImmediateLog(state), state, 0);
  private final UpstreamListCache list = new UpstreamListCache();
  private final Leadership leadership =
      new Leadership("vm-1", Duration.ofSeconds(1), () -> new ClockReading(0, 0));
  private long nowMillis;

  private void poll() {
    UpstreamListing listing =
        new UpstreamListing(
            new UpstreamId("u"),
            POOL,
            new DomainId("a"),
            InetSocketAddress.createUnresolved("h", 1),
            false,
            false,
            8,
            0,
            new SoftwareVersion("v1"));
    list.update(List.of(listing), nowMillis * NANOS_PER_MILLI, nowMillis * NANOS_PER_MILLI);
  }

  /** The list of a new leader lacked a version with which another router had begun a stream. */
  @ParameterizedTest
  @CsvSource({"0, 0, 0", "0, 1499, 0", "300, 1500, 0", "301, 1500, 1", "1400, 1500, 1"})
  void newLeaderNamesNoVersionFromAnEarlierList(long polledMillis, long askedMillis, int named) {
    StreamOriginsTable origins = new StreamOriginsTable(() -> nowMillis * NANOS_PER_MILLI, () -> 1);
    PoolVersionMonitor versions =
        new PoolVersionMonitor(store, list, () -> nowMillis * NANOS_PER_MILLI, () -> nowMillis);
    leadership.recordConfirmation(store.status(), new ClockReading(0, 0));
    assertEquals(true, origins.isRecovering());
    nowMillis = polledMillis;
    poll();
    versions.propose();
    nowMillis = askedMillis;
    StreamOriginsMessage answer =
        new StreamOriginAnswers(leadership, origins, versions)
            .answer(List.of(OriginMessages.toQuestion(Optional.empty(), POOL)));
    assertEquals(named == 0 ? Map.of() : Map.of(POOL.value(), "v1"), answer.getOnlyVersions());
  }
}
