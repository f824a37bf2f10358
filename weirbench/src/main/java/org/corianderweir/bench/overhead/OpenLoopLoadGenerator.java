package org.corianderweir.bench.overhead;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpRequest;

/**
 * Sends requests at the times of a Poisson process without waiting for responses (an open-loop
 * load). Latencies count from the scheduled times, so that a late sender doesn't hide a delay.
 */
final class OpenLoopLoadGenerator {
  private static final long MAXIMUM_LATENCY_NANOSECONDS = Duration.ofSeconds(60).toNanos();
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final SplittableRandom random;

  /**
   * The results of a block of requests.
   *
   * @param latency nanoseconds from the scheduled time of a request to its complete response
   * @param failed number of requests without a response of status 200
   */
  record Outcome(Histogram latency, long failed) {}

  OpenLoopLoadGenerator(HttpClient client, long seed) {
    this.client = client;
    this.random = new SplittableRandom(seed);
  }

  /** Sends requests for the given duration and waits until all of them have ended. */
  Outcome send(HttpAddress address, HttpRequest request, double perSecond, Duration duration) {
    ConcurrentHistogram latency = new ConcurrentHistogram(MAXIMUM_LATENCY_NANOSECONDS, 3);
    AtomicLong failed = new AtomicLong();
    AtomicLong pending = new AtomicLong();
    long startNanoseconds = System.nanoTime();
    double offsetNanoseconds = 0;
    while (offsetNanoseconds < duration.toNanos()) {
      offsetNanoseconds -= Math.log(1 - random.nextDouble()) * NANOSECONDS_PER_SECOND / perSecond;
      long dueNanoseconds = startNanoseconds + (long) offsetNanoseconds;
      LockSupport.parkNanos(dueNanoseconds - System.nanoTime());
      pending.incrementAndGet();
      client
          .exchange(address, request, TIMEOUT)
          .whenComplete(
              (response, failure) -> {
                if (response != null && response.status() == STATUS_OK) {
                  latency.recordValue(
                      Math.min(System.nanoTime() - dueNanoseconds, MAXIMUM_LATENCY_NANOSECONDS));
                } else {
                  failed.incrementAndGet();
                }
                pending.decrementAndGet();
              });
    }
    while (pending.get() > 0) {
      LockSupport.parkNanos(Duration.ofMillis(1).toNanos());
    }
    return new Outcome(latency, failed.get());
  }
}
