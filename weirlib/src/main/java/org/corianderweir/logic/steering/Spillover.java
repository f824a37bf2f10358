package org.corianderweir.logic.steering;

import java.util.List;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Redirects the desired shares of cells that are dead or full to cells that are ready. Preferred
 * are, in this order, cells of the same destination in the local region, cells of the same
 * destination in any region, cells of any destination in the local region, and any other cells. If
 * no cell is ready, the share is not redirected.
 */
final class Spillover {
  private Spillover() {}

  static double[] redirect(List<Cell> cells, double[] desired, CellCondition[] conditions) {
    double[] redirected = desired.clone();
    for (int index = 0; index < desired.length; index++) {
      if (desired[index] > 0 && conditions[index].losesShare()) {
        redirectCell(cells, desired[index], conditions, index, redirected);
      }
    }
    return redirected;
  }

  private static void redirectCell(
      List<Cell> cells, double share, CellCondition[] conditions, int source, double[] redirected) {
    Cell from = cells.get(source);
    IntPredicate ready = index -> conditions[index] == CellCondition.READY;
    IntPredicate local = index -> cells.get(index).local();
    IntPredicate sameDestination =
        index -> cells.get(index).key().conditions().equals(from.key().conditions());
    List<IntPredicate> preferences =
        List.of(
            ready.and(sameDestination).and(local),
            ready.and(sameDestination),
            ready.and(local),
            ready);
    for (IntPredicate preference : preferences) {
      int[] targets = IntStream.range(0, cells.size()).filter(preference).toArray();
      int slots = IntStream.of(targets).map(index -> cells.get(index).slots()).sum();
      if (slots > 0) {
        redirected[source] -= share;
        for (int target : targets) {
          redirected[target] += share * cells.get(target).slots() / slots;
        }
        return;
      }
    }
  }
}
