package org.corianderweir.logic.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.DestinationShare;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.configuration.Shift;

/**
 * A selector resolved for the entry instances of one region: its cells and their desired shares of
 * the traffic. Resolved once for each configuration revision. Immutable.
 *
 * <p>The share of a destination is distributed over its cells in the entry instance's region in
 * proportion to their slots. If the destination has no slots in that region, its cells in all other
 * regions are used instead.
 */
public final class ResolvedSelector {
  private final Selector selector;
  private final List<Cell> cells;

  private ResolvedSelector(Selector selector, List<Cell> cells) {
    this.selector = selector;
    this.cells = List.copyOf(cells);
  }

  /**
   * Resolves a selector.
   *
   * @param places all backend servers of the configuration
   * @param region region of the entry instance
   * @param retainedCells cells that have a share at present; they are kept even without servers, so
   *     that their share can move away at the rate of the cap
   */
  public static ResolvedSelector resolve(
      Selector selector,
      List<ServerPlace> places,
      String region,
      Collection<CellKey> retainedCells) {
    Map<String, String> regions =
        places.stream()
            .collect(
                Collectors.toMap(
                    place -> place.server().availabilityZone(),
                    ServerPlace::regionName,
                    (first, second) -> first));
    List<Cell> cells = new ArrayList<>();
    Set<CellKey> seen = new LinkedHashSet<>();
    for (List<LabelCondition> conditions : conditionGroups(selector, retainedCells)) {
      Map<String, List<BackendServer>> byZone = eligibleServersByZone(selector, places, conditions);
      retainedCells.stream()
          .filter(key -> key.conditions().equals(conditions))
          .forEach(key -> byZone.putIfAbsent(key.availabilityZone(), List.of()));
      byZone.forEach(
          (zone, servers) -> {
            CellKey key = new CellKey(conditions, zone);
            if (seen.add(key)) {
              cells.add(createCell(key, regions.getOrDefault(zone, ""), region, servers));
            }
          });
    }
    return new ResolvedSelector(selector, cells);
  }

  /** Returns the selector. */
  public Selector selector() {
    return selector;
  }

  /** Returns the cells. All arrays of shares and conditions are in this order. */
  public List<Cell> cells() {
    return cells;
  }

  /** Returns the desired shares of the cells at a wall time, in the order of the cells. */
  public double[] desiredShares(long wallMilliseconds) {
    return distribute(ShiftSchedule.sharesAt(selector, wallMilliseconds));
  }

  /** Returns the desired shares of the cells at the end of the shift, in the order of the cells. */
  public double[] targetShares() {
    return distribute(ShiftSchedule.targetShares(selector));
  }

  private double[] distribute(List<DestinationShare> shares) {
    double[] weights = new double[cells.size()];
    for (DestinationShare destinationShare : shares) {
      distribute(destinationShare, weights);
    }
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    for (int index = 0; total > 0 && index < weights.length; index++) {
      weights[index] /= total;
    }
    return weights;
  }

  private void distribute(DestinationShare destinationShare, double[] weights) {
    int localSlots = totalSlots(destinationShare.conditions(), true);
    boolean local = localSlots > 0;
    int slots = local ? localSlots : totalSlots(destinationShare.conditions(), false);
    for (int index = 0; slots > 0 && index < weights.length; index++) {
      Cell cell = cells.get(index);
      if (cell.local() == local && cell.key().conditions().equals(destinationShare.conditions())) {
        weights[index] += destinationShare.share() * cell.slots() / slots;
      }
    }
  }

  private int totalSlots(List<LabelCondition> conditions, boolean local) {
    return cells.stream()
        .filter(cell -> cell.local() == local && cell.key().conditions().equals(conditions))
        .mapToInt(Cell::slots)
        .sum();
  }

  private static Set<List<LabelCondition>> conditionGroups(
      Selector selector, Collection<CellKey> retainedCells) {
    Set<List<LabelCondition>> groups = new LinkedHashSet<>();
    selector.destinations().forEach(destination -> groups.add(destination.conditions()));
    selector.shift().map(Shift::from).orElse(List.of()).stream()
        .filter(destinationShare -> destinationShare.share() > 0)
        .forEach(destinationShare -> groups.add(destinationShare.conditions()));
    retainedCells.forEach(key -> groups.add(key.conditions()));
    return groups;
  }

  private static Map<String, List<BackendServer>> eligibleServersByZone(
      Selector selector, List<ServerPlace> places, List<LabelCondition> conditions) {
    return places.stream()
        .filter(place -> place.server().service().equals(selector.service()))
        .filter(place -> !place.server().drained())
        .filter(place -> place.matches(conditions))
        .map(ServerPlace::server)
        .collect(
            Collectors.groupingBy(
                BackendServer::availabilityZone, TreeMap::new, Collectors.toList()));
  }

  private static Cell createCell(
      CellKey key, String cellRegion, String ownRegion, List<BackendServer> servers) {
    int slots = servers.stream().mapToInt(BackendServer::slots).sum();
    return new Cell(key, cellRegion, cellRegion.equals(ownRegion), servers, slots);
  }
}
