package org.corianderweir.bench.report;

import java.util.List;
import org.corianderweir.bench.deployment.Deployment;

/**
 * Counts requests that were refused as exceeding their organisation's rate although an ideal token
 * bucket, one for the whole fleet that sees every request at once, would have admitted them.
 */
final class WrongfulRefusals {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final String RATE_EXCEEDED = "rate-exceeded";

  private WrongfulRefusals() {}

  /**
   * The counts of an organisation.
   *
   * @param demanded number of requests sent with its keys
   * @param insideRate number of requests that the ideal bucket admits
   * @param wrongful number of those that were refused as exceeding the rate
   */
  record Count(long demanded, long insideRate, long wrongful) {}

  /**
   * Counts the requests of an organisation.
   *
   * @param ordered its requests in order of their intended times
   */
  static Count count(
      Deployment.OrganisationSpecification organisation, List<RequestHistory> ordered) {
    double tokens = organisation.burst();
    long previousNanoseconds =
        ordered.isEmpty() ? 0 : ordered.getFirst().first().intendedNanoseconds();
    long insideRate = 0;
    long wrongful = 0;
    for (RequestHistory request : ordered) {
      long nowNanoseconds = request.first().intendedNanoseconds();
      double refilledTokens =
          (nowNanoseconds - previousNanoseconds)
              / NANOSECONDS_PER_SECOND
              * organisation.requestsPerSecond();
      tokens = Math.min(organisation.burst(), tokens + refilledTokens);
      previousNanoseconds = nowNanoseconds;
      if (tokens >= 1) {
        tokens -= 1;
        insideRate++;
        if (request.failure().equals(RATE_EXCEEDED)) {
          wrongful++;
        }
      }
    }
    return new Count(ordered.size(), insideRate, wrongful);
  }
}
