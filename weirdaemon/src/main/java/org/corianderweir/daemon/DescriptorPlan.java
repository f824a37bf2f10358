package org.corianderweir.daemon;

/**
 * Divides the descriptors of the process. What is left is for connections to servers and to the
 * store, and for files.
 *
 * @param requests connections of callers with requests
 * @param lookups connections of callers with look-ups
 * @param readiness connections of the platform's readiness checks
 * @param metrics connections for metrics
 * @param handshakes connections to the peer port whose handshake is in progress
 */
public record DescriptorPlan(
    int requests, int lookups, int readiness, int metrics, int handshakes) {
  private static final double REQUESTS_RATIO = 0.5;
  private static final double LOOKUPS_RATIO = 0.08;
  private static final double READINESS_RATIO = 0.02;
  private static final double METRICS_RATIO = 0.02;
  private static final double HANDSHAKES_RATIO = 0.06;

  /** Plans for a number of descriptors. */
  public static DescriptorPlan forLimit(int descriptors) {
    return new DescriptorPlan(
        (int) (REQUESTS_RATIO * descriptors),
        (int) (LOOKUPS_RATIO * descriptors),
        (int) (READINESS_RATIO * descriptors),
        (int) (METRICS_RATIO * descriptors),
        (int) (HANDSHAKES_RATIO * descriptors));
  }
}
