package org.corianderweir.bench.start;

import java.time.Duration;

/**
 * The processor time, user and system, of one process.
 *
 * @param start from its start until it is ready
 * @param firstRequests for the first requests
 * @param nextRequests for the requests after them
 * @param idleSecond for a second without requests, beside peers and the store
 * @param compilation of {@code start}, {@code firstRequests} and {@code nextRequests}, what the
 *     compiler threads used
 * @param failedRequests number of requests without a response of status 200
 */
public record StartCost(
    Duration start,
    Duration firstRequests,
    Duration nextRequests,
    Duration idleSecond,
    Duration compilation,
    int failedRequests) {
  /** Returns the processor time until all requests are answered. */
  public Duration sum() {
    return start.plus(firstRequests).plus(nextRequests);
  }
}
