package org.corianderweir.model.configuration;

import java.util.List;

/**
 * An availability zone of a region.
 *
 * @param name unique name
 * @param region name of the region
 * @param labels labels that operators attached to the zone
 */
public record AvailabilityZone(String name, String region, List<Label> labels) {
  /** Copies the list. */
  public AvailabilityZone {
    labels = List.copyOf(labels);
  }
}
