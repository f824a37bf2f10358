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
final class WaitingRoom {
  private static final int CAPACITY = 512;
  private static final double MEAN_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(5);

  /** End of the name of a queue whose requests may go to no server at present. */
  static final String NO_SERVER = "/";

  private final Map<String, Line> lines = new ConcurrentHashMap<>();
  private final ScheduledThreadPoolExecutor timer;

  /** A request that waits. */
  interface Waiter {
    /** Returns the organisation that the request is for; empty on an open route. */
    String organisation();

    /** Takes a free server; returns what sends the request to it, or nothing if all are full. */
    Optional<Runnable> tryNow();

    /** Ends the wait with a refusal. */
    void giveUp();
  }

  private static final class Line {
    final FairQueue<Waiter> queue = new FairQueue<>(CAPACITY);
    boolean scheduled;
  }

  WaitingRoom() {
    timer =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "waiting");
              thread.setDaemon(true);
              return thread;
            });
    timer.setRemoveOnCancelPolicy(true);
  }

  void stop() {
    timer.shutdownNow();
  }

  /** Returns whether requests wait in a queue; a new one then goes behind them. */
  boolean isEmpty(String name) {
    Line line = line(name);
    synchronized (line) {
      return line.queue.size() == 0;
    }
  }

  /** Lets a request wait at most until its deadline. */
  void await(String name, Waiter waiter, long remainingNanoseconds) {
    Line line = line(name);
    Optional<Waiter> displaced;
    synchronized (line) {
      displaced = line.queue.offer(waiter.organisation(), waiter);
    }
    displaced.ifPresent(Waiter::giveUp);
    timer.schedule(() -> expire(name, waiter), remainingNanoseconds, TimeUnit.NANOSECONDS);
    wake(name);
  }

  /** Ends the wait of a request whose caller went away. */
  void leave(String name, Waiter waiter) {
    Line line = line(name);
    synchronized (line) {
      line.queue.remove(waiter.organisation(), waiter);
    }
  }

  /** Lets the requests whose turn it is try, until one finds no server. */
  void wake(String name) {
    Line line = line(name);
    boolean goOn = true;
    while (goOn) {
      Optional<Runnable> send = Optional.empty();
      synchronized (line) {
        Optional<Waiter> next = line.queue.peek();
        if (next.isPresent()) {
          send = next.get().tryNow();
          if (send.isPresent()) {
            line.queue.poll();
          }
        }
        schedule(name, line);
      }
      goOn = send.isPresent();
      send.ifPresent(Runnable::run);
    }
  }

  private void expire(String name, Waiter waiter) {
    Line line = line(name);
    boolean waited;
    synchronized (line) {
      waited = line.queue.remove(waiter.organisation(), waiter);
    }
    if (waited) {
      waiter.giveUp();
    }
  }

  /** Each waiting request tries at the moments of a Poisson process; their sum is one, too. */
  private void schedule(String name, Line line) {
    int waiting = line.queue.size();
    if (waiting == 0 || line.scheduled || timer.isShutdown()) {
      return;
    }
    line.scheduled = true;
    double pause =
        -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * MEAN_PAUSE_NANOSECONDS / waiting;
    timer.schedule(() -> resample(name, line), (long) pause, TimeUnit.NANOSECONDS);
  }

  private void resample(String name, Line line) {
    synchronized (line) {
      line.scheduled = false;
      if (name.endsWith(NO_SERVER)) {
        line.queue.poll().ifPresent(first -> line.queue.offer(first.organisation(), first));
      } else {
        line.queue.rotate();
      }
    }
    wake(name);
  }

  private Line line(String name) {
    return lines.computeIfAbsent(name, unused -> new Line());
  }
}
