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

/**
 * The single thread that serves all relays. It handles channels that are ready, runs timers and
 * runs the tasks that other threads submit.
 */
final class RelayEventLoop implements AutoCloseable {
  private static final long IDLE_SELECT_TIMEOUT_MILLISECONDS = 100;

  private final Selector selector;
  private final Thread thread = new Thread(this::run, "relay");
  private final Queue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong(Timer::dueNanoseconds).thenComparingLong(Timer::sequence));
  private long timerSequence;
  private volatile boolean closed;

  /** Handles a channel that is ready. An exception cancels the channel's key. */
  interface ReadyHandler {
    void onReady(SelectionKey key) throws IOException;
  }

  private record Timer(long dueNanoseconds, long sequence, Runnable task) {}

  RelayEventLoop() {
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

  /** Submits a task to the event loop. Any thread may call this. */
  void execute(Runnable task) {
    submittedTasks.add(task);
    selector.wakeup();
  }

  /** Runs a task at a monotonic time. Only for calls from the event loop. */
  void scheduleAt(long dueNanoseconds, Runnable task) {
    timers.add(new Timer(dueNanoseconds, timerSequence++, task));
  }

  /** Runs a task after a delay. Only for calls from the event loop. */
  void scheduleAfter(long delayMilliseconds, Runnable task) {
    scheduleAt(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMilliseconds), task);
  }

  private void run() {
    try {
      while (!closed) {
        select();
        runSubmittedTasks();
        handleReadyKeys();
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
      selector.select(IDLE_SELECT_TIMEOUT_MILLISECONDS);
      return;
    }
    long waitNanoseconds = timers.peek().dueNanoseconds() - System.nanoTime();
    if (waitNanoseconds <= 0) {
      selector.selectNow();
    } else {
      selector.select(Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanoseconds)));
    }
  }

  private void runSubmittedTasks() {
    Runnable task = submittedTasks.poll();
    while (task != null) {
      task.run();
      task = submittedTasks.poll();
    }
  }

  private void handleReadyKeys() {
    Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
    while (ready.hasNext()) {
      SelectionKey key = ready.next();
      ready.remove();
      if (key.isValid() && key.attachment() instanceof ReadyHandler handler) {
        try {
          handler.onReady(key);
        } catch (IOException | java.nio.channels.CancelledKeyException failure) {
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
