package io.jacinthquay.decision.waiting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SharedLineTest {
  private static final long MILLI = 1_000_000L;
  private static final PoolName POOL = new PoolName("p");

  /** Ten tokens per millisecond; work of tier 0 waits at other routers. */
  private record View(WaitingWork urgentElsewhere) implements PoolView {
    @Override
    public PoolName pool() {
      return POOL;
    }

    @Override
    public DrainRate drain(long now) {
      return new DrainRate(10, 1);
    }

    @Override
    public double firstMillis(long now) {
      return 10;
    }

    @Override
    public WaitingWork waitingElsewhere(int tier, long now) {
      return tier == 0 ? urgentElsewhere : WaitingWork.NONE;
    }

    @Override
    public long ageMillis(long now) {
      return 0;
    }

    @Override
    public int routers() {
      return 1;
    }

    @Override
    public int servedLevel(Optional<CustomerId> customer) {
      return 0;
    }
  }

  private static final class Places implements WaitingLine.Places<String> {
    final List<String> sent = new ArrayList<>();

    @Override
    public boolean hasPlace(String item) {
      return true;
    }

    @Override
    public boolean tryDispatch(String item) {
      return sent.add(item);
    }
  }

  private final Places places = new Places();

  private static SharedLine<String> line(int tokensElsewhere) {
    int requests = tokensElsewhere == 0 ? 0 : 1;
    return new SharedLine<>(new View(new WaitingWork(requests, tokensElsewhere)));
  }

  private static Admission add(
      SharedLine<String> line, String name, int tier, boolean place, long begunMillis) {
    List<PromptPart> parts = List.of(new PromptPart(1, 100));
    PoolRequest work =
        new PoolRequest(
            POOL, new Tier(tier), 100, 0, parts, 300, 0, 0, 3_000 * MILLI, Optional.empty());
    Waiter<String> waiter = new Waiter<>(name, work, Optional.empty(), begunMillis * MILLI);
    return line.add(waiter, () -> place, 0, new ArrayList<>()).admission();
  }

  /** A request is rejected although a place is free, or kept although it can't be answered. */
  @ParameterizedTest
  @CsvSource({
    "1000, false, ON_TIME",
    "10000, false, LATE",
    "30000, false, HOPELESS",
    "30000, true, LATE"
  })
  void admitByExpectedWait(int tokensElsewhere, boolean place, Admission expected) {
    assertEquals(expected, add(line(tokensElsewhere), "r", 1, place, 0));
  }

  /** A caller that returns waits behind one that has just come. */
  @Test
  void sendThoseThatWaitedForLongestFirst() {
    SharedLine<String> line = line(0);
    add(line, "new", 1, true, 0);
    add(line, "returned", 1, true, -500);
    add(line, "urgent", 0, true, 0);
    line.offer(places, 0);
    assertEquals(List.of("urgent", "returned", "new"), places.sent);
  }

  /** A free place is taken from more urgent work of other routers, or stays empty for long. */
  @Test
  void leavePlacesToMoreUrgentWorkForAShortTime() {
    SharedLine<String> line = line(2_000);
    add(line, "r", 1, true, 0);
    line.offer(places, 0);
    line.offer(places, 99 * MILLI);
    assertEquals(List.of(), places.sent);
    line.offer(places, 100 * MILLI);
    assertEquals(List.of("r"), places.sent);
  }

  /** Callers are told to return later than they can, or all at the same time. */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 3000, 50, 50",
    "100, 400, 3000, 100, 500",
    "5000, 5000, 3000, 500, 1000",
    "100, 400, 90, 15, 30"
  })
  void spreadRetriesOverTheDrainTime(
      double wait, double drain, double left, double earliest, double latest) {
    assertTrue(RetryDelay.millis(wait, drain, left, 0) >= earliest);
    assertTrue(RetryDelay.millis(wait, drain, left, 1) <= latest);
  }
}
