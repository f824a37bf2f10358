package org.corianderweir.logic.delivery;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A bounded queue that serves organisations in turn (deficit round robin of Shreedhar and Varghese,
 * 1995, where each request costs the same). If it is full, the newest request of the organisation
 * with the most queued requests is evicted, so that a burst of one organisation does not displace
 * requests of the others. Not thread-safe.
 *
 * @param <T> type of the queued elements
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

  /**
   * Adds an element. Returns the element that was evicted to make room, which may be the added one.
   */
  public Optional<T> offer(String organisation, T element) {
    queuesByOrganisation.computeIfAbsent(organisation, unused -> new ArrayDeque<>()).add(element);
    size++;
    return size > capacity ? Optional.of(evictNewestOfLongestQueue()) : Optional.empty();
  }

  /** Removes and returns the next element: the oldest of the organisation whose turn it is. */
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

  /** Returns the element that {@link #poll()} would remove. */
  public Optional<T> peek() {
    return queuesByOrganisation.isEmpty()
        ? Optional.empty()
        : Optional.of(queuesByOrganisation.values().iterator().next().getFirst());
  }

  /** Passes the turn to the next organisation and moves the present one to the end. */
  public void rotate() {
    var iterator = queuesByOrganisation.entrySet().iterator();
    if (iterator.hasNext()) {
      Map.Entry<String, Deque<T>> first = iterator.next();
      iterator.remove();
      queuesByOrganisation.put(first.getKey(), first.getValue());
    }
  }

  /** Removes an element; returns whether it was in the queue. */
  public boolean remove(String organisation, T element) {
    Deque<T> elements = queuesByOrganisation.get(organisation);
    if (elements == null || !elements.remove(element)) {
      return false;
    }
    size--;
    if (elements.isEmpty()) {
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
    Deque<T> elements = queuesByOrganisation.getOrDefault(longest, new ArrayDeque<>());
    T newest = elements.removeLast();
    size--;
    if (elements.isEmpty()) {
      queuesByOrganisation.remove(longest);
    }
    return newest;
  }
}
