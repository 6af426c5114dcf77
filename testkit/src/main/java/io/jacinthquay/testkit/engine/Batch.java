package io.jacinthquay.testkit.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Simulates continuous batching: each step adds one token to every running sequence, and waiting
 * sequences start by priority and order of arrival. Safe for use by many threads.
 */
final class Batch {
  private final EngineOptions options;
  private final Set<Sequence> running = new LinkedHashSet<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private int completed;
  private int overLimitRequests;
  private int completedBeforeCold;

  Batch(EngineOptions options) {
    this.options = options;
  }

  synchronized void add(Sequence sequence) {
    if (running.size() + waiting.size() >= concurrencyLimit()) {
      overLimitRequests++;
    }
    waiting.add(sequence);
    startWaiting();
  }

  /** Starts waiting sequences and returns those that gain a token in this step. */
  synchronized List<Sequence> step() {
    startWaiting();
    return new ArrayList<>(running);
  }

  private void startWaiting() {
    waiting.sort(Comparator.comparingInt(Sequence::priority));
    while (running.size() < options.limit() && !waiting.isEmpty()) {
      running.add(waiting.remove(0));
    }
  }

  synchronized void remove(Sequence sequence, boolean complete) {
    running.remove(sequence);
    waiting.remove(sequence);
    if (complete) {
      completed++;
    }
  }

  /** Returns the current concurrency limit: {@code floor} while cold, {@code limit} once warm. */
  synchronized int concurrencyLimit() {
    return isWarm() ? options.limit() : options.floor();
  }

  synchronized boolean isWarm() {
    return completed - completedBeforeCold >= options.warmAfter();
  }

  /** Makes the engine cold until it has completed {@code warmAfter} further responses. */
  synchronized void turnCold() {
    completedBeforeCold = completed;
  }

  synchronized int running() {
    return running.size();
  }

  synchronized int waiting() {
    return waiting.size();
  }

  synchronized int overLimitRequests() {
    return overLimitRequests;
  }
}
