package org.corianderweir.http;

/**
 * The wait of a response for memory. Each time bytes are given back, it tries to reserve the body.
 * The budget forgets it when the exchange ends: while callers don't read, no bytes are given back
 * for seconds, and exchanges that had ended would keep the bytes that they had read.
 */
final class MemoryWait implements Runnable {
  private final PendingResponse pending;
  private final MemoryBudget budget;
  private final Runnable resume;

  /**
   * Creates a wait that has not begun.
   *
   * @param resume called once when the memory is reserved
   */
  MemoryWait(PendingResponse pending, Runnable resume) {
    this.pending = pending;
    this.resume = resume;
    budget = pending.memory();
  }

  /** Begins to wait, unless there is memory now. */
  void start() {
    pending.exchange().response().whenComplete((response, failure) -> budget.forget(this));
    run();
  }

  @Override
  public void run() {
    if (!isNeeded()) {
      return;
    }
    // Asked to be told before the attempt, so that memory given back in between is not missed.
    budget.whenReleased(this);
    boolean resumed = pending.tryResume();
    if (resumed || !isNeeded()) {
      budget.forget(this);
    }
    if (resumed) {
      resume.run();
    }
  }

  private boolean isNeeded() {
    return pending.isWaiting() && !pending.exchange().response().isDone();
  }
}
