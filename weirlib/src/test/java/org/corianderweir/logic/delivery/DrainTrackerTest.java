package org.corianderweir.logic.delivery;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.testng.annotations.Test;

/** Tests of {@link DrainTracker}. */
public class DrainTrackerTest {
  private static Configuration configuration(boolean drained) {
    BackendServer server =
        new BackendServer("s", "shop", "zone", "127.0.0.1", 1, 4, 660, drained, List.of());
    return Configuration.builder().backendServers(List.of(server)).build();
  }

  @Test
  public void reportsDrainStartAndDuration() {
    DrainTracker tracker = new DrainTracker();
    tracker.update(configuration(false), 1_000);
    List<DrainState> before = tracker.states(server -> 2, 1_500);
    tracker.update(configuration(true), 2_000);
    tracker.update(configuration(true), 3_000);
    List<DrainState> running = tracker.states(server -> 2, 4_000);
    List<DrainState> ended = tracker.states(server -> 0, 5_000);
    List<DrainState> later = tracker.states(server -> 0, 9_000);
    tracker.update(configuration(false), 9_500);
    assertEquals(
        List.of(before, running, ended, later, tracker.states(server -> 0, 9_600)),
        List.of(
            List.of(),
            List.of(new DrainState("s", 2, 2_000, -1)),
            List.of(new DrainState("s", 0, 2_000, 3_000)),
            List.of(new DrainState("s", 0, 2_000, 3_000)),
            List.of()));
  }
}
