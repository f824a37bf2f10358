package org.corianderweir.protocol;

import java.util.Map;

/** Messages by which entry instances share what organisations ask for. */
public sealed interface DemandMessage extends PeerMessage {
  /**
   * What organisations ask of an instance, told to the collector of its region.
   *
   * @param requestsPerSecond rate of the requests by organisation
   */
  record DemandReport(Map<String, Double> requestsPerSecond) implements DemandMessage {
    /** Copies the map. */
    public DemandReport {
      requestsPerSecond = Map.copyOf(requestsPerSecond);
    }
  }

  /**
   * What organisations ask of a region, told to the collectors of the other regions.
   *
   * @param region the region
   * @param reportingInstanceCount instances of the region that told theirs lately
   * @param requestsPerSecond rate of the requests by organisation
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
   * What organisations ask of the whole fleet, told by a collector to the instances of its region.
   *
   * @param reportedRequestsPerSecond what the receiver itself had reported
   * @param reportingInstanceCount instances of the fleet that told theirs lately
   * @param fleetRequestsPerSecond rate of the requests to these instances by organisation
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
