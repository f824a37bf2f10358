package org.corianderweir.model.configuration;

import java.util.List;

/**
 * A group of backend servers of a selector's service, and its weight.
 *
 * @param conditions conditions that each server of the group meets; empty means all servers of the
 *     service
 * @param weight weight among the destinations of a selector, zero or more; a destination of weight
 *     zero gets traffic only when the others can't take it
 */
public record Destination(List<LabelCondition> conditions, int weight) {
  /** Every backend server of the service. */
  public static final Destination ANYWHERE = new Destination(List.of(), 1);

  /** Copies the list. */
  public Destination {
    conditions = List.copyOf(conditions);
  }
}
