package org.corianderweir.bench.report;

import java.util.List;
import org.corianderweir.bench.deployment.Deployment;

/**
 * Counts requests that were refused for their organisation's rate although one bucket for the whole
 * fleet, which sees every request at once, would have admitted them.
 */
final class WrongfulRefusals {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final String RATE_EXCEEDED = "rate-exceeded";

  private WrongfulRefusals() {}

  /**
   * The result for an organisation.
   *
   * @param demanded keyed requests sent
   * @param insideRate requests that the ideal bucket admits
   * @param wrongful those of them that were refused for their rate
   */
  record Count(long demanded, long insideRate, long wrongful) {}

  /**
   * Counts an organisation's requests.
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
