package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.model.traffic.WeightedService;

/** Deals requests to services exactly in the proportion of weights. Not thread-safe. */
final class SmoothWeightedRoundRobin {
  private final Map<String, Map<String, Double>> creditByRoute = new HashMap<>();

  /** Returns the service whose turn it is (smooth weighted round robin). */
  String next(String route, List<WeightedService> services) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Map<String, Double> credit = creditByRoute.computeIfAbsent(route, unused -> new HashMap<>());
    double total = 0;
    WeightedService best = services.get(0);
    double bestCredit = -Double.MAX_VALUE;
    for (WeightedService candidate : services) {
      double credits = credit.merge(candidate.service(), candidate.weight(), Double::sum);
      total += candidate.weight();
      if (credits > bestCredit) {
        bestCredit = credits;
        best = candidate;
      }
    }
    credit.merge(best.service(), -total, Double::sum);
    return best.service();
  }
}
