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
 * A selector worked out for the entry instances of one region: its cells, and the shares that they
 * are to have. Prepared once for each configuration revision. Immutable.
 *
 * <p>The share of a destination goes to its cells in the instance's own region, by slots; only if
 * there are none, to its cells elsewhere.
 */
public final class SelectorPlan {
  private final Selector selector;
  private final List<Cell> cells;

  private SelectorPlan(Selector selector, List<Cell> cells) {
    this.selector = selector;
    this.cells = List.copyOf(cells);
  }

  /**
   * Prepares a selector.
   *
   * @param places all backend servers
   * @param region region of the entry instance
   * @param held cells that have a share at present and must be kept, so that it can move away under
   *     the cap
   */
  public static SelectorPlan prepare(
      Selector selector, List<ServerPlace> places, String region, Collection<CellKey> held) {
    Map<String, String> regions =
        places.stream()
            .collect(
                Collectors.toMap(
                    place -> place.server().availabilityZone(),
                    ServerPlace::regionName,
                    (first, second) -> first));
    List<Cell> cells = new ArrayList<>();
    Set<CellKey> known = new LinkedHashSet<>();
    for (List<LabelCondition> conditions : groups(selector, held)) {
      Map<String, List<BackendServer>> byZone = eligible(selector, places, conditions);
      held.stream()
          .filter(key -> key.conditions().equals(conditions))
          .forEach(key -> byZone.putIfAbsent(key.availabilityZone(), List.of()));
      byZone.forEach(
          (zone, servers) -> {
            CellKey key = new CellKey(conditions, zone);
            if (known.add(key)) {
              cells.add(cell(key, regions.getOrDefault(zone, ""), region, servers));
            }
          });
    }
    return new SelectorPlan(selector, cells);
  }

  /** Returns the selector. */
  public Selector selector() {
    return selector;
  }

  /** Returns the cells; weights are given in their order. */
  public List<Cell> cells() {
    return cells;
  }

  /** Returns the shares that the cells are to have at a wall time, in the order of the cells. */
  public double[] preferred(long wallMilliseconds) {
    return spread(ShiftPath.shares(selector, wallMilliseconds));
  }

  /** Returns the shares that the cells are to have when the shift is complete. */
  public double[] settled() {
    return spread(ShiftPath.target(selector));
  }

  private double[] spread(List<DestinationShare> shares) {
    double[] weights = new double[cells.size()];
    for (DestinationShare part : shares) {
      spread(part, weights);
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

  private void spread(DestinationShare part, double[] weights) {
    int localSlots = slots(part.conditions(), true);
    boolean local = localSlots > 0;
    int slots = local ? localSlots : slots(part.conditions(), false);
    for (int index = 0; slots > 0 && index < weights.length; index++) {
      Cell cell = cells.get(index);
      if (cell.local() == local && cell.key().conditions().equals(part.conditions())) {
        weights[index] += part.share() * cell.slots() / slots;
      }
    }
  }

  private int slots(List<LabelCondition> conditions, boolean local) {
    return cells.stream()
        .filter(cell -> cell.local() == local && cell.key().conditions().equals(conditions))
        .mapToInt(Cell::slots)
        .sum();
  }

  private static Set<List<LabelCondition>> groups(Selector selector, Collection<CellKey> held) {
    Set<List<LabelCondition>> groups = new LinkedHashSet<>();
    selector.destinations().forEach(destination -> groups.add(destination.conditions()));
    selector.shift().map(Shift::from).orElse(List.of()).stream()
        .filter(part -> part.share() > 0)
        .forEach(part -> groups.add(part.conditions()));
    held.forEach(key -> groups.add(key.conditions()));
    return groups;
  }

  private static Map<String, List<BackendServer>> eligible(
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

  private static Cell cell(
      CellKey key, String cellRegion, String ownRegion, List<BackendServer> servers) {
    int slots = servers.stream().mapToInt(BackendServer::slots).sum();
    return new Cell(key, cellRegion, cellRegion.equals(ownRegion), servers, slots);
  }
}
