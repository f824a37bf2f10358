package org.corianderweir.daemon.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.delivery.FairQueue;

/**
 * Queues of requests that wait for a free backend server, one queue for each selector and
 * availability zone. A queue retries when a response has freed a slot of a server, and also at
 * random times (random local search of Ganesh and others, 2010), because a slot that another entry
 * instance has freed is noticed only by retrying. Thread-safe.
 */
final class PendingRequestQueues {
  private static final int QUEUE_CAPACITY_REQUESTS = 512;
  private static final double MEAN_RETRY_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

  /** Suffix of the name of a queue whose requests may be sent to no server at present. */
  static final String NO_SERVER_SUFFIX = "/";

  private final Map<String, RequestQueue> queuesByName = new ConcurrentHashMap<>();
  private final ScheduledThreadPoolExecutor scheduler;

  /** A request that waits in a queue. */
  interface PendingRequest {
    /** Returns the organisation of the request; an empty text on an open route. */
    String organisation();

    /**
     * Tries to reserve a free server. Returns the action that sends the request to it, or empty if
     * no server is free.
     */
    Optional<Runnable> tryReserve();

    /** Refuses the request, because no server got free in time. */
    void refuseUnserved();
  }

  private static final class RequestQueue {
    final FairQueue<PendingRequest> requests = new FairQueue<>(QUEUE_CAPACITY_REQUESTS);
    boolean scheduled;
  }

  PendingRequestQueues() {
    scheduler =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "waiting");
              thread.setDaemon(true);
              return thread;
            });
    scheduler.setRemoveOnCancelPolicy(true);
  }

  void stop() {
    scheduler.shutdownNow();
  }

  /** Returns whether no request waits in a queue; a new request then need not wait for others. */
  boolean isEmpty(String name) {
    RequestQueue requestQueue = requestQueue(name);
    synchronized (requestQueue) {
      return requestQueue.requests.size() == 0;
    }
  }

  /** Adds a request to a queue, where it waits until its deadline at the latest. */
  void enqueue(String name, PendingRequest request, long remainingNanoseconds) {
    RequestQueue requestQueue = requestQueue(name);
    Optional<PendingRequest> displaced;
    synchronized (requestQueue) {
      displaced = requestQueue.requests.offer(request.organisation(), request);
    }
    displaced.ifPresent(PendingRequest::refuseUnserved);
    scheduler.schedule(() -> expire(name, request), remainingNanoseconds, TimeUnit.NANOSECONDS);
    dispatchPending(name);
  }

  /** Removes a request whose caller disconnected. */
  void remove(String name, PendingRequest request) {
    RequestQueue requestQueue = requestQueue(name);
    synchronized (requestQueue) {
      requestQueue.requests.remove(request.organisation(), request);
    }
  }

  /** Sends requests in the order of the queue until one finds no free server. */
  void dispatchPending(String name) {
    RequestQueue requestQueue = requestQueue(name);
    boolean mayContinue = true;
    while (mayContinue) {
      Optional<Runnable> send = Optional.empty();
      synchronized (requestQueue) {
        Optional<PendingRequest> next = requestQueue.requests.peek();
        if (next.isPresent()) {
          send = next.get().tryReserve();
          if (send.isPresent()) {
            requestQueue.requests.poll();
          }
        }
        scheduleRetry(name, requestQueue);
      }
      mayContinue = send.isPresent();
      send.ifPresent(Runnable::run);
    }
  }

  private void expire(String name, PendingRequest request) {
    RequestQueue requestQueue = requestQueue(name);
    boolean removed;
    synchronized (requestQueue) {
      removed = requestQueue.requests.remove(request.organisation(), request);
    }
    if (removed) {
      request.refuseUnserved();
    }
  }

  /**
   * Schedules the next retry of a queue. Each waiting request retries as a Poisson process; the sum
   * of these is a Poisson process whose rate grows with the number of waiting requests.
   */
  private void scheduleRetry(String name, RequestQueue requestQueue) {
    int waitingCount = requestQueue.requests.size();
    if (waitingCount == 0 || requestQueue.scheduled || scheduler.isShutdown()) {
      return;
    }
    requestQueue.scheduled = true;
    double delayNanoseconds =
        -Math.log(1 - ThreadLocalRandom.current().nextDouble())
            * MEAN_RETRY_INTERVAL_NANOSECONDS
            / waitingCount;
    scheduler.schedule(
        () -> retryAfterDelay(name, requestQueue), (long) delayNanoseconds, TimeUnit.NANOSECONDS);
  }

  /**
   * Retries a queue, beginning with the next organisation. In a queue without servers, the request
   * that was first also moves behind the other requests of its organisation.
   */
  private void retryAfterDelay(String name, RequestQueue requestQueue) {
    synchronized (requestQueue) {
      requestQueue.scheduled = false;
      if (name.endsWith(NO_SERVER_SUFFIX)) {
        requestQueue
            .requests
            .poll()
            .ifPresent(first -> requestQueue.requests.offer(first.organisation(), first));
      } else {
        requestQueue.requests.rotate();
      }
    }
    dispatchPending(name);
  }

  private RequestQueue requestQueue(String name) {
    return queuesByName.computeIfAbsent(name, unused -> new RequestQueue());
  }
}
