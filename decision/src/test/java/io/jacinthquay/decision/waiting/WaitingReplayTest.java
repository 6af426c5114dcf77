package io.jacinthquay.decision.waiting;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.waiting.LoadReplay.Kind;
import io.jacinthquay.decision.waiting.LoadReplay.Tally;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares {@link SharedLine} with {@link TierLine} under the same load on 70 routers. */
final class WaitingReplayTest {
  private static final Kind CHAT = new Kind(0, 1_110, 300, 4_000, 0.3);
  private static final Kind PLANNING = new Kind(1, 2_890, 500, 6_000, 0.3);
  private static final Kind DIGEST = new Kind(2, 3_720, 1_500, 12_000, 0.3);
  private static final int ROUTERS = 70;
  private static final int CUSTOMERS = 20;
  private static final double TOKENS_PER_MILLI = 1_000;
  private static final int STEP_MILLIS = 10;

  /** Three periods of the wave. */
  private static final long MILLIS = 51_000;

  private enum Load {
    WAVE(0),
    HEAVY_CUSTOMERS(0),
    HERD(0),
    PARTIAL_FAILURE(0.45);

    private final double failing;

    Load(double failing) {
      this.failing = failing;
    }

    /** Returns what arrives from a customer, 1 for all that the pool takes if all send as much. */
    double of(int customer, long now) {
      return switch (this) {
        case HEAVY_CUSTOMERS -> customer < 3 ? 6 * 0.9 : 0.9;
        case HERD -> now % 17_000 < 1_500 ? 4 : 0.7;
        default -> 0.95 * (1 + 0.55 * Math.sin(2 * Math.PI * now / 17_000));
      };
    }
  }

  private static LoadReplay replay(boolean shared, Load load) {
    LoadReplay replay = new LoadReplay(shared, ROUTERS, TOKENS_PER_MILLI, load.failing);
    SplittableRandom arrivals = new SplittableRandom(3);
    for (long now = 0; now < MILLIS; now = replay.step()) {
      for (int i = 0; i < CUSTOMERS; i++) {
        double tokens = STEP_MILLIS * TOKENS_PER_MILLI * load.of(i, now) / CUSTOMERS;
        String customer = "c" + i + ".";
        replay.arrive(CHAT, customer, 0.4 * tokens / CHAT.tokens(), arrivals);
        replay.arrive(PLANNING, customer, 0.3 * tokens / PLANNING.tokens(), arrivals);
        replay.arrive(DIGEST, customer, 0.3 * tokens / DIGEST.tokens(), arrivals);
      }
    }
    return replay;
  }

  /**
   * All requests wait and are late together; few may be rejected after a wait beyond the target.
   */
  @ParameterizedTest
  @EnumSource(Load.class)
  void moreRequestsAreOnTimeThanBefore(Load load) {
    LoadReplay after = replay(true, load);
    Tally now = after.tally("");
    Tally before = replay(false, load).tally("");
    String figures = "before " + before + ", now " + now;
    assertTrue(now.value > 1.15 * before.value, figures);
    assertTrue(now.served() > before.served(), figures);
    assertTrue(now.lateRejections < 0.03 * now.asked, figures);
    for (Kind kind : List.of(CHAT, PLANNING, DIGEST)) {
      Tally tally = after.tally(kind.toString());
      assertTrue(tally.served() > now.served() / 4, kind + " " + tally);
    }
    assertTrue(after.tally(CHAT.toString()).served() > 0.98, "chats " + after.tally("tier=0"));
  }

  /** Customers with the usual load suffer from three heavy ones, or the heavy ones starve. */
  @Test
  void heavyCustomersGoAfterTheOthersAndDoNotStarve() {
    LoadReplay after = replay(true, Load.HEAVY_CUSTOMERS);
    Tally heavy = after.tally("c0.").plus(after.tally("c1.")).plus(after.tally("c2."));
    double all = after.tally("").served();
    for (int i = 3; i < CUSTOMERS; i++) {
      Tally usual = after.tally("c" + i + ".");
      assertTrue(usual.served() > heavy.served(), "heavy " + heavy + ", usual " + usual);
    }
    assertTrue(heavy.served() > all / 4, "heavy " + heavy);
  }
}
