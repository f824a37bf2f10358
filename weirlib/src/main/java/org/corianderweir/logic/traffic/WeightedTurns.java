package org.corianderweir.logic.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.model.traffic.ServiceShare;

/** Deals requests to services exactly in the proportion of weights. Not thread-safe. */
final class WeightedTurns {
  private final Map<String, Map<String, Double>> creditByRoute = new HashMap<>();

  /** Returns the service whose turn it is (smooth weighted round robin). */
  String next(String route, List<ServiceShare> shares) {
    if (shares.size() == 1) {
      return shares.get(0).service();
    }
    Map<String, Double> credit = creditByRoute.computeIfAbsent(route, unused -> new HashMap<>());
    double total = 0;
    ServiceShare best = shares.get(0);
    double bestCredit = -Double.MAX_VALUE;
    for (ServiceShare share : shares) {
      double present = credit.merge(share.service(), share.weight(), Double::sum);
      total += share.weight();
      if (present > bestCredit) {
        bestCredit = present;
        best = share;
      }
    }
    credit.merge(best.service(), -total, Double::sum);
    return best.service();
  }
}
