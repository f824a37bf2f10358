package org.corianderweir.bench.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Prints each promise of a run with its outcome and counts those that were broken. */
final class PromiseBoard {
  private static final long POLL_MILLISECONDS = 50;

  private final PrintStream output;
  private int broken;

  PromiseBoard(PrintStream output) {
    this.output = output;
  }

  int broken() {
    return broken;
  }

  /** Waits until the condition holds; the promise is broken if the limit passes first. */
  void await(String text, Duration limit, BooleanSupplier condition) {
    long begin = System.nanoTime();
    boolean kept = condition.getAsBoolean();
    while (!kept && System.nanoTime() - begin < limit.toNanos()) {
      sleep();
      kept = condition.getAsBoolean();
    }
    long milliseconds = Duration.ofNanos(System.nanoTime() - begin).toMillis();
    check(kept, text + " (" + milliseconds + " ms)");
  }

  /** Notes the outcome of a promise. */
  void check(boolean kept, String text) {
    output.println((kept ? "kept    " : "BROKEN  ") + text);
    if (!kept) {
      broken++;
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
