package org.corianderweir.model.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Which requests go to which services, and how.
 *
 * @param name unique name
 * @param host value of the {@code Host} field that selects the route
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param idempotent whether a request may run more than once
 * @param timeout longest time until the final answer
 * @param targetLatency time within which an answer is most useful
 * @param priority rank; 0 is the most urgent
 * @param weightedServices the services, at least one
 * @param maximumAttempts servers that one request may be sent to
 * @param open whether requests need no key
 * @param sticky whether a server works faster on objects that it has handled lately
 * @param allowedRegions the only regions that may handle requests; empty means all
 */
public record TrafficRoute(
    String name,
    String host,
    String pathPrefix,
    boolean idempotent,
    Duration timeout,
    Duration targetLatency,
    int priority,
    List<WeightedService> weightedServices,
    int maximumAttempts,
    boolean open,
    boolean sticky,
    Set<String> allowedRegions) {
  /** Copies the collections. */
  public TrafficRoute {
    weightedServices = List.copyOf(weightedServices);
    allowedRegions = Set.copyOf(allowedRegions);
  }
}
