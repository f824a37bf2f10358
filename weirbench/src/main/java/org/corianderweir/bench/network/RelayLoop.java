package org.corianderweir.bench.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** The one thread of all relays: readiness of channels, tasks for later, tasks of others. */
final class RelayLoop implements AutoCloseable {
  private static final long IDLE_MILLISECONDS = 100;

  private final Selector selector;
  private final Thread thread = new Thread(this::run, "relay");
  private final Queue<Runnable> incoming = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong(Timer::dueNanoseconds).thenComparingLong(Timer::sequence));
  private long timerSequence;
  private volatile boolean closed;

  /** Is called when a channel is ready. */
  interface ReadyHandler {
    void ready(SelectionKey key) throws IOException;
  }

  private record Timer(long dueNanoseconds, long sequence, Runnable task) {}

  RelayLoop() {
    try {
      selector = Selector.open();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  Selector selector() {
    return selector;
  }

  /** Runs a task on the loop's thread soon; any thread may call this. */
  void execute(Runnable task) {
    incoming.add(task);
    selector.wakeup();
  }

  /** Runs a task at a monotonic time; loop's thread only. */
  void at(long dueNanoseconds, Runnable task) {
    timers.add(new Timer(dueNanoseconds, timerSequence++, task));
  }

  /** Runs a task after a while; loop's thread only. */
  void after(long milliseconds, Runnable task) {
    at(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds), task);
  }

  private void run() {
    try {
      while (!closed) {
        select();
        runIncoming();
        runReady();
        runTimers();
      }
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void select() throws IOException {
    if (timers.isEmpty()) {
      selector.select(IDLE_MILLISECONDS);
      return;
    }
    long wait = timers.peek().dueNanoseconds() - System.nanoTime();
    if (wait <= 0) {
      selector.selectNow();
    } else {
      selector.select(Math.max(1, TimeUnit.NANOSECONDS.toMillis(wait)));
    }
  }

  private void runIncoming() {
    Runnable task = incoming.poll();
    while (task != null) {
      task.run();
      task = incoming.poll();
    }
  }

  private void runReady() {
    Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
    while (ready.hasNext()) {
      SelectionKey key = ready.next();
      ready.remove();
      if (key.isValid() && key.attachment() instanceof ReadyHandler handler) {
        try {
          handler.ready(key);
        } catch (IOException | java.nio.channels.CancelledKeyException gone) {
          key.cancel();
        }
      }
    }
  }

  private void runTimers() {
    long now = System.nanoTime();
    while (!timers.isEmpty() && timers.peek().dueNanoseconds() <= now) {
      timers.poll().task().run();
    }
  }

  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
