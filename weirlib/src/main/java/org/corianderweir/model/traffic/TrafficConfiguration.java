package org.corianderweir.model.traffic;

import java.util.List;
import java.util.Map;

/**
 * A complete configuration of the traffic, as written by the operators.
 *
 * @param version version, which increases with each configuration
 * @param routes all routes
 * @param services all services by name
 * @param organisations all organisations; empty means that no request needs an access key
 * @param limits limits on the requests and connections of callers
 */
public record TrafficConfiguration(
    long version,
    List<TrafficRoute> routes,
    Map<String, ServiceSettings> services,
    List<CallerOrganisation> organisations,
    CallerLimits limits) {
  /** Copies the collections. */
  public TrafficConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    organisations = List.copyOf(organisations);
  }

  /** Returns whether a route has requests or responses that are large. */
  public boolean hasLargeRequests() {
    return routes.stream().anyMatch(route -> route.kind().isLarge());
  }
}
