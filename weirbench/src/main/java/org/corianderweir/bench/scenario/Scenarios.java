package org.corianderweir.bench.scenario;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.corianderweir.bench.backend.ServerSwitches;

/** The scenarios by name. */
public final class Scenarios {
  private static final Duration BEGIN = Duration.ofSeconds(4);
  private static final Duration LATER = Duration.ofSeconds(6);
  private static final Duration FAULT_TIME = Duration.ofSeconds(8);
  private static final Duration FREEZE_TIME = Duration.ofSeconds(10);
  private static final Duration RESTART_TIME = Duration.ofSeconds(4);
  private static final Duration SLOW_PLATFORM_DELAY = Duration.ofMillis(700);
  private static final double SLOW_FACTOR = 10;
  private static final double SURGE_FACTOR = 5;
  private static final long TRUNCATED_BYTES = 60;
  private static final int LAST_INSTANCE_ZONE = 5;

  private static final Map<String, Scenario> SCENARIOS = all();

  private Scenarios() {}

  /** Returns the names of all scenarios in order. */
  public static List<String> names() {
    return List.copyOf(SCENARIOS.keySet());
  }

  /** Returns a scenario; names joined by a plus sign happen together. */
  public static Optional<Scenario> find(String name) {
    return Arrays.stream(name.split("\\+"))
        .map(part -> Optional.ofNullable(SCENARIOS.get(part)))
        .reduce((left, right) -> left.flatMap(first -> right.map(second -> first.and(second))))
        .flatMap(found -> found);
  }

  private static Map<String, Scenario> all() {
    Map<String, Scenario> scenarios = new TreeMap<>();
    put(scenarios, new Scenario("steady", 0, false, List.of()));
    put(scenarios, new Scenario("skewed", 0, true, List.of()));
    put(scenarios, new Scenario("surge", SURGE_FACTOR, false, List.of()));
    put(scenarios, at(BEGIN, "key-withdrawn", new Action.WithdrawKey(0)));
    put(scenarios, at(BEGIN, "platform-outage", new Action.PlatformOutage(FAULT_TIME)));
    put(
        scenarios,
        at(BEGIN, "platform-slow", new Action.PlatformSlow(SLOW_PLATFORM_DELAY, FAULT_TIME)));
    put(
        scenarios,
        new Scenario(
            "platform-answer-lost",
            0,
            false,
            List.of(
                timed(BEGIN, new Action.LosePlatformAnswers(Duration.ofSeconds(3))),
                timed(BEGIN.plusMillis(200), new Action.TouchConfiguration(0)))));
    put(scenarios, at(BEGIN, "zone-cut", new Action.CutZone(1, true, true, FAULT_TIME)));
    put(
        scenarios,
        at(BEGIN, "zone-cut-from-platform", new Action.CutZone(1, false, true, FAULT_TIME)));
    put(scenarios, at(BEGIN, "one-way-loss", new Action.LoseOneWay(0, 1, FAULT_TIME)));
    put(scenarios, at(BEGIN, "instance-killed", new Action.KillInstance(0, RESTART_TIME)));
    put(scenarios, at(BEGIN, "instance-frozen", new Action.FreezeInstance(0, FREEZE_TIME)));
    put(scenarios, at(BEGIN, "servers-killed", new Action.KillServers(0)));
    put(scenarios, at(BEGIN, "servers-frozen", new Action.FreezeServers(0, FREEZE_TIME)));
    putServerFaults(scenarios);
    put(scenarios, at(BEGIN, "shift", new Action.ShiftRoute(0)));
    put(scenarios, at(BEGIN, "drain", new Action.DrainServer(0)));
    put(scenarios, at(LATER, "planned-stop", new Action.StopInstance(LAST_INSTANCE_ZONE)));
    put(scenarios, at(BEGIN, "operators-race", new Action.RaceOperators(4)));
    return scenarios;
  }

  private static void putServerFaults(Map<String, Scenario> scenarios) {
    ServerSwitches normal = ServerSwitches.NORMAL;
    put(scenarios, server("server-slow", normal.withSlowFactor(SLOW_FACTOR)));
    put(scenarios, server("server-sheds", normal.withFault(ServerSwitches.Fault.SHEDS_ALL)));
    put(scenarios, server("server-fails-fast", normal.withFault(ServerSwitches.Fault.FAILS_FAST)));
    put(scenarios, server("server-late", normal.withFault(ServerSwitches.Fault.LATE)));
    put(scenarios, server("server-oversized", normal.withFault(ServerSwitches.Fault.OVERSIZED)));
    put(
        scenarios,
        server("server-lies", new ServerSwitches(ServerSwitches.Fault.NONE, 1, false, 0, true)));
    put(
        scenarios,
        at(BEGIN, "server-truncates", new Action.TruncateAnswers(0, TRUNCATED_BYTES, FAULT_TIME)));
  }

  private static Scenario server(String name, ServerSwitches switches) {
    return at(BEGIN, name, new Action.SwitchServer(0, switches, FAULT_TIME));
  }

  private static Scenario at(Duration time, String name, Action action) {
    return new Scenario(name, 0, false, List.of(timed(time, action)));
  }

  private static Scenario.TimedAction timed(Duration time, Action action) {
    return new Scenario.TimedAction(time, action);
  }

  private static void put(Map<String, Scenario> scenarios, Scenario scenario) {
    scenarios.put(scenario.name(), scenario);
  }
}
