package org.corianderweir.daemon.traffic;

import java.util.function.Supplier;
import org.corianderweir.logic.keys.KeyDirectory;
import org.corianderweir.logic.steering.RouteMatcher;
import org.corianderweir.logic.steering.SteeringDecision;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.model.configuration.Configuration;

/**
 * A configuration in the form that request threads need, prepared once for each revision.
 * Immutable.
 *
 * @param configuration the configuration in force
 * @param keys the keys in force
 * @param routes matches paths with the selectors in force
 * @param steering returns the present weights, which change also between two revisions
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
   * Decides to which backend servers a request may be sent at present.
   *
   * @param selector name of the selector that matches the request
   * @param draw uniform random number from 0 (inclusive) to 1 (exclusive), drawn once per request
   */
  SteeringDecision steer(String selector, double draw) {
    return steering.get().steer(selector, draw);
  }
}
