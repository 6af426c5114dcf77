package io.jacinthquay.control.state;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import java.util.Optional;

/**
 * Which versions of its software each pool has had. Immutable.
 *
 * <p>What is kept is bounded by number, not by time, so that a stepped clock loses nothing.
 *
 * @param sets the sets of versions by pool, oldest first
 */
public record PoolVersions(Map<String, Vector<Since>> sets) {
  /** The table before the first change. */
  public static final PoolVersions EMPTY = new PoolVersions(TreeMap.empty());

  /** Maximum number of pools; further ones are not recorded, and count as changing. */
  static final int MAX_POOLS = 1_024;

  /** Maximum number of sets of a pool. The oldest two become one that has the versions of both. */
  static final int MAX_SETS = 12;

  /**
   * Maximum number of versions in a set. It only matters whether a set has another version than a
   * given one, so any two versions of a larger set stand for all.
   */
  static final int MAX_VERSIONS = 16;

  /**
   * The versions of a pool from a moment on.
   *
   * @param versions the versions, empty while the pool has no upstream
   * @param sinceMillis wall clock of the leader that saw the change, in milliseconds since the
   *     epoch
   * @param index log index of the change
   */
  public record Since(Set<String> versions, long sinceMillis, long index) {}

  /** Returns the sets of a pool, oldest first; empty if none was recorded. */
  public Vector<Since> sets(String pool) {
    return sets.getOrElse(pool, Vector.empty());
  }

  /** Returns the versions in force; empty if none were recorded. */
  public Optional<Set<String>> newest(String pool) {
    return sets(pool).lastOption().map(Since::versions).toJavaOptional();
  }

  PoolVersions with(
      String pool, java.util.Collection<String> versions, long sinceMillis, long index) {
    Set<String> newVersions = bounded(TreeSet.ofAll(versions));
    Vector<Since> former = sets(pool);
    boolean unchanged = newest(pool).map(newVersions::equals).orElse(false);
    if (unchanged || (former.isEmpty() && sets.size() >= MAX_POOLS)) {
      return this;
    }
    Vector<Since> changed = former.append(new Since(newVersions, sinceMillis, index));
    return new PoolVersions(sets.put(pool, joinOldest(changed)));
  }

  /** Returns a table with one more set, which a snapshot holds. */
  PoolVersions restoring(String pool, Since set) {
    return new PoolVersions(sets.put(pool, sets(pool).append(set)));
  }

  /** Returns the versions of a set that are recorded. */
  public static Set<String> bounded(Set<String> versions) {
    return versions.take(MAX_VERSIONS);
  }

  private static Vector<Since> joinOldest(Vector<Since> sets) {
    if (sets.size() <= MAX_SETS) {
      return sets;
    }
    Since first = sets.get(0);
    Set<String> both = bounded(first.versions().union(sets.get(1).versions()));
    return sets.drop(2).prepend(new Since(both, first.sinceMillis(), first.index()));
  }
}
