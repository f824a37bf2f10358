package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.corianderweir.model.traffic.FleetMember;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link MemberWeights}. */
public class MemberWeightsTest {
  private static final FleetMember SELF = member("self", 1);

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      // capacities of small and large instances, their numbers, and the names of each
      {0.42, 0.42, 18, 0, 1, 1},
      {0.21, 1.5, 32, 4, 1, 7},
      {0.3, 1.5, 20, 4, 1, 5},
      {0.21, 1.5, 50, 4, 1, 3}
    };
  }

  /** Small instances got as many requests as machines with seven times their processor. */
  @Test(dataProvider = "fleets")
  public void instancesAreNamedByTheirCapacity(
      double small, double large, int smallCount, int largeCount, int smallNames, int largeNames) {
    List<FleetMember> members = new ArrayList<>();
    IntStream.range(0, smallCount).forEach(n -> members.add(member("small-" + n, small)));
    IntStream.range(0, largeCount).forEach(n -> members.add(member("large-" + n, large)));
    List<FleetMember> names = MemberWeights.weigh(members, SELF);
    assertTrue(names.size() <= MemberWeights.LIMIT, names.toString());
    for (FleetMember member : members) {
      long expected = member.name().startsWith("small") ? smallNames : largeNames;
      assertEquals(names.stream().filter(member::equals).count(), expected, member.name());
    }
  }

  /** Instances behind the 64th of a region were named by nobody and got no callers. */
  @Test
  public void instancesOfALargeRegionAreNamedByDifferentInstances() {
    List<FleetMember> members =
        IntStream.range(0, 100).mapToObj(n -> member("member-" + n, 0.21)).toList();
    Set<String> named = new HashSet<>();
    for (FleetMember answering : members) {
      List<FleetMember> names = MemberWeights.weigh(members, answering);
      assertEquals(names.size(), MemberWeights.LIMIT);
      named.addAll(names.stream().map(FleetMember::name).collect(Collectors.toSet()));
    }
    assertEquals(named.size(), 100);
  }

  private static FleetMember member(String name, double capacity) {
    return new FleetMember(name, "10.0.0.1", 80, 81, "north-a", "north", 1, capacity, 0);
  }
}
