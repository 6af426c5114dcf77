package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LeaderSearchTest {
  private List<String> seeds = List.of("a1", "b1", "c1");

  private LeaderSearch search(long seed) {
    return new LeaderSearch(() -> seeds, new SplittableRandom(seed));
  }

  /** Returns the next addresses; none of them answers. */
  private static Set<String> askInVain(LeaderSearch search, int count) {
    Set<String> asked = new TreeSet<>();
    for (int i = 0; i < count; i++) {
      String address = search.next();
      search.recordFailure(address);
      asked.add(address);
    }
    return asked;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void aRoundAsksMembersAndSeedsOnceEach(long seed) {
    LeaderSearch search = search(seed);
    search.recordView("a1", List.of("a1", "d1"));
    assertEquals(Set.of("a1", "b1", "c1", "d1"), askInVain(search, 4));
    assertEquals(Set.of("a1", "b1", "c1", "d1"), askInVain(search, 4));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void unreachableAddressesComeLast(long seed) {
    LeaderSearch search = search(seed);
    assertEquals(Set.of("a1", "b1", "c1"), askInVain(search, 3));
    search.recordAnswer("b1", List.of("b1", "d1"), "");
    assertEquals("d1", search.next());
    assertEquals(Set.of("b1", "d1"), new TreeSet<>(List.of(search.next(), search.next())));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void aLeaderIsAskedAtOnceButOncePerRound(long seed) {
    LeaderSearch search = search(seed);
    String first = search.next();
    search.recordAnswer(first, List.of(), "gone");
    assertEquals("gone", search.next());
    search.recordFailure("gone");
    Set<String> rest = new TreeSet<>();
    for (int i = 0; i < 2; i++) {
      String address = search.next();
      search.recordAnswer(address, List.of(), "gone");
      rest.add(address);
    }
    rest.add(first);
    assertEquals(Set.of("a1", "b1", "c1"), rest);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void eachRoundReadsTheSeedsAgain(long seed) {
    LeaderSearch search = search(seed);
    search.recordView("a1", List.of("a1"));
    askInVain(search, 3);
    seeds = List.of("a5", "b5");
    assertEquals(Set.of("a5", "b5"), askInVain(search, 2));
  }
}
