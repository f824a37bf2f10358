package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.corianderweir.model.traffic.ServerRegistration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the part of the objects that is placed in the own region. */
public class LocalPlacementShareTest {
  private static final long SEED = 3L;
  private static final long INTERVAL = Duration.ofMillis(250).toNanos();
  private static final int INTERVALS_PER_SECOND = 4;

  /** A tenth of the servers and a third of the callers, of three regions. */
  private static final double SHARE_BY_SLOTS = 0.3;

  /** Largest part of a region's requests that may run in another region than two seconds before. */
  private static final double LARGEST_CHANGE = 0.15;

  /**
   * Mean demand on the region's slots if all objects are placed there, and the swing of a wave of
   * 36 seconds.
   */
  @DataProvider
  public Object[][] demands() {
    return new Object[][] {{0.4, 0.0}, {0.9, 0.0}, {0.9, 0.55}, {1.5, 0.55}, {4.0, 0.55}};
  }

  /**
   * A region with few servers sent most of its requests to other regions while its own servers had
   * room.
   */
  @Test(dataProvider = "demands")
  public void shareFollowsTheRoomInAWave(double demand, double swing) {
    LocalPlacementShare share = new LocalPlacementShare(0);
    List<Double> shares = new ArrayList<>();
    double busy = 0;
    double possible = 0;
    int seconds = 180;
    for (int interval = 1; interval <= seconds * INTERVALS_PER_SECOND; interval++) {
      double time = (double) interval / INTERVALS_PER_SECOND;
      double present = demand * (1 + swing * Math.sin(2 * Math.PI * time / 36));
      double placed = Math.min(1, SHARE_BY_SLOTS + share.additional());
      double load = present * placed;
      share.update(requestsPerSlot(load), interval * INTERVAL);
      shares.add(Math.min(1, SHARE_BY_SLOTS + share.additional()));
      if (time > seconds / 2) {
        busy += Math.min(1, load);
        possible += Math.min(0.6, present);
      }
    }
    double used = busy / possible;
    assertTrue(used > 0.85, "used " + used + " of the room");
    for (int index = 2 * INTERVALS_PER_SECOND; index < shares.size(); index++) {
      double change = Math.abs(shares.get(index) - shares.get(index - 2 * INTERVALS_PER_SECOND));
      assertTrue(change < LARGEST_CHANGE, "changed by " + change);
    }
  }

  /** Instances with different shares keep few objects warm in two regions. */
  @Test
  public void instancesWithDifferentReportsAgree() {
    Random random = new Random(SEED);
    List<LocalPlacementShare> instances = new ArrayList<>();
    for (int number = 0; number < 35; number++) {
      instances.add(new LocalPlacementShare(0));
    }
    for (int interval = 1; interval <= 60 * INTERVALS_PER_SECOND; interval++) {
      double mean =
          instances.stream().mapToDouble(LocalPlacementShare::additional).average().orElseThrow();
      for (LocalPlacementShare share : instances) {
        double load = requestsPerSlot(0.9 * (SHARE_BY_SLOTS + mean));
        share.update(load * (0.8 + 0.4 * random.nextDouble()), interval * INTERVAL);
      }
    }
    double least =
        instances.stream().mapToDouble(LocalPlacementShare::additional).min().orElseThrow();
    double most =
        instances.stream().mapToDouble(LocalPlacementShare::additional).max().orElseThrow();
    assertTrue(most - least < 0.15, "from " + least + " to " + most);
  }

  /** An object that is placed locally must not lose its warm server as the share grows. */
  @Test
  public void growingShareMovesObjectsOnlyToTheOwnRegion() {
    Placement placement = new Placement(servers());
    for (int object = 0; object < 1_000; object++) {
      long hash = Hashing.hash("object-" + object);
      String before = "";
      for (double additional = 0; additional <= 0.8; additional += 0.1) {
        String server =
            placement
                .candidates(hash, "south", additional, unused -> true)
                .get(0)
                .registration()
                .identifier();
        assertTrue(
            before.isEmpty() || before.equals(server) || server.startsWith("south"),
            before + " then " + server);
        before = server;
      }
    }
  }

  /** All objects are placed locally once the share covers them. */
  @Test
  public void fullShareStaysInTheRegion() {
    Placement placement = new Placement(servers());
    long local = 0;
    for (int object = 0; object < 1_000; object++) {
      long hash = Hashing.hash("object-" + object);
      ServerState first = placement.candidates(hash, "south", 1, unused -> true).get(0);
      local += first.region().equals("south") ? 1 : 0;
    }
    assertEquals(local, 1_000);
  }

  private static List<ServerState> servers() {
    List<ServerState> servers = new ArrayList<>();
    addServers(servers, "north", 9);
    addServers(servers, "south", 2);
    addServers(servers, "west", 9);
    return servers;
  }

  private static void addServers(List<ServerState> servers, String region, int count) {
    for (ServerRegistration registration : TrafficFixture.servers(region + "-a", count)) {
      servers.add(new ServerState(registration, region, 0));
    }
  }

  /** Requests per slot of a server with three slots (Erlang C) whose queue has a limit. */
  private static double requestsPerSlot(double utilization) {
    if (utilization >= 1) {
      return 4;
    }
    double offered = 3 * utilization;
    double queued = Math.pow(offered, 3) / 6 / (1 - utilization);
    double waiting = queued / (1 + offered + offered * offered / 2 + queued);
    return Math.min(4, utilization + waiting * utilization / (1 - utilization) / 3);
  }
}
