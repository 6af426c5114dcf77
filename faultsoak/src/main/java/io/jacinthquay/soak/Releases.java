package io.jacinthquay.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The releases of each service. An upstream moves to the newest release; one that has it begins the
 * next. So a service has one to three releases side by side. Thread-safe.
 */
final class Releases {
  /** Newest release of each service at the start of a run. */
  private static final int FIRST_NEWEST = 2;

  private final Set<String> underWay = new HashSet<>();
  private final Map<String, Integer> newest = new HashMap<>();

  /** Begins to replace an upstream; returns false if another one of its service is replaced. */
  synchronized boolean begin(String service) {
    return underWay.add(service);
  }

  synchronized void end(String service) {
    underWay.remove(service);
  }

  /** Returns the release of the upstream that replaces one with the given release. */
  synchronized int next(String service, int replaced) {
    int latest = newest.getOrDefault(service, FIRST_NEWEST);
    int next = replaced >= latest ? replaced + 1 : latest;
    newest.put(service, next);
    return next;
  }
}
