package org.corianderweir.daemon.traffic;

import java.util.List;
import java.util.function.Supplier;
import org.corianderweir.logic.keys.KeyDirectory;
import org.corianderweir.logic.steering.RouteFinder;
import org.corianderweir.logic.steering.SteeringDecision;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;

/**
 * What traffic threads need of a configuration, prepared once for each revision. Immutable.
 *
 * @param configuration the configuration in force
 * @param keys keys in force
 * @param routes selectors in force
 * @param steering weights in force, which move while the configuration stays
 */
record TrafficSnapshot(
    Configuration configuration,
    KeyDirectory keys,
    RouteFinder routes,
    Supplier<SteeringTable> steering) {

  static TrafficSnapshot of(Configuration configuration, Supplier<SteeringTable> steering) {
    return new TrafficSnapshot(
        configuration,
        new KeyDirectory(configuration.keys()),
        new RouteFinder(configuration.selectors()),
        steering);
  }

  /**
   * Returns the backend servers that a request may go to at present; none while the share of the
   * traffic that it belongs to moves away from servers that are gone.
   *
   * @param selector name of the selector that covers the request
   * @param draw uniform random number from 0 up to 1, drawn once for each request
   */
  List<BackendServer> candidates(String selector, double draw) {
    return switch (steering.get().steer(selector, draw)) {
      case SteeringDecision.Candidates found -> found.cell().servers();
      case SteeringDecision.NotNow notNow -> List.of();
    };
  }
}
