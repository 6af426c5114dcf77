package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The counts of one router, or the merged counts of several.
 *
 * <pre>{@code
 * SloSnapshot all = SloSnapshot.builder().addAll(first).addAll(second).build();
 * }</pre>
 */
public final class SloSnapshot {
  private final Map<SloKey, Map<BurnWindow, Tally>> tallies;
  private final Map<ClassName, Histogram> firstToken;
  private final Map<ClassName, Histogram> interToken;

  private SloSnapshot(Builder builder) {
    this.tallies = new TreeMap<>(builder.tallies);
    this.firstToken = new TreeMap<>(builder.firstToken);
    this.interToken = new TreeMap<>(builder.interToken);
  }

  /** Returns an empty builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the classes and customers for which there are counts. */
  public Set<SloKey> keys() {
    return Set.copyOf(tallies.keySet());
  }

  /** Returns the tally of a key over a window; {@link Tally#NONE} if there is none. */
  public Tally tally(SloKey key, BurnWindow window) {
    return tallies.getOrDefault(key, Map.of()).getOrDefault(window, Tally.NONE);
  }

  /** Returns the classes for which there are histograms. */
  public Set<ClassName> classes() {
    return Set.copyOf(firstToken.keySet());
  }

  /**
   * Returns the histogram of the times to the first token of a class, in microseconds, or empty if
   * there is none.
   */
  public Optional<Histogram> firstToken(ClassName name) {
    return Optional.ofNullable(firstToken.get(name)).map(Histogram::copy);
  }

  /**
   * Returns the histogram of the mean times between tokens of a class, in microseconds, or empty if
   * there is none.
   */
  public Optional<Histogram> interToken(ClassName name) {
    return Optional.ofNullable(interToken.get(name)).map(Histogram::copy);
  }

  /** Builds a snapshot by adding up counts. */
  public static final class Builder {
    private final Map<SloKey, Map<BurnWindow, Tally>> tallies = new TreeMap<>();
    private final Map<ClassName, Histogram> firstToken = new TreeMap<>();
    private final Map<ClassName, Histogram> interToken = new TreeMap<>();

    private Builder() {}

    /** Adds a tally. */
    public Builder add(SloKey key, BurnWindow window, Tally tally) {
      tallies
          .computeIfAbsent(key, k -> new EnumMap<>(BurnWindow.class))
          .merge(window, tally, Tally::plus);
      return this;
    }

    /** Adds the histograms of a class, in microseconds. */
    public Builder add(ClassName name, Histogram first, Histogram inter) {
      merge(firstToken, name, first);
      merge(interToken, name, inter);
      return this;
    }

    /** Adds all counts of another snapshot. */
    public Builder addAll(SloSnapshot other) {
      other.tallies.forEach(
          (key, windows) -> windows.forEach((window, tally) -> add(key, window, tally)));
      other.firstToken.forEach((name, first) -> merge(firstToken, name, first));
      other.interToken.forEach((name, inter) -> merge(interToken, name, inter));
      return this;
    }

    private static void merge(Map<ClassName, Histogram> target, ClassName name, Histogram added) {
      Histogram sum = target.get(name);
      if (sum == null) {
        target.put(name, added.copy());
      } else {
        sum.add(added);
      }
    }

    /** Returns the snapshot. */
    public SloSnapshot build() {
      return new SloSnapshot(this);
    }
  }
}
