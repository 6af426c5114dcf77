package io.jacinthquay.router.service.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CachedPrefixLogTest {
  private static final UpstreamId UPSTREAM = new UpstreamId("i-1");

  private final CachedPrefixLog log = new CachedPrefixLog();

  /** Prompts of thousands of parts made views that no router could read. */
  @ParameterizedTest
  @CsvSource({"5, 5", "64, 64", "65, 64", "4000, 64"})
  void firstPartsOfLongPrefixesAreReported(int shared, int reported) {
    List<PromptPart> parts =
        LongStream.rangeClosed(0, shared).mapToObj(id -> new PromptPart(id, 500)).toList();
    log.record(
        UPSTREAM,
        new PoolRequest(
            new PoolName("p"), new Tier(0), 100, 0, parts, 300, 0, 0, 0, Optional.empty()));
    assertEquals(List.of(new CachedPrefix(UPSTREAM, parts.subList(0, reported))), log.drain());
  }
}
