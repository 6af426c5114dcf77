package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.CustomerId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The questions that wait for an answer, a bounded number.
 *
 * <p>Handles a flood of questions for made-up streams of one customer: customers share the places
 * and each call evenly, so that a customer with fewer questions than its share never loses one to
 * another. Thread-safe.
 */
final class OriginQuestions {
  private final int capacity;
  private final Map<Optional<CustomerId>, Deque<OriginQuestion>> byCustomer = new LinkedHashMap<>();
  private int size;

  /** Customers that calls have passed over, while there are more of them than a call takes. */
  private int skipped;

  private boolean closed;

  /**
   * Returns an instance without questions.
   *
   * @param capacity maximum number of questions, 1 or more
   */
  OriginQuestions(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a question. If there is no place, the newest one of the customer with the most questions
   * gives way, or else the added one.
   *
   * @return the question without a place, which the caller has to answer
   */
  synchronized Optional<OriginQuestion> add(OriginQuestion question) {
    if (closed) {
      return Optional.of(question);
    }
    Optional<OriginQuestion> removed = Optional.empty();
    if (size == capacity) {
      Deque<OriginQuestion> most =
          byCustomer.values().stream().max(Comparator.comparingInt(Deque::size)).orElseThrow();
      if (most.size() <= count(question.customer()) + 1) {
        return Optional.of(question);
      }
      removed = Optional.of(most.removeLast());
      size--;
    }
    byCustomer.computeIfAbsent(question.customer(), c -> new ArrayDeque<>()).add(question);
    size++;
    notifyAll();
    return removed;
  }

  private int count(Optional<CustomerId> customer) {
    Deque<OriginQuestion> questions = byCustomer.get(customer);
    return questions == null ? 0 : questions.size();
  }

  /** Waits until there is a question, for a time in milliseconds; returns whether there is one. */
  synchronized boolean await(long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    for (long left = millis; size == 0 && left > 0; ) {
      wait(left);
      left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
    }
    return size > 0;
  }

  synchronized boolean isEmpty() {
    return size == 0;
  }

  /** Returns questions for a call, the oldest ones of each customer, by turns. */
  synchronized List<OriginQuestion> first(int limit) {
    List<Iterator<OriginQuestion>> turns = new ArrayList<>();
    byCustomer.values().forEach(questions -> turns.add(questions.iterator()));
    if (turns.size() > limit) {
      Collections.rotate(turns, -skipped);
      skipped = (skipped + limit) % turns.size();
    }
    List<OriginQuestion> first = new ArrayList<>();
    while (first.size() < limit && !turns.isEmpty()) {
      turns.stream().limit(limit - first.size()).forEach(turn -> first.add(turn.next()));
      turns.removeIf(turn -> !turn.hasNext());
    }
    return first;
  }

  /** Returns all questions. */
  synchronized List<OriginQuestion> all() {
    return byCustomer.values().stream().flatMap(Collection::stream).toList();
  }

  /** Removes a question; returns false if it has given way to another one. */
  synchronized boolean remove(OriginQuestion question) {
    Deque<OriginQuestion> questions = byCustomer.get(question.customer());
    if (questions == null || !questions.removeFirstOccurrence(question)) {
      return false;
    }
    size--;
    if (questions.isEmpty()) {
      byCustomer.remove(question.customer());
    }
    return true;
  }

  /** Takes no further questions. */
  synchronized void close() {
    closed = true;
  }
}
