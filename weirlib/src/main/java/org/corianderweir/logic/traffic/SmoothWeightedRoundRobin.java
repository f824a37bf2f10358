package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.model.traffic.WeightedService;

/**
 * Distributes requests over services in exact proportion to their weights by smooth weighted round
 * robin. Not thread-safe.
 */
final class SmoothWeightedRoundRobin {
  private final Map<String, Map<String, Double>> creditByRoute = new HashMap<>();

  /** Returns a copy that moves on by itself. */
  SmoothWeightedRoundRobin copy() {
    SmoothWeightedRoundRobin copy = new SmoothWeightedRoundRobin();
    creditByRoute.forEach(
        (route, credits) -> copy.creditByRoute.put(route, new HashMap<>(credits)));
    return copy;
  }

  /** Returns the service for the next request of a route. */
  String next(String route, List<WeightedService> services) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Map<String, Double> creditByService =
        creditByRoute.computeIfAbsent(route, unused -> new HashMap<>());
    double total = 0;
    WeightedService best = services.get(0);
    double bestCredit = -Double.MAX_VALUE;
    for (WeightedService candidate : services) {
      double credit = creditByService.merge(candidate.service(), candidate.weight(), Double::sum);
      total += candidate.weight();
      if (credit > bestCredit) {
        bestCredit = credit;
        best = candidate;
      }
    }
    creditByService.merge(best.service(), -total, Double::sum);
    return best.service();
  }
}
