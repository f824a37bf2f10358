package org.corianderweir.model.traffic;

import java.util.Map;

/**
 * The location of an entry instance.
 *
 * @param zone availability zone of the instance
 * @param region region of the instance
 * @param regionsByZone the region of each availability zone
 */
public record InstanceLocation(String zone, String region, Map<String, String> regionsByZone) {
  /** Copies the map. */
  public InstanceLocation {
    regionsByZone = Map.copyOf(regionsByZone);
  }

  /** Returns the region of a zone. An unknown zone counts as a region with the name of the zone. */
  public String regionOf(String otherZone) {
    return regionsByZone.getOrDefault(otherZone, otherZone);
  }
}
