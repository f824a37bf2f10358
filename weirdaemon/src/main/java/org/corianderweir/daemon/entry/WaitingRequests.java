package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.logic.traffic.AdmittedRequest;

/**
 * The requests that wait at this instance for room at the servers, the most urgent of a service
 * first. Thread-safe; resumed requests run on the calling thread, without the lock.
 */
final class WaitingRequests {
  /**
   * Largest number of waiting requests of all services. An instance gets about 13 requests a
   * second, and each waits for at most an eighth of its target latency.
   */
  private static final int LIMIT = 64;

  private final TaskScheduler scheduler;
  private final Map<String, PriorityQueue<Entry>> byService = new HashMap<>();
  private int count;

  private record Entry(AdmittedRequest request, Runnable resume) {
    int priority() {
      return request.priority();
    }

    long arrivedNanoseconds() {
      return request.arrivedNanoseconds();
    }
  }

  WaitingRequests(TaskScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Returns the number of waiting requests. */
  synchronized int count() {
    return count;
  }

  /**
   * Holds a request until it is resumed, at the latest after a time.
   *
   * @return false if there are too many waiting requests; it is not held then
   */
  boolean offer(AdmittedRequest request, Duration longest, Runnable resume) {
    Entry entry = new Entry(request, resume);
    synchronized (this) {
      if (count >= LIMIT) {
        return false;
      }
      queue(request).add(entry);
      count++;
    }
    scheduler.schedule(longest, () -> resume(entry));
    return true;
  }

  /** Removes a request without resuming it; returns false if it does not wait. */
  synchronized boolean remove(AdmittedRequest request) {
    boolean removed = queue(request).removeIf(entry -> entry.request() == request);
    count -= removed ? 1 : 0;
    return removed;
  }

  /** Resumes the most urgent request of a service, because a server of it may have a free slot. */
  void resumeMostUrgent(String service) {
    takeMostUrgent(service).ifPresent(entry -> entry.resume().run());
  }

  /** Resumes all requests, because servers, the configuration or this instance have changed. */
  void resumeAll() {
    List<Entry> all = new ArrayList<>();
    synchronized (this) {
      byService.values().forEach(all::addAll);
      byService.clear();
      count = 0;
    }
    all.forEach(entry -> entry.resume().run());
  }

  private void resume(Entry entry) {
    boolean removed;
    synchronized (this) {
      removed = queue(entry.request()).removeIf(other -> other == entry);
      count -= removed ? 1 : 0;
    }
    if (removed) {
      entry.resume().run();
    }
  }

  private synchronized Optional<Entry> takeMostUrgent(String service) {
    PriorityQueue<Entry> waiting = byService.get(service);
    if (waiting == null || waiting.isEmpty()) {
      return Optional.empty();
    }
    count--;
    return Optional.of(waiting.remove());
  }

  private PriorityQueue<Entry> queue(AdmittedRequest request) {
    return byService.computeIfAbsent(
        request.service(),
        unused ->
            new PriorityQueue<>(
                Comparator.comparingInt(Entry::priority)
                    .thenComparingLong(Entry::arrivedNanoseconds)));
  }
}
