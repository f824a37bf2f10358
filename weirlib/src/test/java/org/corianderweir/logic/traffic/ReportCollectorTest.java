package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.corianderweir.model.traffic.FleetMember;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ReportCollector}. */
public class ReportCollectorTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

  private ReportCollector collector;

  @BeforeMethod
  public void createCollector() {
    collector = new ReportCollector();
  }

  /** An instance would get its own reports back, or the same ones again and again. */
  @Test
  public void eachInstanceGetsWhatTheOthersHeardOnce() {
    collector.merge("a", List.of(report("s1", 1, 100, 0)), NOW);
    collector.merge("b", List.of(report("s2", 1, 250, 30)), NOW);
    long later = NOW + 100 * MILLISECOND;
    assertEquals(collector.takeFor("a", later), List.of(report("s2", 1, 250, 130)));
    assertEquals(collector.takeFor("a", later), List.of());
    assertEquals(
        collector.takeFor("c", later),
        List.of(report("s2", 1, 250, 130), report("s1", 1, 100, 100)));
    assertEquals(collector.takeFor("b", later), List.of(report("s1", 1, 100, 100)));
  }

  /** A message that took longer would replace a newer report by an older one. */
  @Test
  public void olderReportDoesNotReplaceNewerOne() {
    collector.merge("a", List.of(report("s1", 1, 100, 20)), NOW);
    collector.merge("b", List.of(report("s1", 1, 250, 400)), NOW);
    assertEquals(collector.takeFor("c", NOW), List.of(report("s1", 1, 100, 20)));
    collector.merge("b", List.of(report("s1", 1, 300, 0)), NOW);
    assertEquals(collector.takeFor("c", NOW), List.of(report("s1", 1, 300, 0)));
  }

  /** What a server reported before it started anew would count for its next start. */
  @Test
  public void startsOfOneServerAreKeptApart() {
    collector.merge("a", List.of(report("s1", 1, 250, 0)), NOW);
    collector.merge("b", List.of(report("s1", 2, 100, 10)), NOW);
    assertEquals(
        collector.takeFor("c", NOW), List.of(report("s1", 2, 100, 10), report("s1", 1, 250, 0)));
  }

  @Test
  public void expiredReportsAreNeitherSentNorKept() {
    collector.merge("a", List.of(report("s1", 1, 100, 600)), NOW);
    long later = NOW + 400 * MILLISECOND;
    assertEquals(collector.takeFor("b", later), List.of());
    collector.merge("b", List.of(), later);
    assertEquals(collector.size(), 0);
  }

  @Test
  public void answerIsBoundedAndHasTheLatestReports() {
    for (int number = 0; number < 100; number++) {
      collector.merge("a", List.of(report("s" + number, 1, 100, 0)), NOW);
    }
    List<SharedServerReport> reports = collector.takeFor("b", NOW);
    assertEquals(reports.size(), SharedServerReport.MESSAGE_LIMIT);
    assertEquals(reports.getFirst().server(), "s99");
    assertEquals(collector.takeFor("b", NOW), List.of());
  }

  @DataProvider
  public Object[][] zoneSizes() {
    return new Object[][] {{1, 1}, {18, 1}, {24, 1}, {25, 2}, {68, 3}, {700, 30}};
  }

  /** Instances with different collectors would not hear of each other. */
  @Test(dataProvider = "zoneSizes")
  public void allInstancesOfGroupChooseTheSameCollector(int size, int collectorCount) {
    List<FleetMember> members = new ArrayList<>();
    for (int number = 0; number < size; number++) {
      members.add(TrafficFixture.member("entry-" + number, "north-a", "north"));
      members.add(TrafficFixture.member("other-" + number, "north-b", "north"));
    }
    List<FleetMember> zone =
        members.stream().filter(member -> member.zone().equals("north-a")).toList();
    Map<FleetMember, Integer> groupSizes = new HashMap<>();
    for (FleetMember member : zone) {
      Collections.shuffle(members, new Random(groupSizes.size()));
      groupSizes.merge(ReportCollector.choose(members, member).orElseThrow(), 1, Integer::sum);
    }
    assertEquals(groupSizes.size(), collectorCount);
    assertTrue(zone.containsAll(groupSizes.keySet()), "no message crosses zones");
    assertTrue(Collections.max(groupSizes.values()) <= 24, "" + groupSizes);
    groupSizes
        .keySet()
        .forEach(
            collecting ->
                assertEquals(
                    ReportCollector.choose(members, collecting).orElseThrow(), collecting));
  }

  /** When the collector is gone, another one is chosen; one that is not registered yet has one. */
  @Test
  public void collectorIsOneOfThePresentMembers() {
    List<FleetMember> members = new ArrayList<>();
    for (int number = 0; number < 40; number++) {
      members.add(TrafficFixture.member("entry-" + number, "north-a", "north"));
    }
    FleetMember self = members.getFirst();
    while (members.size() > 1) {
      FleetMember collecting = ReportCollector.choose(members, self).orElseThrow();
      assertTrue(members.remove(collecting), "" + collecting);
    }
    assertEquals(ReportCollector.choose(List.of(), self), Optional.empty());
    FleetMember elsewhere = TrafficFixture.member("entry-0", "south-a", "south");
    assertEquals(ReportCollector.choose(members, elsewhere), Optional.empty());
  }

  private static SharedServerReport report(String server, long start, int speed, int age) {
    ServerLoad load =
        ServerLoad.of(
            OptionalLong.of(1), OptionalLong.of(0), OptionalLong.of(3), OptionalLong.of(speed));
    return new SharedServerReport(server, start, load, age);
  }
}
