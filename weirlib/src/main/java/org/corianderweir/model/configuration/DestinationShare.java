package org.corianderweir.model.configuration;

import java.util.List;

/**
 * The share of a selector's traffic that a destination has at a given time.
 *
 * @param conditions label conditions of the destination
 * @param share share of the traffic, from 0 to 1
 */
public record DestinationShare(List<LabelCondition> conditions, double share) {
  /** Copies the list. */
  public DestinationShare {
    conditions = List.copyOf(conditions);
  }
}
