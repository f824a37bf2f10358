package org.corianderweir.model.configuration;

import java.util.List;

/**
 * A group of backend servers and the weight of the traffic that it gets.
 *
 * @param conditions conditions that all hold for each server of the group; empty means all servers
 * @param weight weight among the destinations of a selector, zero or more; zero gets traffic only
 *     when the others can't take it
 */
public record Destination(List<LabelCondition> conditions, int weight) {
  /** Every backend server of the service. */
  public static final Destination ANYWHERE = new Destination(List.of(), 1);

  /** Copies the list. */
  public Destination {
    conditions = List.copyOf(conditions);
  }
}
