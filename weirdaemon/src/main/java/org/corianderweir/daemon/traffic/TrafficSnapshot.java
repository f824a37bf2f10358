package org.corianderweir.daemon.traffic;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.corianderweir.logic.keys.KeyDirectory;
import org.corianderweir.logic.steering.RouteFinder;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;

/**
 * What traffic threads need of a configuration, prepared once for each revision. Immutable.
 *
 * @param configuration the configuration in force
 * @param keys keys in force
 * @param routes selectors in force
 * @param serversByService backend servers that may get new requests
 */
record TrafficSnapshot(
    Configuration configuration,
    KeyDirectory keys,
    RouteFinder routes,
    Map<String, List<BackendServer>> serversByService) {

  static TrafficSnapshot of(Configuration configuration) {
    Map<String, List<BackendServer>> servers =
        configuration.backendServers().stream()
            .filter(server -> !server.drained())
            .collect(Collectors.groupingBy(BackendServer::service));
    return new TrafficSnapshot(
        configuration,
        new KeyDirectory(configuration.keys()),
        new RouteFinder(configuration.selectors()),
        servers);
  }

  List<BackendServer> candidates(String service) {
    return serversByService.getOrDefault(service, List.of());
  }
}
