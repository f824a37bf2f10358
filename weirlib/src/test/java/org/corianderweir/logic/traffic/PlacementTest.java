package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against candidates that are not the first servers of the whole order. */
public class PlacementTest {
  @DataProvider
  public Object[][] serverCounts() {
    return new Object[][] {{1}, {3}, {4}, {5}, {60}};
  }

  @Test(dataProvider = "serverCounts")
  public void candidatesAreTheFirstOfAllServers(int serverCount) {
    List<ServerState> servers =
        TrafficFixture.servers("north-a", serverCount).stream()
            .map(server -> new ServerState(server, "north", TrafficFixture.NOW))
            .toList();
    Placement placement = new Placement(servers);
    for (long key = 0; key < 200; key++) {
      long keyHash = Hashing.hash("object-" + key);
      List<ServerState> all = placement.allCandidates(keyHash, "north", region -> true);
      assertEquals(
          placement.candidates(keyHash, "north", region -> true),
          all.subList(0, Math.min(4, serverCount)));
    }
  }
}
