package org.corianderweir.coordination;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import org.corianderweir.coordination.FleetSimulation.SimulatedInstance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Measures the network traffic of coordination for each daemon, in bytes of frames sent and
 * received, with the real codec. The largest size runs with {@code -Dfleet.largest=true}.
 */
public class FleetCostTest {
  private static final long SEED = 77;
  private static final int KEY_COUNT = 2_000;
  private static final double MAXIMUM_BYTES_PER_SECOND = 8_000;
  private static final int CHANGE_PERIOD_SECONDS = 39;

  /** Zones and instances in each: 18, 90, 450 and 2,720 daemons. */
  @DataProvider
  public Object[][] sizes() {
    List<Object[]> sizes = new ArrayList<>();
    sizes.add(new Object[] {6, 3});
    sizes.add(new Object[] {10, 9});
    sizes.add(new Object[] {18, 25});
    if (Boolean.getBoolean("fleet.largest")) {
      sizes.add(new Object[] {40, 68});
    }
    return sizes.toArray(Object[][]::new);
  }

  /** One change every 39 s makes 2,215 changes a day. */
  @Test(dataProvider = "sizes")
  public void aDaemonStaysWithinItsBytes(int zones, int instances) {
    FleetSimulation fleet = new FleetSimulation(SEED, zones, instances);
    fleet.keyCount = KEY_COUNT;
    fleet.runFor(Duration.ofSeconds(4));
    fleet.makeChange(fleet.instances.get("entry-0-0"), false);
    fleet.runFor(Duration.ofSeconds(12));
    fleet.instances.values().forEach(FleetCostTest::resetByteCounts);
    long calls = fleet.storeCalls;
    fleet.runFor(Duration.ofSeconds(CHANGE_PERIOD_SECONDS - 5));
    fleet.makeChange(fleet.instances.get("entry-1-0"), false);
    fleet.runFor(Duration.ofSeconds(5));
    LongSummaryStatistics bytes =
        fleet.instances.values().stream()
            .mapToLong(instance -> instance.sentBytes + instance.receivedBytes)
            .summaryStatistics();
    double most = (double) bytes.getMax() / CHANGE_PERIOD_SECONDS;
    System.out.printf(
        "daemons %d: sent and received %.0f B/s on average, %.0f B/s at most;"
            + " store calls %.1f/s (seed %d)%n",
        zones * instances,
        bytes.getAverage() / CHANGE_PERIOD_SECONDS,
        most,
        (double) (fleet.storeCalls - calls) / CHANGE_PERIOD_SECONDS,
        SEED);
    assertEquals(most <= MAXIMUM_BYTES_PER_SECOND, true, "bytes per second: " + most);
  }

  private static void resetByteCounts(SimulatedInstance instance) {
    instance.sentBytes = 0;
    instance.receivedBytes = 0;
  }
}
