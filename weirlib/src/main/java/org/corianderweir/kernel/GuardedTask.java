package org.corianderweir.kernel;

import java.util.function.Consumer;

/**
 * A task whose unexpected failure is passed to a handler instead of its executor, which would
 * swallow it and not run a periodic task again.
 *
 * @param task the task
 * @param failureHandler called with the failure of the task
 */
public record GuardedTask(Runnable task, Consumer<Throwable> failureHandler) implements Runnable {
  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException | StackOverflowError | LinkageError failure) {
      failureHandler.accept(failure);
    }
  }
}
