package org.corianderweir.bench.platform;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.corianderweir.kernel.TimeSource;

/** A clock that moves only when a test advances it. */
final class ManualTime implements TimeSource {
  private final AtomicLong nanoseconds = new AtomicLong();

  void advance(Duration duration) {
    nanoseconds.addAndGet(duration.toNanos());
  }

  @Override
  public long monotonicNanoseconds() {
    return nanoseconds.get();
  }

  @Override
  public long wallMilliseconds() {
    return Duration.ofNanos(nanoseconds.get()).toMillis();
  }
}
