package org.corianderweir.kernel;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs tasks on the control thread, the single thread that owns all control state. Other threads
 * submit tasks to it; they neither access its state nor wait for it.
 */
public final class ControlExecutor implements TaskScheduler {
  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<Throwable> failureHandler;

  /**
   * Creates the executor and its thread.
   *
   * @param failureHandler called with the exception of a failed task; later tasks still run
   */
  public ControlExecutor(Consumer<Throwable> failureHandler) {
    this.failureHandler = failureHandler;
    this.executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "control");
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable task) {
    if (!executor.isShutdown()) {
      executor.execute(reportFailures(task));
    }
  }

  /** Runs a task on the control thread repeatedly, with the given delay between two runs. */
  public void scheduleWithFixedDelay(Duration delay, Runnable task) {
    executor.scheduleWithFixedDelay(reportFailures(task), 0, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    if (!executor.isShutdown()) {
      executor.schedule(reportFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** Stops the control thread; tasks that have not begun are dropped. */
  public void stop() {
    executor.shutdownNow();
  }

  private Runnable reportFailures(Runnable task) {
    return new GuardedTask(task, failureHandler);
  }
}
