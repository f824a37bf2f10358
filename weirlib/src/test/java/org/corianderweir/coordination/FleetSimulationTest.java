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
import org.corianderweir.protocol.MembershipMessage.AgedWord;
import org.corianderweir.protocol.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Proofs over generated histories of whole fleets; each history is named by its seed. */
public class FleetSimulationTest {
  private static final long FIRST_SEED = 4_000;
  private static final int HISTORIES = Integer.getInteger("fleet.histories", 24);
  private static final int STEPS = 40;
  private static final Duration HEALED = Duration.ofSeconds(25);

  /** Seeds of the histories. */
  @DataProvider
  public Object[][] seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + HISTORIES)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  private static FleetSimulation started(long seed, int zones, int instances) {
    FleetSimulation fleet = new FleetSimulation(seed, zones, instances);
    fleet.runFor(Duration.ofSeconds(4));
    fleet.change(any(fleet), false);
    fleet.runFor(Duration.ofSeconds(6));
    return fleet;
  }

  private static SimulatedInstance any(FleetSimulation fleet) {
    List<SimulatedInstance> all = new ArrayList<>(fleet.instances.values());
    return all.get(fleet.random.nextInt(all.size()));
  }

  /** Lets faults come and go, and operators make changes. */
  private static void history(FleetSimulation fleet) {
    for (int step = 0; step < STEPS; step++) {
      fault(fleet);
      if (fleet.random.nextInt(3) == 0) {
        fleet.change(any(fleet), fleet.random.nextInt(6) == 0);
      }
      fleet.runFor(Duration.ofMillis(fleet.random.nextInt(6_000)));
    }
  }

  private static void fault(FleetSimulation fleet) {
    SimulatedInstance instance = any(fleet);
    String zone = instance.address.availabilityZone();
    switch (fleet.random.nextInt(14)) {
      case 0 -> separate(fleet);
      case 1 -> fleet.zones.forEach(other -> fleet.cut(zone, other, !other.equals(zone)));
      case 2 -> fleet.cutStore(zone, true);
      case 3 -> fleet.zones.forEach(each -> fleet.cutStore(each, true));
      case 4 -> fleet.kill(instance);
      case 5 -> fleet.start(instance);
      case 6 ->
          instance.pausedUntil = fleet.now + fleet.random.nextInt(20) * FleetSimulation.SECOND;
      case 7 -> fleet.lossProbability = fleet.random.nextDouble() * 0.5;
      case 8 -> fleet.lateProbability = fleet.random.nextDouble() * 0.5;
      case 9 -> fleet.zones.forEach(each -> fleet.cutStore(each, false));
      case 10 -> leaveStoreTo(fleet, zone);
      default -> fleet.healAll();
    }
  }

  /** The hardest case for the rule that nothing can have been accepted. */
  private static void leaveStoreTo(FleetSimulation fleet, String only) {
    fleet.zones.forEach(zone -> fleet.cutStore(zone, true));
    fleet.runFor(Duration.ofSeconds(8));
    isolate(fleet, only);
    fleet.cutStore(only, false);
    fleet.runFor(Duration.ofSeconds(1));
    fleet.instances.values().stream()
        .filter(instance -> instance.address.availabilityZone().equals(only))
        .forEach(instance -> fleet.change(instance, false));
    fleet.runFor(Duration.ofSeconds(16));
  }

  private static void isolate(FleetSimulation fleet, String zone) {
    for (String other : fleet.zones) {
      fleet.cut(zone, other, !other.equals(zone));
      fleet.cut(other, zone, !other.equals(zone));
    }
  }

  private static void separate(FleetSimulation fleet) {
    List<String> shuffled = new ArrayList<>(fleet.zones);
    Collections.shuffle(shuffled, fleet.random);
    Set<String> left = Set.copyOf(shuffled.subList(0, shuffled.size() / 2));
    for (String from : fleet.zones) {
      for (String to : fleet.zones) {
        fleet.cut(from, to, left.contains(from) != left.contains(to));
      }
    }
  }

  private static Set<Long> revisions(FleetSimulation fleet) {
    return fleet.instances.values().stream()
        .map(instance -> instance.node.revision())
        .collect(Collectors.toSet());
  }

  private static void heal(FleetSimulation fleet) {
    fleet.healAll();
    fleet.instances.values().stream().filter(instance -> !instance.alive).forEach(fleet::start);
    fleet.runFor(HEALED);
  }

  @Test(dataProvider = "seeds")
  public void neverRevertsAndStopsWithdrawnKeysInTime(long seed) {
    FleetSimulation fleet = started(seed, 4, 3);
    history(fleet);
    assertEquals(fleet.violations, List.of(), "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void acceptedIsInForceEverywhereAfterTheFaults(long seed) {
    FleetSimulation fleet = started(seed, 4, 3);
    history(fleet);
    heal(fleet);
    assertEquals(revisions(fleet), Set.of(fleet.storeRevision()), "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void neverRevertsWithALaggingStore(long seed) {
    FleetSimulation fleet = started(seed, 3, 2);
    for (int step = 0; step < STEPS; step++) {
      fleet.storeLags = fleet.random.nextBoolean();
      fleet.change(any(fleet), false);
      fleet.runFor(Duration.ofMillis(fleet.random.nextInt(2_000)));
    }
    assertEquals(
        fleet.violations.stream().filter(text -> text.contains("went back")).toList(),
        List.of(),
        "seed " + seed);
  }

  /** Deliberate breaks of what arrives; each must be seen in some history. */
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
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      FleetSimulation fleet = new FleetSimulation(seed, 4, 3);
      fleet.onArrival = (receiver, sent) -> damage(broken, sent);
      fleet.runFor(Duration.ofSeconds(4));
      fleet.change(any(fleet), false);
      fleet.runFor(Duration.ofSeconds(6));
      history(fleet);
      caught += fleet.violations.stream().anyMatch(text -> text.contains(expected)) ? 1 : 0;
    }
    assertNotEquals(caught, 0L, broken);
  }

  private static PeerMessage damage(String broken, PeerMessage sent) {
    return switch (sent) {
      case MembershipMessage.Heartbeat beat when broken.startsWith("ages") ->
          new MembershipMessage.Heartbeat(
              beat.sequence(),
              beat.echo(),
              beat.state(),
              beat.revision(),
              fresh(beat.fromStore()),
              fresh(beat.confirmed()),
              beat.timestamp());
      case MembershipMessage.ZoneAnswer answer when broken.startsWith("words") ->
          new MembershipMessage.ZoneAnswer(
              answer.echo(),
              answer.revision(),
              answer.fromStore(),
              answer.words().stream().map(FleetSimulationTest::fresh).toList(),
              answer.sample());
      case MembershipMessage.ZoneAnswer answer when broken.startsWith("higher") ->
          new MembershipMessage.ZoneAnswer(
              answer.echo(),
              0,
              AgedRevision.NONE,
              answer.words().stream().map(FleetSimulationTest::hidden).toList(),
              answer.sample());
      case ConfigurationMessage.Notice notice when broken.startsWith("higher") ->
          new ConfigurationMessage.Notice(0);
      default -> sent;
    };
  }

  private static AgedRevision fresh(AgedRevision revision) {
    return revision.equals(AgedRevision.NONE) ? revision : new AgedRevision(revision.revision(), 0);
  }

  private static AgedWord fresh(AgedWord word) {
    return new AgedWord(
        word.zone(), word.lowestRevision(), word.highestRevision(), word.storeContact(), 0);
  }

  private static AgedWord hidden(AgedWord word) {
    return new AgedWord(word.zone(), 0, 0, false, word.ageMilliseconds());
  }

  /** A break of the spread itself: nobody answers who is asked for a document. */
  @Test
  public void theCheckOfTheSpreadSeesABreak() {
    FleetSimulation fleet = started(FIRST_SEED, 4, 3);
    fleet.onArrival =
        (receiver, sent) ->
            sent instanceof ConfigurationMessage.Offer ? new ConfigurationMessage.Notice(0) : sent;
    fleet.change(any(fleet), false);
    fleet.zones.subList(1, 4).forEach(zone -> fleet.cutStore(zone, true));
    fleet.runFor(HEALED);
    assertNotEquals(revisions(fleet), Set.of(fleet.storeRevision()));
  }

  private static long allowing(FleetSimulation fleet, String zone) {
    return fleet.instances.values().stream()
        .filter(instance -> instance.address.availabilityZone().equals(zone))
        .filter(instance -> fleet.view(instance).allows("", fleet.now))
        .count();
  }

  private static List<Long> allowing(FleetSimulation fleet) {
    return fleet.zones.stream().map(zone -> allowing(fleet, zone)).toList();
  }

  @Test(dataProvider = "seeds")
  public void keysGoOnWhileTheStoreIsDownForEveryone(long seed) {
    FleetSimulation fleet = started(seed, 6, 3);
    fleet.zones.forEach(zone -> fleet.cutStore(zone, true));
    List<List<Long>> seen = new ArrayList<>();
    for (int second = 0; second < 60; second++) {
      fleet.runFor(Duration.ofSeconds(1));
      seen.add(allowing(fleet));
    }
    assertEquals(Set.copyOf(seen), Set.of(Collections.nCopies(6, 3L)), "seed " + seed + " " + seen);
  }

  @Test(dataProvider = "seeds")
  public void keysStopInAZoneThatIsCutOffAndGoOnAfterwards(long seed) {
    FleetSimulation fleet = started(seed, 4, 3);
    fleet.cutStore("zone-0", true);
    isolate(fleet, "zone-0");
    fleet.runFor(Duration.ofSeconds(14));
    List<Long> during = allowing(fleet);
    fleet.healAll();
    fleet.runFor(Duration.ofSeconds(5));
    assertEquals(
        List.of(during, allowing(fleet)),
        List.of(List.of(0L, 3L, 3L, 3L), List.of(3L, 3L, 3L, 3L)),
        "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void aZoneWithoutTheStoreLearnsFromTheOthers(long seed) {
    FleetSimulation fleet = started(seed, 4, 3);
    fleet.cutStore("zone-0", true);
    fleet.runFor(Duration.ofSeconds(10));
    fleet.change(fleet.instances.get("entry-1-0"), false);
    fleet.runFor(Duration.ofSeconds(20));
    assertEquals(
        List.of(revisions(fleet), allowing(fleet)),
        List.of(Set.of(fleet.storeRevision()), List.of(3L, 3L, 3L, 3L)),
        "seed " + seed);
  }

  @Test(dataProvider = "seeds")
  public void aFreshInstanceTakesTheConfigurationFromItsPeers(long seed) {
    FleetSimulation fleet = started(seed, 3, 3);
    fleet.zones.forEach(zone -> fleet.cutStore(zone, true));
    fleet.runFor(Duration.ofSeconds(10));
    SimulatedInstance fresh = any(fleet);
    fleet.start(fresh);
    fleet.runFor(Duration.ofSeconds(8));
    assertEquals(
        List.of(fresh.node.state(), fresh.node.revision()),
        List.of(InstanceState.SERVING, fleet.storeRevision()),
        "seed " + seed);
  }

  @Test
  public void aPausedInstanceRefusesKeysBeforeItsFirstDecision() {
    FleetSimulation fleet = started(FIRST_SEED, 3, 3);
    SimulatedInstance paused = any(fleet);
    paused.pausedUntil = fleet.now + 20 * FleetSimulation.SECOND;
    fleet.runFor(Duration.ofMillis(19_999));
    boolean atWaking = fleet.view(paused).allows("", fleet.now);
    fleet.runFor(Duration.ofSeconds(4));
    assertEquals(List.of(atWaking, fleet.view(paused).allows("", fleet.now)), List.of(false, true));
  }

  /** Zones, instances in each, and the store calls per second that two relays a zone make. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{3, 2}, {3, 6}, {6, 3}, {6, 12}};
  }

  @Test(dataProvider = "sizes")
  public void storeCallsGrowWithZonesOnly(int zones, int instances) {
    FleetSimulation fleet = started(FIRST_SEED, zones, instances);
    fleet.runFor(Duration.ofSeconds(10));
    long before = fleet.storeCalls;
    fleet.runFor(Duration.ofSeconds(100));
    double perZone = (fleet.storeCalls - before) / 100.0 / zones;
    assertEquals(perZone, 2.4, 0.2);
  }
}
