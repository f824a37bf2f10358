package org.corianderweir.bench.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Prints whether each promise was kept and counts the broken ones. */
final class CheckPrinter {
  private static final long POLL_INTERVAL_MILLISECONDS = 50;

  private final PrintStream output;
  private int failedCount;

  CheckPrinter(PrintStream output) {
    this.output = output;
  }

  int failedCount() {
    return failedCount;
  }

  /** Waits until the condition holds; the promise is broken if the timeout expires first. */
  void await(String text, Duration timeout, BooleanSupplier condition) {
    long beginNanoseconds = System.nanoTime();
    boolean passed = condition.getAsBoolean();
    while (!passed && System.nanoTime() - beginNanoseconds < timeout.toNanos()) {
      sleep();
      passed = condition.getAsBoolean();
    }
    long milliseconds = Duration.ofNanos(System.nanoTime() - beginNanoseconds).toMillis();
    check(passed, text + " (" + milliseconds + " ms)");
  }

  /** Prints whether a promise was kept. */
  void check(boolean passed, String text) {
    output.println((passed ? "kept    " : "BROKEN  ") + text);
    if (!passed) {
      failedCount++;
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
