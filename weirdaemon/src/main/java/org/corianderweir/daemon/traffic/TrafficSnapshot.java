package org.corianderweir.daemon.traffic;

import java.util.function.Supplier;
import org.corianderweir.logic.keys.KeyDirectory;
import org.corianderweir.logic.steering.RouteMatcher;
import org.corianderweir.logic.steering.SteeringDecision;
import org.corianderweir.logic.steering.SteeringTable;
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
    RouteMatcher routes,
    Supplier<SteeringTable> steering) {

  static TrafficSnapshot of(Configuration configuration, Supplier<SteeringTable> steering) {
    return new TrafficSnapshot(
        configuration,
        new KeyDirectory(configuration.keys()),
        new RouteMatcher(configuration.selectors()),
        steering);
  }

  /**
   * Decides where a request may go at present.
   *
   * @param selector name of the selector that covers the request
   * @param draw uniform random number from 0 up to 1, drawn once for each request
   */
  SteeringDecision steer(String selector, double draw) {
    return steering.get().steer(selector, draw);
  }
}
