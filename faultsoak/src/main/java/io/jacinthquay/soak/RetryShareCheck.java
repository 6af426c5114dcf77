package io.jacinthquay.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that the parts of the shared extra retries that routers use within one window are at most
 * the whole. Each router may spend the largest part that it has had in the window, so these are
 * summed. This breaks long before so many requests fail that the upstreams get too many.
 */
final class RetryShareCheck implements Check {
  private static final long WINDOW_NANOS =
      TimeUnit.SECONDS.toNanos(Deployment.RETRY_WINDOW_SECONDS);

  private static final int WHOLE_PERCENT = 100;

  /** Routers tell their part in whole percent, so that each may tell half a percent too much. */
  private static final double ROUNDING_PERCENT = 0.5;

  @Override
  public String guarantee() {
    return "routers use no more than all extra retries in a window";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<History.RetryShare> shares = new ArrayList<>(history.retryShares());
    shares.sort(Comparator.comparingLong(History.RetryShare::atNanos));
    long worst = 0;
    Map<Integer, Long> worstParts = Map.of();
    int first = 0;
    for (int last = 0; last < shares.size(); last++) {
      while (shares.get(last).atNanos() - shares.get(first).atNanos() > WINDOW_NANOS) {
        first++;
      }
      Map<Integer, Long> parts = new HashMap<>();
      for (History.RetryShare share : shares.subList(first, last + 1)) {
        parts.merge(share.router(), share.percent(), Math::max);
      }
      long sum = parts.values().stream().mapToLong(Long::longValue).sum();
      if (sum > worst) {
        worst = sum;
        worstParts = parts;
      }
    }
    long users = worstParts.values().stream().filter(percent -> percent > 0).count();
    String text = "parts of the extra retries in a window sum to " + worst + " %: " + worstParts;
    if (!shares.isEmpty()) {
      verdict.judge(worst <= WHOLE_PERCENT + ROUNDING_PERCENT * users, text);
      verdict.remark(text);
    }
    return verdict;
  }
}
