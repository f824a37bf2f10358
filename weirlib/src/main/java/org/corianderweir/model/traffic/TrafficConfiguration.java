package org.corianderweir.model.traffic;

import java.util.List;
import java.util.Map;

/**
 * A whole configuration as the operators wrote it.
 *
 * @param version grows with each configuration
 * @param routes all routes
 * @param services services by name
 * @param organisations all organisations; empty means that no request needs a key
 * @param limits bounds on what callers may send
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
}
