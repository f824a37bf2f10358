package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.Map;

/** The exponential moving average of the latency of each route. Not thread-safe. */
final class RouteLatencyAverages {
  private static final double SMOOTHING_FACTOR = 0.05;

  private final Map<String, Double> nanosecondsByRoute = new HashMap<>();

  /** Records a latency and returns its ratio to the average before it. */
  double observe(String route, long latencyNanoseconds) {
    double averageNanoseconds = nanosecondsByRoute.getOrDefault(route, (double) latencyNanoseconds);
    nanosecondsByRoute.put(
        route, averageNanoseconds + SMOOTHING_FACTOR * (latencyNanoseconds - averageNanoseconds));
    return averageNanoseconds <= 0 ? 1 : latencyNanoseconds / averageNanoseconds;
  }
}
