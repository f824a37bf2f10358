package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;

/** Finds routes and organisations of a configuration. Immutable. */
public final class TrafficIndex {
  private final TrafficConfiguration configuration;
  private final Map<String, Map<String, TrafficRoute>> routesByHost = new HashMap<>();
  private final Map<String, CallerOrganisation> organisationsByKey = new HashMap<>();

  /** Creates the index of a configuration. */
  public TrafficIndex(TrafficConfiguration configuration) {
    this.configuration = configuration;
    for (TrafficRoute route : configuration.routes()) {
      routesByHost
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), unused -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
    for (CallerOrganisation organisation : configuration.organisations()) {
      for (String key : organisation.keys()) {
        organisationsByKey.put(key, organisation);
      }
    }
  }

  /** Returns the configuration. */
  public TrafficConfiguration configuration() {
    return configuration;
  }

  /** Returns the route of a host with the longest matching path prefix. */
  public Optional<TrafficRoute> route(String host, String path) {
    Map<String, TrafficRoute> routes = routesByHost.get(withoutPort(host));
    if (routes == null) {
      return Optional.empty();
    }
    int end = path.length();
    while (end > 0) {
      int slash = path.lastIndexOf('/', end - 1);
      if (slash < 0) {
        break;
      }
      TrafficRoute route = routes.get(path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      end = slash;
    }
    return Optional.empty();
  }

  /** Returns whether requests need an access key on routes that are not open. */
  public boolean needsKeys() {
    return !configuration.organisations().isEmpty();
  }

  /** Returns the organisation that an access key belongs to. */
  public Optional<CallerOrganisation> organisation(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  private static String withoutPort(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
