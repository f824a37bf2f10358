package org.corianderweir.bench.limits;

/**
 * Latencies of today's two fleets. Each has three regions of two availability zones with three
 * instances each.
 */
enum SimulatedFleet {
  ADEBAYO(500_000L, 55_000_000L),
  HURON(1_000_000L, 20_000_000L);

  static final int ZONE_COUNT = 6;
  static final int INSTANCE_COUNT = 18;
  private static final long SAME_ZONE_LATENCY_NANOSECONDS = 250_000L;

  private final long zoneLatencyNanoseconds;
  private final long regionLatencyNanoseconds;

  SimulatedFleet(long zoneLatencyNanoseconds, long regionLatencyNanoseconds) {
    this.zoneLatencyNanoseconds = zoneLatencyNanoseconds;
    this.regionLatencyNanoseconds = regionLatencyNanoseconds;
  }

  /** Returns the one-way latency between two instances. */
  long latencyNanoseconds(int from, int to) {
    int fromZone = zoneOf(from);
    int toZone = zoneOf(to);
    if (fromZone == toZone) {
      return SAME_ZONE_LATENCY_NANOSECONDS;
    }
    return fromZone / 2 == toZone / 2 ? zoneLatencyNanoseconds : regionLatencyNanoseconds;
  }

  static int zoneOf(int instance) {
    return instance % ZONE_COUNT;
  }
}
