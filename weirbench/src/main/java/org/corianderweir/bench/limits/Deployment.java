package org.corianderweir.bench.limits;

/** Latencies of today's two fleets: three regions of two availability zones of three instances. */
enum Deployment {
  ADEBAYO(500_000L, 55_000_000L),
  HURON(1_000_000L, 20_000_000L);

  static final int ZONES = 6;
  static final int INSTANCES = 18;
  private static final long SAME_ZONE_NANOSECONDS = 250_000L;

  private final long zoneNanoseconds;
  private final long regionNanoseconds;

  Deployment(long zoneNanoseconds, long regionNanoseconds) {
    this.zoneNanoseconds = zoneNanoseconds;
    this.regionNanoseconds = regionNanoseconds;
  }

  /** Returns the latency one way between two instances. */
  long latencyNanoseconds(int from, int to) {
    int fromZone = zone(from);
    int toZone = zone(to);
    if (fromZone == toZone) {
      return SAME_ZONE_NANOSECONDS;
    }
    return fromZone / 2 == toZone / 2 ? zoneNanoseconds : regionNanoseconds;
  }

  static int zone(int instance) {
    return instance % ZONES;
  }
}
