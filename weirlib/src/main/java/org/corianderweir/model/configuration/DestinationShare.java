package org.corianderweir.model.configuration;

import java.util.List;

/**
 * The share of a selector's traffic that a group of backend servers has at an instant.
 *
 * @param conditions conditions of the group
 * @param share share of the traffic, from 0 to 1
 */
public record DestinationShare(List<LabelCondition> conditions, double share) {
  /** Copies the list. */
  public DestinationShare {
    conditions = List.copyOf(conditions);
  }
}
