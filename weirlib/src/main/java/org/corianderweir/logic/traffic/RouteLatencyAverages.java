package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.Map;

/** The usual time of the requests of each route, as a moving average. Not thread-safe. */
final class RouteLatencyAverages {
  private static final double SMOOTHING_FACTOR = 0.05;

  private final Map<String, Double> nanosecondsByRoute = new HashMap<>();

  /** Takes a time in and returns how many times the usual one it is. */
  double observe(String route, long latencyNanoseconds) {
    double averageNanoseconds = nanosecondsByRoute.getOrDefault(route, (double) latencyNanoseconds);
    nanosecondsByRoute.put(
        route, averageNanoseconds + SMOOTHING_FACTOR * (latencyNanoseconds - averageNanoseconds));
    return averageNanoseconds <= 0 ? 1 : latencyNanoseconds / averageNanoseconds;
  }
}
