package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.Map;

/** The usual time of the requests of each route, as a moving average. Not thread-safe. */
final class PaceTable {
  private static final double GAIN = 0.05;

  private final Map<String, Double> nanosecondsByRoute = new HashMap<>();

  /** Takes a time in and returns how many times the usual one it is. */
  double observe(String route, long tookNanoseconds) {
    double usual = nanosecondsByRoute.getOrDefault(route, (double) tookNanoseconds);
    nanosecondsByRoute.put(route, usual + GAIN * (tookNanoseconds - usual));
    return usual <= 0 ? 1 : tookNanoseconds / usual;
  }
}
