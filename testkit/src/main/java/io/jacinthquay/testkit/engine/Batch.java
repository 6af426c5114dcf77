package io.jacinthquay.testkit.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Continuous batching: in each step every running sequence gains one token, and free places go to
 * waiting sequences by priority and arrival. Guarded by its own lock.
 */
final class Batch {
  private final EngineOptions options;
  private final Set<Sequence> running = new LinkedHashSet<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private int completed;
  private int breaches;
  private int coldAt;

  Batch(EngineOptions options) {
    this.options = options;
  }

  synchronized void add(Sequence sequence) {
    if (running.size() + waiting.size() >= bearable()) {
      breaches++;
    }
    waiting.add(sequence);
    fill();
  }

  /** Returns the sequences that gain a token in this step. */
  synchronized List<Sequence> step() {
    fill();
    return new ArrayList<>(running);
  }

  private void fill() {
    waiting.sort(Comparator.comparingInt(Sequence::priority));
    while (running.size() < options.limit() && !waiting.isEmpty()) {
      running.add(waiting.remove(0));
    }
  }

  synchronized void remove(Sequence sequence, boolean whole) {
    running.remove(sequence);
    waiting.remove(sequence);
    if (whole) {
      completed++;
    }
  }

  /** Returns how many requests the engine can bear now. */
  synchronized int bearable() {
    return isWarm() ? options.limit() : options.floor();
  }

  synchronized boolean isWarm() {
    return completed - coldAt >= options.warmAfter();
  }

  /** Makes the engine cold without warning, until it has answered often enough again. */
  synchronized void turnCold() {
    coldAt = completed;
  }

  synchronized int running() {
    return running.size();
  }

  synchronized int waiting() {
    return waiting.size();
  }

  synchronized int breaches() {
    return breaches;
  }
}
