package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link DemandCollector}. */
public class DemandCollectorTest {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private DemandCollector collector;

  @BeforeMethod
  public void reportDemand() {
    collector = new DemandCollector();
    collector.reportInstanceDemand("one", Map.of("club", 3.0), 0);
    collector.reportInstanceDemand("two", Map.of("club", 4.0, "guild", 1.0), SECOND);
    collector.reportRegionDemand("kano", 6, Map.of("club", 10.0), SECOND);
  }

  @Test
  public void demandOfInstancesAndRegionsAddsUp() {
    assertEquals(collector.regionDemand(SECOND), Map.of("club", 7.0, "guild", 1.0));
    assertEquals(collector.fleetDemand(SECOND), Map.of("club", 17.0, "guild", 1.0));
    assertEquals(collector.regionInstanceCount(SECOND), 2);
    assertEquals(collector.fleetInstanceCount(SECOND), 8);
  }

  @Test
  public void expiredReportsAreNotCounted() {
    long later = 2 * SECOND + 1;
    assertEquals(collector.regionDemand(later), Map.of("club", 4.0, "guild", 1.0));
    assertEquals(collector.fleetInstanceCount(later), 7);
    assertEquals(collector.fleetInstanceCount(4 * SECOND), 0);
    assertEquals(collector.fleetDemand(4 * SECOND), Map.of());
  }
}
