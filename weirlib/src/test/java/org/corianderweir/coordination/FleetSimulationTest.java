package org.corianderweir.coordination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.corianderweir.coordination.FleetSimulation.SimulatedInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.ConfigurationMessage;
import org.corianderweir.protocol.MembershipMessage;
import org.corianderweir.protocol.MembershipMessage.AgedRevision;
import org.corianderweir.protocol.MembershipMessage.AgedZoneReport;
import org.corianderweir.protocol.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks generated histories of whole fleets; the seed identifies a history. */
public class FleetSimulationTest {
  private static final long FIRST_SEED = 4_000;
  private static final int HISTORY_COUNT = Integer.getInteger("fleet.histories", 24);
  private static final int STEP_COUNT = 40;
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(25);

  /** Seeds of the histories. */
  @DataProvider
  public Object[][] seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + HISTORY_COUNT)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  private static FleetSimulation startFleet(long seed, int zones, int instances) {
    FleetSimulation fleet = new FleetSimulation(seed, zones, instances);
    fleet.runFor(Duration.ofSeconds(4));
    fleet.makeChange(randomInstance(fleet), false);
    fleet.runFor(Duration.ofSeconds(6));
    return fleet;
  }

  private static SimulatedInstance randomInstance(FleetSimulation fleet) {
    List<SimulatedInstance> all = new ArrayList<>(fleet.instances.values());
    return all.get(fleet.random.nextInt(all.size()));
  }

  /** Injects and clears faults while operators make changes. */
  private static void runHistory(FleetSimulation fleet) {
    for (int step = 0; step < STEP_COUNT; step++) {
      injectFault(fleet);
      if (fleet.random.nextInt(3) == 0) {
        fleet.makeChange(randomInstance(fleet), fleet.random.nextInt(6) == 0);
      }
      fleet.runFor(Duration.ofMillis(fleet.random.nextInt(6_000)));
    }
  }

  private static void injectFault(FleetSimulation fleet) {
    SimulatedInstance instance = randomInstance(fleet);
    String zone = instance.entryInstance.availabilityZone();
    switch (fleet.random.nextInt(14)) {
      case 0 -> splitZones(fleet);
      case 1 -> fleet.zones.forEach(other -> fleet.setLinkCut(zone, other, !other.equals(zone)));
      case 2 -> fleet.setStoreCut(zone, true);
      case 3 -> fleet.zones.forEach(each -> fleet.setStoreCut(each, true));
      case 4 -> fleet.kill(instance);
      case 5 -> fleet.start(instance);
      case 6 ->
          instance.pausedUntilNanoseconds =
              fleet.nowNanoseconds + fleet.random.nextInt(20) * FleetSimulation.SECOND_NANOSECONDS;
      case 7 -> fleet.lossProbability = fleet.random.nextDouble() * 0.5;
      case 8 -> fleet.delayProbability = fleet.random.nextDouble() * 0.5;
      case 9 -> fleet.zones.forEach(each -> fleet.setStoreCut(each, false));
      case 10 -> restrictStoreToIsolatedZone(fleet, zone);
      default -> fleet.clearFaults();
    }
  }

  /**
   * Cuts all zones from the store, then gives only one isolated zone access and makes changes
   * there. This is the hardest case for the rule that no change can have been accepted while no
   * zone has contact with the store.
   */
  private static void restrictStoreToIsolatedZone(FleetSimulation fleet, String only) {
    fleet.zones.forEach(zone -> fleet.setStoreCut(zone, true));
    fleet.runFor(Duration.ofSeconds(8));
    isolateZone(fleet, only);
    fleet.setStoreCut(only, false);
    fleet.runFor(Duration.ofSeconds(1));
    fleet.instances.values().stream()
        .filter(instance -> instance.entryInstance.availabilityZone().equals(only))
        .forEach(instance -> fleet.makeChange(instance, false));
    fleet.runFor(Duration.ofSeconds(16));
  }

  private static void isolateZone(FleetSimulation fleet, String zone) {
    for (String other : fleet.zones) {
      fleet.setLinkCut(zone, other, !other.equals(zone));
      fleet.setLinkCut(other, zone, !other.equals(zone));
    }
  }

  private static void splitZones(FleetSimulation fleet) {
    List<String> shuffled = new ArrayList<>(fleet.zones);
    Collections.shuffle(shuffled, fleet.random);
    Set<String> left = Set.copyOf(shuffled.subList(0, shuffled.size() / 2));
    for (String from : fleet.zones) {
      for (String to : fleet.zones) {
        fleet.setLinkCut(from, to, left.contains(from) != left.contains(to));
      }
    }
  }

  private static Set<Long> revisions(FleetSimulation fleet) {
    return fleet.instances.values().stream()
        .map(instance -> instance.node.revision())
        .collect(Collectors.toSet());
  }

  private static void recover(FleetSimulation fleet) {
    fleet.clearFaults();
    fleet.instances.values().stream().filter(instance -> !instance.alive).forEach(fleet::start);
    fleet.runFor(RECOVERY_TIME);
  }

  @Test(dataProvider = "seeds")
  public void neverRevertsAndStopsWithdrawnKeysInTime(long seed) {
    FleetSimulation fleet = startFleet(seed, 4, 3);
    runHistory(fleet);
    assertEquals(fleet.violations, List.of(), "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void acceptedIsInForceEverywhereAfterTheFaults(long seed) {
    FleetSimulation fleet = startFleet(seed, 4, 3);
    runHistory(fleet);
    recover(fleet);
    assertEquals(revisions(fleet), Set.of(fleet.storeRevision()), "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void neverRevertsWithALaggingStore(long seed) {
    FleetSimulation fleet = startFleet(seed, 3, 2);
    for (int step = 0; step < STEP_COUNT; step++) {
      fleet.storeLags = fleet.random.nextBoolean();
      fleet.makeChange(randomInstance(fleet), false);
      fleet.runFor(Duration.ofMillis(fleet.random.nextInt(2_000)));
    }
    assertEquals(
        fleet.violations.stream().filter(text -> text.contains("went back")).toList(),
        List.of(),
        "seed " + seed);
  }

  /**
   * Deliberate corruptions of received messages, each with the violation that it must cause in some
   * history.
   */
  @DataProvider
  public Object[][] breaks() {
    return new Object[][] {
      {"ages count from the arrival", "accepts withdrawn key"},
      {"words count from the arrival", "accepts withdrawn key"},
      {"higher revisions are hidden", "accepts withdrawn key"}
    };
  }

  @Test(dataProvider = "breaks")
  public void theChecksSeeDeliberateBreaks(String broken, String expected) {
    long caught = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORY_COUNT; seed++) {
      FleetSimulation fleet = new FleetSimulation(seed, 4, 3);
      fleet.onArrival = (receiver, sent) -> corrupt(broken, sent);
      fleet.runFor(Duration.ofSeconds(4));
      fleet.makeChange(randomInstance(fleet), false);
      fleet.runFor(Duration.ofSeconds(6));
      runHistory(fleet);
      caught += fleet.violations.stream().anyMatch(text -> text.contains(expected)) ? 1 : 0;
    }
    assertNotEquals(caught, 0L, broken);
  }

  private static PeerMessage corrupt(String broken, PeerMessage sent) {
    return switch (sent) {
      case MembershipMessage.Heartbeat heartbeat when broken.startsWith("ages") ->
          new MembershipMessage.Heartbeat(
              heartbeat.sequence(),
              heartbeat.echoedSequence(),
              heartbeat.state(),
              heartbeat.revision(),
              withZeroAge(heartbeat.storeRevision()),
              withZeroAge(heartbeat.confirmedRevision()),
              heartbeat.timestamp());
      case MembershipMessage.ZoneStateResponse response when broken.startsWith("words") ->
          new MembershipMessage.ZoneStateResponse(
              response.echoedSequence(),
              response.revision(),
              response.storeRevision(),
              response.zoneReports().stream().map(FleetSimulationTest::withZeroAge).toList(),
              response.sample());
      case MembershipMessage.ZoneStateResponse response when broken.startsWith("higher") ->
          new MembershipMessage.ZoneStateResponse(
              response.echoedSequence(),
              0,
              AgedRevision.NONE,
              response.zoneReports().stream().map(FleetSimulationTest::withoutRevisions).toList(),
              response.sample());
      case ConfigurationMessage.RevisionAnnouncement announcement
          when broken.startsWith("higher") ->
          new ConfigurationMessage.RevisionAnnouncement(0);
      default -> sent;
    };
  }

  private static AgedRevision withZeroAge(AgedRevision revision) {
    return revision.equals(AgedRevision.NONE) ? revision : new AgedRevision(revision.revision(), 0);
  }

  private static AgedZoneReport withZeroAge(AgedZoneReport report) {
    return new AgedZoneReport(
        report.zone(),
        report.lowestRevision(),
        report.highestRevision(),
        report.hasStoreContact(),
        0);
  }

  private static AgedZoneReport withoutRevisions(AgedZoneReport report) {
    return new AgedZoneReport(report.zone(), 0, 0, false, report.ageMilliseconds());
  }

  /**
   * Guards against a check that cannot fail: with requests for the index unanswered, the revision
   * must not reach all instances.
   */
  @Test
  public void theCheckOfTheSpreadSeesABreak() {
    FleetSimulation fleet = startFleet(FIRST_SEED, 4, 3);
    fleet.onArrival =
        (receiver, sent) ->
            sent instanceof ConfigurationMessage.IndexResponse
                ? new ConfigurationMessage.RevisionAnnouncement(0)
                : sent;
    fleet.makeChange(randomInstance(fleet), false);
    fleet.zones.subList(1, 4).forEach(zone -> fleet.setStoreCut(zone, true));
    fleet.runFor(RECOVERY_TIME);
    assertNotEquals(revisions(fleet), Set.of(fleet.storeRevision()));
  }

  private static long countAcceptingKeys(FleetSimulation fleet, String zone) {
    return fleet.instances.values().stream()
        .filter(instance -> instance.entryInstance.availabilityZone().equals(zone))
        .filter(
            instance -> fleet.keyFreshnessView(instance).mayAcceptKeys("", fleet.nowNanoseconds))
        .count();
  }

  private static List<Long> countAcceptingKeys(FleetSimulation fleet) {
    return fleet.zones.stream().map(zone -> countAcceptingKeys(fleet, zone)).toList();
  }

  @Test(dataProvider = "seeds")
  public void keysGoOnWhileTheStoreIsDownForEveryone(long seed) {
    FleetSimulation fleet = startFleet(seed, 6, 3);
    fleet.zones.forEach(zone -> fleet.setStoreCut(zone, true));
    List<List<Long>> seen = new ArrayList<>();
    for (int second = 0; second < 60; second++) {
      fleet.runFor(Duration.ofSeconds(1));
      seen.add(countAcceptingKeys(fleet));
    }
    assertEquals(Set.copyOf(seen), Set.of(Collections.nCopies(6, 3L)), "seed " + seed + " " + seen);
  }

  @Test(dataProvider = "seeds")
  public void keysStopInAZoneThatIsCutOffAndGoOnAfterwards(long seed) {
    FleetSimulation fleet = startFleet(seed, 4, 3);
    fleet.setStoreCut("zone-0", true);
    isolateZone(fleet, "zone-0");
    fleet.runFor(Duration.ofSeconds(14));
    List<Long> during = countAcceptingKeys(fleet);
    fleet.clearFaults();
    fleet.runFor(Duration.ofSeconds(5));
    assertEquals(
        List.of(during, countAcceptingKeys(fleet)),
        List.of(List.of(0L, 3L, 3L, 3L), List.of(3L, 3L, 3L, 3L)),
        "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void aZoneWithoutTheStoreLearnsFromTheOthers(long seed) {
    FleetSimulation fleet = startFleet(seed, 4, 3);
    fleet.setStoreCut("zone-0", true);
    fleet.runFor(Duration.ofSeconds(10));
    fleet.makeChange(fleet.instances.get("entry-1-0"), false);
    fleet.runFor(Duration.ofSeconds(20));
    assertEquals(
        List.of(revisions(fleet), countAcceptingKeys(fleet)),
        List.of(Set.of(fleet.storeRevision()), List.of(3L, 3L, 3L, 3L)),
        "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void aFreshInstanceTakesTheConfigurationFromItsPeers(long seed) {
    FleetSimulation fleet = startFleet(seed, 3, 3);
    fleet.zones.forEach(zone -> fleet.setStoreCut(zone, true));
    fleet.runFor(Duration.ofSeconds(10));
    SimulatedInstance fresh = randomInstance(fleet);
    fleet.start(fresh);
    fleet.runFor(Duration.ofSeconds(8));
    assertEquals(
        List.of(fresh.node.state(), fresh.node.revision()),
        List.of(InstanceState.SERVING, fleet.storeRevision()),
        "seed " + seed);
  }

  @Test
  public void aPausedInstanceRefusesKeysBeforeItsFirstDecision() {
    FleetSimulation fleet = startFleet(FIRST_SEED, 3, 3);
    SimulatedInstance paused = randomInstance(fleet);
    paused.pausedUntilNanoseconds = fleet.nowNanoseconds + 20 * FleetSimulation.SECOND_NANOSECONDS;
    fleet.runFor(Duration.ofMillis(19_999));
    boolean atResume = fleet.keyFreshnessView(paused).mayAcceptKeys("", fleet.nowNanoseconds);
    fleet.runFor(Duration.ofSeconds(4));
    assertEquals(
        List.of(atResume, fleet.keyFreshnessView(paused).mayAcceptKeys("", fleet.nowNanoseconds)),
        List.of(false, true));
  }

  /**
   * Numbers of zones and of instances in each zone. The two relays of a zone together make 2.4
   * store calls a second: each reads the head every second and the instance list every 5 s.
   */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{3, 2}, {3, 6}, {6, 3}, {6, 12}};
  }

  @Test(dataProvider = "sizes")
  public void storeCallsGrowWithZonesOnly(int zones, int instances) {
    FleetSimulation fleet = startFleet(FIRST_SEED, zones, instances);
    fleet.runFor(Duration.ofSeconds(10));
    long before = fleet.storeCalls;
    fleet.runFor(Duration.ofSeconds(100));
    double perZone = (fleet.storeCalls - before) / 100.0 / zones;
    assertEquals(perZone, 2.4, 0.2);
  }
}
