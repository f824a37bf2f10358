package org.corianderweir.model.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A route: which requests are sent to which services, and under which rules.
 *
 * @param name unique name
 * @param host value of the {@code Host} header field that selects the route
 * @param pathPrefix prefix of the path that selects the route; begins and ends with a slash
 * @param kind what requests do, which decides whether they may run more than once
 * @param timeout longest time until the final answer
 * @param targetLatency latency within which an answer is most useful
 * @param priority priority of requests; 0 is the most urgent
 * @param weightedServices services with their weights, at least one
 * @param maximumAttempts maximum number of times that one request is sent to a server
 * @param open whether requests need no access key
 * @param sticky whether requests with the same affinity key prefer the same server, which handles
 *     them faster
 * @param allowedRegions the only regions that may handle requests; empty means all
 */
public record TrafficRoute(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
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

  /** Returns whether requests are idempotent and may run more than once. */
  public boolean idempotent() {
    return kind.mayRunAgain();
  }
}
