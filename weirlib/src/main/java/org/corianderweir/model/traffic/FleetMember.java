package org.corianderweir.model.traffic;

import org.jspecify.annotations.Nullable;

/**
 * An entry instance that accepts requests.
 *
 * @param name unique name
 * @param host IP address
 * @param callerPort TCP port for requests of callers
 * @param peerPort port for messages between entry instances
 * @param zone availability zone
 * @param region region of the availability zone
 * @param incarnation wall-clock time of its start, in milliseconds since the epoch
 * @param capacity processor capacity of its machine in cores
 * @param metricsPort TCP port of its metrics and explanations; 0 if the instance runs a version
 *     that does not tell it
 */
public record FleetMember(
    String name,
    String host,
    int callerPort,
    int peerPort,
    String zone,
    String region,
    long incarnation,
    double capacity,
    int metricsPort) {
  /** Capacity of a member that does not say its own. */
  public static final double DEFAULT_CAPACITY = 1;

  private static final double SMALLEST_CAPACITY = 0.01;
  private static final double LARGEST_CAPACITY = 1_000;

  /** Bounds the capacity; one that is not a number counts as the default. */
  public FleetMember {
    capacity =
        Double.isNaN(capacity)
            ? DEFAULT_CAPACITY
            : Math.clamp(capacity, SMALLEST_CAPACITY, LARGEST_CAPACITY);
  }

  /** Creates a member with the default capacity that does not tell its metrics port. */
  public FleetMember(
      String name,
      String host,
      int callerPort,
      int peerPort,
      String zone,
      String region,
      long incarnation) {
    this(name, host, callerPort, peerPort, zone, region, incarnation, DEFAULT_CAPACITY, 0);
  }

  // Written out: the generated method is linked by method handles at its first call, during the
  // start of the process, and no class archive holds them.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof FleetMember that
        && name.equals(that.name)
        && host.equals(that.host)
        && callerPort == that.callerPort
        && peerPort == that.peerPort
        && zone.equals(that.zone)
        && region.equals(that.region)
        && incarnation == that.incarnation
        && Double.compare(capacity, that.capacity) == 0
        && metricsPort == that.metricsPort;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(incarnation) * 31 + name.hashCode();
  }

  /** Returns the address for requests of callers as {@code host:port}. */
  public String callerAddress() {
    return host + ":" + callerPort;
  }
}
