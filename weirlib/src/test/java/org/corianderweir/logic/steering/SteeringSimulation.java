package org.corianderweir.logic.steering;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;

/**
 * Simulates a fleet with equal traffic at each entry instance under random events: operators change
 * weights, labels and drains, and pause, resume and turn back shifts; zones become unreachable and
 * recover; measurements are missing; clocks are skewed; configurations arrive late; instances
 * freeze.
 */
final class SteeringSimulation {
  private static final int INSTANCE_COUNT = 18;
  private static final int ZONE_COUNT = 6;
  private static final int SERVERS_PER_ZONE = 3;
  private static final int ROUND_COUNT = 2_000;
  private static final int QUIET_ROUND_COUNT = 700;
  private static final long ROUND_MILLISECONDS = 100;
  private static final long WINDOW_ROUNDS = 10;
  private static final long MAXIMUM_CLOCK_SKEW_MILLISECONDS = 2_000;
  private static final int MAXIMUM_PROPAGATION_ROUNDS = 50;
  private static final double CAP_PER_SECOND = 0.05;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  /** How the weights of the instances move. */
  enum Movement {
    /** As {@link SteeringTracker} moves them. */
    RATE_LIMITED,
    /** Fault: changes to the desired weights at once when a hold ends. */
    JUMPS_AFTER_HOLD,
    /** Fault: always has the desired weights. */
    JUMPS_ALWAYS
  }

  private final Random random;
  private final Movement movement;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, CellConditionEvaluator.ServerCondition> servers = new HashMap<>();
  private Configuration configuration;
  private long round;

  /** An entry instance with its own clock and its own view of the configuration. */
  private final class Instance {
    private final long clockSkewMilliseconds =
        random.nextLong(-MAXIMUM_CLOCK_SKEW_MILLISECONDS, MAXIMUM_CLOCK_SKEW_MILLISECONDS);
    private final SteeringTracker tracker;
    private final Deque<PendingConfiguration> pendingConfigurations = new ArrayDeque<>();
    private Configuration activeConfiguration;
    private Map<CellKey, Double> shares = Map.of();
    private boolean held;
    private long frozenUntilRound;

    private Instance(String region) {
      tracker = new SteeringTracker(region, 0);
      activeConfiguration = configuration;
      tracker.applyConfiguration(activeConfiguration, wallMilliseconds());
      step();
    }

    private long wallMilliseconds() {
      return 1_000_000 + round * ROUND_MILLISECONDS + clockSkewMilliseconds;
    }

    private void step() {
      if (round < frozenUntilRound) {
        return;
      }
      while (!pendingConfigurations.isEmpty()
          && pendingConfigurations.peekFirst().round() <= round) {
        activeConfiguration = pendingConfigurations.removeFirst().configuration();
        tracker.applyConfiguration(activeConfiguration, wallMilliseconds());
      }
      long now = round * ROUND_MILLISECONDS * NANOSECONDS_PER_MILLISECOND;
      SteeringTable.Weights weights =
          tracker
              .step(server -> servers.get(server.name()), now, wallMilliseconds())
              .weights()
              .getFirst();
      boolean ready =
          List.of(weights.conditions()).stream().noneMatch(SteeringSimulation::isNotReady);
      boolean jumps =
          movement == Movement.JUMPS_ALWAYS
              || (movement == Movement.JUMPS_AFTER_HOLD && held && ready);
      held = !ready;
      ResolvedSelector resolved = weights.resolvedSelector();
      shares =
          sharesByCell(
              resolved, jumps ? resolved.desiredShares(wallMilliseconds()) : weights.shares());
    }
  }

  private record PendingConfiguration(long round, Configuration configuration) {}

