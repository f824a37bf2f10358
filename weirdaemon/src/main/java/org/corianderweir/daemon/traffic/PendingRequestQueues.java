package org.corianderweir.daemon.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.delivery.FairQueue;

/**
 * Where requests wait for a free backend server, one queue for each selector and availability zone.
 * They try again when an answer has freed a slot, and at random moments (random local search of
 * Ganesh and others, 2010): slots that other entry instances freed are seen by trying alone.
 * Thread-safe.
 */
final class PendingRequestQueues {
  private static final int QUEUE_CAPACITY_REQUESTS = 512;
  private static final double MEAN_RETRY_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

  /** End of the name of a queue whose requests may go to no server at present. */
  static final String NO_SERVER_SUFFIX = "/";

  private final Map<String, Line> linesByName = new ConcurrentHashMap<>();
  private final ScheduledThreadPoolExecutor scheduler;

  /** A request that waits. */
  interface PendingRequest {
    /** Returns the organisation that the request is for; empty on an open route. */
    String organisation();

    /** Takes a free server; returns what sends the request to it, or nothing if all are full. */
    Optional<Runnable> tryReserve();

    /** Ends the wait with a refusal. */
    void refuseUnserved();
  }

  private static final class Line {
    final FairQueue<PendingRequest> queue = new FairQueue<>(QUEUE_CAPACITY_REQUESTS);
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

  /** Returns whether requests wait in a queue; a new one then goes behind them. */
  boolean isEmpty(String name) {
    Line line = line(name);
    synchronized (line) {
      return line.queue.size() == 0;
    }
  }

  /** Lets a request wait at most until its deadline. */
  void enqueue(String name, PendingRequest request, long remainingNanoseconds) {
    Line line = line(name);
    Optional<PendingRequest> displaced;
    synchronized (line) {
      displaced = line.queue.offer(request.organisation(), request);
    }
    displaced.ifPresent(PendingRequest::refuseUnserved);
    scheduler.schedule(() -> expire(name, request), remainingNanoseconds, TimeUnit.NANOSECONDS);
    dispatchPending(name);
  }

  /** Ends the wait of a request whose caller went away. */
  void remove(String name, PendingRequest request) {
    Line line = line(name);
    synchronized (line) {
      line.queue.remove(request.organisation(), request);
    }
  }

  /** Lets the requests whose turn it is try, until one finds no server. */
  void dispatchPending(String name) {
    Line line = line(name);
    boolean mayContinue = true;
    while (mayContinue) {
      Optional<Runnable> send = Optional.empty();
      synchronized (line) {
        Optional<PendingRequest> next = line.queue.peek();
        if (next.isPresent()) {
          send = next.get().tryReserve();
          if (send.isPresent()) {
            line.queue.poll();
          }
        }
        scheduleRetry(name, line);
      }
      mayContinue = send.isPresent();
      send.ifPresent(Runnable::run);
    }
  }

  private void expire(String name, PendingRequest request) {
    Line line = line(name);
    boolean waited;
    synchronized (line) {
      waited = line.queue.remove(request.organisation(), request);
    }
    if (waited) {
      request.refuseUnserved();
    }
  }

  /** Each waiting request tries at the moments of a Poisson process; their sum is one, too. */
  private void scheduleRetry(String name, Line line) {
    int waiting = line.queue.size();
    if (waiting == 0 || line.scheduled || scheduler.isShutdown()) {
      return;
    }
    line.scheduled = true;
    double pause =
        -Math.log(1 - ThreadLocalRandom.current().nextDouble())
            * MEAN_RETRY_INTERVAL_NANOSECONDS
            / waiting;
    scheduler.schedule(() -> retryAfterPause(name, line), (long) pause, TimeUnit.NANOSECONDS);
  }

  private void retryAfterPause(String name, Line line) {
    synchronized (line) {
      line.scheduled = false;
      if (name.endsWith(NO_SERVER_SUFFIX)) {
        line.queue.poll().ifPresent(first -> line.queue.offer(first.organisation(), first));
      } else {
        line.queue.rotate();
      }
    }
    dispatchPending(name);
  }

  private Line line(String name) {
    return linesByName.computeIfAbsent(name, unused -> new Line());
  }
}
