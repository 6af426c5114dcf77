package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The counts of one router, or of several merged.
 *
 * <pre>{@code
 * SloSnapshot all = SloSnapshot.builder().addAll(one).addAll(other).build();
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

  /** Returns a builder without counts. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the classes and customers that have counts. */
  public Set<SloKey> keys() {
    return Set.copyOf(tallies.keySet());
  }

  /** Returns the tally of a key over a span; {@link Tally#NONE} where there is none. */
  public Tally tally(SloKey key, BurnWindow window) {
    return tallies.getOrDefault(key, Map.of()).getOrDefault(window, Tally.NONE);
  }

  /** Returns the classes that have histograms. */
  public Set<ClassName> classes() {
    return Set.copyOf(firstToken.keySet());
  }

  /** Returns the times to the first token of a class, in microseconds, if there are any. */
  public Optional<Histogram> firstToken(ClassName name) {
    return Optional.ofNullable(firstToken.get(name)).map(Histogram::copy);
  }

  /** Returns the mean times between tokens of a class, in microseconds, if there are any. */
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

    private static void merge(Map<ClassName, Histogram> into, ClassName name, Histogram more) {
      Histogram sum = into.get(name);
      if (sum == null) {
        into.put(name, more.copy());
      } else {
        sum.add(more);
      }
    }

    /** Returns the snapshot. */
    public SloSnapshot build() {
      return new SloSnapshot(this);
    }
  }
}
