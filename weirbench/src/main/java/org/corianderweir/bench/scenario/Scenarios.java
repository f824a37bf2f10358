package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.corianderweir.bench.backend.ServerSwitches;

/** The predefined scenarios, by name. */
public final class Scenarios {
  private static final Duration ACTION_START = Duration.ofSeconds(4);
  private static final Duration LATE_ACTION_START = Duration.ofSeconds(6);
  private static final Duration FAULT_DURATION = Duration.ofSeconds(8);
  private static final Duration FREEZE_DURATION = Duration.ofSeconds(10);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(4);
  private static final Duration SLOW_PLATFORM_DELAY = Duration.ofMillis(700);
  private static final double SLOW_FACTOR = 10;
  private static final double SURGE_FACTOR = 5;
  private static final long TRUNCATION_LIMIT_BYTES = 60;
  private static final int STOPPED_INSTANCE_INDEX = 5;

  private static final Map<String, Scenario> SCENARIOS = createAll();

  private Scenarios() {}

  /** Returns the names of all scenarios in alphabetical order. */
  public static List<String> names() {
    return List.copyOf(SCENARIOS.keySet());
  }

  /** Returns a scenario by name. Names joined by plus signs give a combined scenario. */
  public static Optional<Scenario> find(String name) {
    return Arrays.stream(name.split("\\+"))
        .map(part -> Optional.ofNullable(SCENARIOS.get(part)))
        .reduce(
            (left, right) -> left.flatMap(first -> right.map(second -> first.combinedWith(second))))
        .flatMap(found -> found);
  }

  private static Map<String, Scenario> createAll() {
    Map<String, Scenario> scenarios = new TreeMap<>();
    register(scenarios, new Scenario("steady", 0, false, List.of()));
    register(scenarios, new Scenario("skewed", 0, true, List.of()));
    register(scenarios, new Scenario("surge", SURGE_FACTOR, false, List.of()));
    register(scenarios, scenarioAt(ACTION_START, "key-withdrawn", new Action.WithdrawKey(0)));
    register(
        scenarios,
        scenarioAt(ACTION_START, "platform-outage", new Action.PlatformOutage(FAULT_DURATION)));
    register(
        scenarios,
        scenarioAt(
            ACTION_START,
            "platform-slow",
            new Action.PlatformSlow(SLOW_PLATFORM_DELAY, FAULT_DURATION)));
    register(
        scenarios,
        new Scenario(
            "platform-answer-lost",
            0,
            false,
            List.of(
                timedAction(ACTION_START, new Action.BlockPlatformResponses(Duration.ofSeconds(3))),
                timedAction(ACTION_START.plusMillis(200), new Action.IncrementRevision(0)))));
    register(
        scenarios,
        scenarioAt(
            ACTION_START, "zone-cut", new Action.PartitionZone(1, true, true, FAULT_DURATION)));
    register(
        scenarios,
        scenarioAt(
            ACTION_START,
            "zone-cut-from-platform",
            new Action.PartitionZone(1, false, true, FAULT_DURATION)));
    register(
        scenarios,
        scenarioAt(ACTION_START, "one-way-loss", new Action.BlockOneWay(0, 1, FAULT_DURATION)));
    register(
        scenarios,
        scenarioAt(ACTION_START, "instance-killed", new Action.KillInstance(0, RESTART_DELAY)));
    register(
        scenarios,
        scenarioAt(ACTION_START, "instance-frozen", new Action.FreezeInstance(0, FREEZE_DURATION)));
    register(scenarios, scenarioAt(ACTION_START, "servers-killed", new Action.KillServers(0)));
    register(
        scenarios,
        scenarioAt(ACTION_START, "servers-frozen", new Action.FreezeServers(0, FREEZE_DURATION)));
    putServerFaults(scenarios);
    register(scenarios, scenarioAt(ACTION_START, "shift", new Action.ShiftRoute(0)));
    register(scenarios, scenarioAt(ACTION_START, "drain", new Action.DrainServer(0)));
    register(
        scenarios,
        scenarioAt(
            LATE_ACTION_START, "planned-stop", new Action.StopInstance(STOPPED_INSTANCE_INDEX)));
    register(scenarios, scenarioAt(ACTION_START, "operators-race", new Action.RaceOperators(4)));
    return scenarios;
  }

  private static void putServerFaults(Map<String, Scenario> scenarios) {
    ServerSwitches normal = ServerSwitches.NORMAL;
    register(scenarios, serverScenario("server-slow", normal.withSlowFactor(SLOW_FACTOR)));
    register(
        scenarios,
        serverScenario("server-sheds", normal.withFault(ServerSwitches.Fault.SHEDS_ALL)));
    register(
        scenarios,
        serverScenario("server-fails-fast", normal.withFault(ServerSwitches.Fault.FAILS_FAST)));
    register(scenarios, serverScenario("server-late", normal.withFault(ServerSwitches.Fault.LATE)));
    register(
        scenarios,
        serverScenario("server-oversized", normal.withFault(ServerSwitches.Fault.OVERSIZED)));
    register(
        scenarios,
        serverScenario(
            "server-lies", new ServerSwitches(ServerSwitches.Fault.NONE, 1, false, 0, true)));
    register(
        scenarios,
        scenarioAt(
            ACTION_START,
            "server-truncates",
            new Action.TruncateResponses(0, TRUNCATION_LIMIT_BYTES, FAULT_DURATION)));
  }

  private static Scenario serverScenario(String name, ServerSwitches switches) {
    return scenarioAt(ACTION_START, name, new Action.SwitchServer(0, switches, FAULT_DURATION));
  }

  private static Scenario scenarioAt(Duration time, String name, Action action) {
    return new Scenario(name, 0, false, List.of(timedAction(time, action)));
  }

  private static Scenario.TimedAction timedAction(Duration time, Action action) {
    return new Scenario.TimedAction(time, action);
  }

  private static void register(Map<String, Scenario> scenarios, Scenario scenario) {
    scenarios.put(scenario.name(), scenario);
  }
}