  SteeringSimulation(int seed, Movement movement) {
    random = new Random(seed);
    this.movement = movement;
    List<AvailabilityZone> zones = new ArrayList<>();
    List<BackendServer> backendServers = new ArrayList<>();
    for (int zone = 0; zone < ZONE_COUNT; zone++) {
      String name = "z" + zone;
      zones.add(new AvailabilityZone(name, "r" + zone / 2, List.of()));
      for (int server = 0; server < SERVERS_PER_ZONE; server++) {
        backendServers.add(
            new BackendServer(
                name + "s" + server, "desk", name, "127.0.0.1", 1, 4, 660, false, tier("gold")));
      }
    }
    configuration =
        Configuration.builder()
            .zones(zones)
            .backendServers(backendServers)
            .selectors(List.of(selector()))
            .build();
    backendServers.forEach(server -> servers.put(server.name(), condition(0)));
    for (int index = 0; index < INSTANCE_COUNT; index++) {
      instances.add(new Instance("r" + index % 3));
    }
  }

  /** Runs the simulation; returns the largest excess over the cap of the movement in a window. */
  double largestExcess() {
    Deque<Map<CellKey, Double>> window = new ArrayDeque<>();
    double excess = 0;
    for (int count = 0; count < ROUND_COUNT; count++) {
      round++;
      injectFaults();
      instances.forEach(Instance::step);
      Map<CellKey, Double> fleet = fleetShares();
      window.addLast(fleet);
      if (window.size() > WINDOW_ROUNDS) {
        double seconds = WINDOW_ROUNDS * ROUND_MILLISECONDS / 1_000.0;
        double allowed = CAP_PER_SECOND * (seconds + WeightTransition.MAXIMUM_STEP_SECONDS);
        excess = Math.max(excess, distance(window.removeFirst(), fleet) - allowed);
      }
    }
    return excess;
  }

  /**
   * Continues without faults or changes; returns the largest distance of an instance's shares from
   * the desired ones at the end.
   */
  double distanceAfterQuietRounds() {
    servers.replaceAll((name, condition) -> condition(0));
    if (configuration.selectors().getFirst().shift().filter(shift -> shift.paused()).isPresent()) {
      change(selector -> ShiftPlanner.resume(selector, operatorWallMilliseconds()));
    }
    for (int count = 0; count < QUIET_ROUND_COUNT; count++) {
      round++;
      instances.forEach(Instance::step);
    }
    double distance = 0;
    for (Instance instance : instances) {
      ResolvedSelector resolved =
          ResolvedSelector.resolve(
              configuration.selectors().getFirst(),
              ServerPlace.of(configuration),
              "r" + instances.indexOf(instance) % 3,
              List.of());
      Map<CellKey, Double> desired =
          sharesByCell(resolved, resolved.desiredShares(instance.wallMilliseconds()));
      distance = Math.max(distance, distance(instance.shares, desired));
    }
    return distance;
  }

  private void injectFaults() {
    if (random.nextInt(40) == 0) {
      applyOperatorChange();
    }
    if (random.nextInt(20) == 0) {
      String zone = "z" + random.nextInt(ZONE_COUNT);
      int kind = random.nextInt(8);
      servers.replaceAll((name, old) -> name.startsWith(zone) ? condition(kind) : old);
    }
    if (random.nextInt(50) == 0) {
      instances.get(random.nextInt(INSTANCE_COUNT)).frozenUntilRound = round + random.nextInt(60);
    }
  }

  private void applyOperatorChange() {
    long now = operatorWallMilliseconds();
    switch (random.nextInt(6)) {
      case 0, 1 -> change(selector -> ShiftPlanner.planShift(selector, selector(), now));
      case 2 -> change(selector -> ShiftPlanner.pause(selector, now));
      case 3 -> change(selector -> ShiftPlanner.resume(selector, now));
      case 4 -> change(selector -> ShiftPlanner.turnBack(selector, now));
      default -> changeLabelsOrDrain();
    }
  }

  private long operatorWallMilliseconds() {
    return instances.get(random.nextInt(INSTANCE_COUNT)).wallMilliseconds();
  }

  private void change(java.util.function.UnaryOperator<Selector> change) {
    try {
      Selector changed = change.apply(configuration.selectors().getFirst());
      publish(configuration.toBuilder().selectors(List.of(changed)).build());
    } catch (WeirException noShiftInProgress) {
      // The operator gets an error and nothing changes.
    }
  }

