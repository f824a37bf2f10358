package org.corianderweir.protocol;

import java.util.Map;

/**
 * Messages by which entry instances aggregate the demand of organisations: the rate of requests
 * that they send to the fleet.
 */
public sealed interface DemandMessage extends PeerMessage {
  /**
   * The demand at one instance, which the instance sends to the collector of its region.
   *
   * @param requestsPerSecond requests per second by organisation
   */
  record DemandReport(Map<String, Double> requestsPerSecond) implements DemandMessage {
    /** Copies the map. */
    public DemandReport {
      requestsPerSecond = Map.copyOf(requestsPerSecond);
    }
  }

  /**
   * The demand in one region, which its collector sends to the collectors of the other regions.
   *
   * @param region name of the region
   * @param reportingInstanceCount number of instances of the region that reported recently
   * @param requestsPerSecond requests per second by organisation
   */
  record RegionDemand(
      String region, int reportingInstanceCount, Map<String, Double> requestsPerSecond)
      implements DemandMessage {
    /** Copies the map. */
    public RegionDemand {
      requestsPerSecond = Map.copyOf(requestsPerSecond);
    }
  }

  /**
   * The demand in the whole fleet, which a collector sends to the instances of its region.
   *
   * @param reportedRequestsPerSecond requests per second by organisation, as the receiver itself
   *     reported them
   * @param reportingInstanceCount number of instances of the fleet that reported recently
   * @param fleetRequestsPerSecond requests per second by organisation, summed over these instances
   */
  record FleetDemand(
      Map<String, Double> reportedRequestsPerSecond,
      int reportingInstanceCount,
      Map<String, Double> fleetRequestsPerSecond)
      implements DemandMessage {
    /** Copies the maps. */
    public FleetDemand {
      reportedRequestsPerSecond = Map.copyOf(reportedRequestsPerSecond);
      fleetRequestsPerSecond = Map.copyOf(fleetRequestsPerSecond);
    }
  }
}
