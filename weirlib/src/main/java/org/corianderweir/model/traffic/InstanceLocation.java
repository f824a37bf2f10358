package org.corianderweir.model.traffic;

import java.util.Map;

/**
 * Where an entry instance stands.
 *
 * @param zone own availability zone
 * @param region own region
 * @param regionsByZone the region of each availability zone
 */
public record InstanceLocation(String zone, String region, Map<String, String> regionsByZone) {
  /** Copies the map. */
  public InstanceLocation {
    regionsByZone = Map.copyOf(regionsByZone);
  }

  /** Returns the region of a zone; a zone that is not known is a region of its own. */
  public String regionOf(String otherZone) {
    return regionsByZone.getOrDefault(otherZone, otherZone);
  }
}