  private void changeLabelsOrDrain() {
    String chosen = "z" + random.nextInt(ZONE_COUNT) + "s" + random.nextInt(SERVERS_PER_ZONE);
    String tier = random.nextBoolean() ? "gold" : "iron";
    boolean drained = random.nextInt(3) == 0;
    List<BackendServer> changed =
        configuration.backendServers().stream()
            .map(
                old ->
                    old.name().equals(chosen)
                        ? new BackendServer(
                            chosen,
                            "desk",
                            old.availabilityZone(),
                            "127.0.0.1",
                            1,
                            4,
                            660,
                            drained,
                            tier(tier))
                        : old)
            .toList();
    publish(configuration.toBuilder().backendServers(changed).build());
  }

  private void publish(Configuration changed) {
    configuration = changed;
    for (Instance instance : instances) {
      PendingConfiguration last = instance.pendingConfigurations.peekLast();
      long earliest = last == null ? round : last.round();
      instance.pendingConfigurations.addLast(
          new PendingConfiguration(earliest + random.nextInt(MAXIMUM_PROPAGATION_ROUNDS), changed));
    }
  }

  private Selector selector() {
    List<Destination> destinations = new ArrayList<>();
    for (int count = 0; count <= random.nextInt(3); count++) {
      boolean byZone = random.nextBoolean();
      LabelCondition condition =
          byZone
              ? new LabelCondition(
                  LabelScope.ZONE,
                  Optional.empty(),
                  true,
                  List.of("z" + random.nextInt(ZONE_COUNT)))
              : new LabelCondition(
                  LabelScope.SERVER,
                  Optional.of("tier"),
                  false,
                  List.of(random.nextBoolean() ? "gold" : "iron"));
      destinations.add(new Destination(List.of(condition), 1 + random.nextInt(9)));
    }
    destinations.add(new Destination(List.of(), 1));
    return Selector.builder("trade", "/", "desk")
        .capPerSecond(CAP_PER_SECOND)
        .destinations(destinations)
        .build();
  }

  private static List<Label> tier(String value) {
    return List.of(new Label("tier", value));
  }

  /**
   * Returns the condition of a server: unreachable for kind 5, without load measurements for kind
   * 6, overloaded for kind 7, and healthy with headroom for all others.
   */
  private static CellConditionEvaluator.ServerCondition condition(int kind) {
    return switch (kind) {
      case 5 -> new CellConditionEvaluator.ServerCondition(false, false, false, 0);
      case 6 -> new CellConditionEvaluator.ServerCondition(true, true, false, 0);
      case 7 -> new CellConditionEvaluator.ServerCondition(true, true, true, 0.95);
      default -> new CellConditionEvaluator.ServerCondition(true, true, true, 0.5);
    };
  }

  private static boolean isNotReady(CellCondition condition) {
    return condition != CellCondition.READY;
  }

  private Map<CellKey, Double> fleetShares() {
    Map<CellKey, Double> fleet = new HashMap<>();
    instances.forEach(
        instance ->
            instance.shares.forEach(
                (cell, share) -> fleet.merge(cell, share / INSTANCE_COUNT, Double::sum)));
    return fleet;
  }

  private static Map<CellKey, Double> sharesByCell(ResolvedSelector resolved, double[] shares) {
    Map<CellKey, Double> byCell = new HashMap<>();
    for (int index = 0; index < shares.length; index++) {
      byCell.merge(resolved.cells().get(index).key(), shares[index], Double::sum);
    }
    return byCell;
  }

  private static double distance(Map<CellKey, Double> left, Map<CellKey, Double> right) {
    Map<CellKey, Double> differences = new HashMap<>(left);
    right.forEach((cell, share) -> differences.merge(cell, -share, Double::sum));
    return differences.values().stream().mapToDouble(Math::abs).sum() / 2;
  }
}
