package org.corianderweir.kernel;

import java.time.Duration;
import java.util.concurrent.Executor;

/** Runs tasks one after the other, now or after a delay. */
public interface TaskScheduler extends Executor {
  /** Runs a task after a delay. */
  void schedule(Duration delay, Runnable task);
}
