package org.corianderweir.logic.delivery;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A bounded queue that serves organisations in turn (deficit round robin of Shreedhar and Varghese,
 * 1995, where each request costs the same). When it is full, the organisation that waits with most
 * requests loses its newest, so a rush of one does not cost the others their places. Not
 * thread-safe.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {
  private final int capacity;
  private final Map<String, Deque<T>> queuesByOrganisation = new LinkedHashMap<>();
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param capacity largest number of elements
   */
  public FairQueue(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an element; returns the one that lost its place, perhaps this one. */
  public Optional<T> offer(String organisation, T element) {
    queuesByOrganisation.computeIfAbsent(organisation, unused -> new ArrayDeque<>()).add(element);
    size++;
    return size > capacity ? Optional.of(evictNewestOfLongestQueue()) : Optional.empty();
  }

  /** Takes the next element: the oldest of the organisation whose turn it is. */
  public Optional<T> poll() {
    var iterator = queuesByOrganisation.entrySet().iterator();
    if (!iterator.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<String, Deque<T>> first = iterator.next();
    iterator.remove();
    T element = first.getValue().removeFirst();
    size--;
    if (!first.getValue().isEmpty()) {
      queuesByOrganisation.put(first.getKey(), first.getValue());
    }
    return Optional.of(element);
  }

  /** Returns the element that {@link #poll()} would take. */
  public Optional<T> peek() {
    return queuesByOrganisation.isEmpty()
        ? Optional.empty()
        : Optional.of(queuesByOrganisation.values().iterator().next().getFirst());
  }

  /** Gives the turn to the next organisation; the one whose turn it was comes last. */
  public void rotate() {
    var iterator = queuesByOrganisation.entrySet().iterator();
    if (iterator.hasNext()) {
      Map.Entry<String, Deque<T>> first = iterator.next();
      iterator.remove();
      queuesByOrganisation.put(first.getKey(), first.getValue());
    }
  }

  /** Removes an element that no longer waits; returns whether it was there. */
  public boolean remove(String organisation, T element) {
    Deque<T> waiting = queuesByOrganisation.get(organisation);
    if (waiting == null || !waiting.remove(element)) {
      return false;
    }
    size--;
    if (waiting.isEmpty()) {
      queuesByOrganisation.remove(organisation);
    }
    return true;
  }

  /** Returns the number of elements. */
  public int size() {
    return size;
  }

  private T evictNewestOfLongestQueue() {
    String longest = "";
    int maximumLength = 0;
    for (Map.Entry<String, Deque<T>> entry : queuesByOrganisation.entrySet()) {
      if (entry.getValue().size() > maximumLength) {
        maximumLength = entry.getValue().size();
        longest = entry.getKey();
      }
    }
    Deque<T> waiting = queuesByOrganisation.getOrDefault(longest, new ArrayDeque<>());
    T newest = waiting.removeLast();
    size--;
    if (waiting.isEmpty()) {
      queuesByOrganisation.remove(longest);
    }
    return newest;
  }
}
