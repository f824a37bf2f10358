package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link OwnDemandReports}. */
public class OwnDemandReportsTest {
  private static final long INTERVAL = Duration.ofMillis(250).toNanos();
  private static final Map<String, Double> FLEET = Map.of("club", 40.0);

  private OwnDemandReports reports;

  @BeforeMethod
  public void report() {
    reports = new OwnDemandReports(Duration.ofMillis(250));
    reports.add(Map.of("club", 2.0), 0);
    reports.add(Map.of("club", 6.0), INTERVAL);
    reports.add(Map.of("club", 6.0), 2 * INTERVAL);
  }

  /** The parts of instances exceeded the rate when own demand was newer than that of others. */
  @Test
  public void ownDemandIsAsOldAsThatOfOthers() {
    assertEquals(
        reports.digest(Map.of("club", 6.0), 18, FLEET, 2 * INTERVAL),
        new DemandDigest(Map.of("club", 2.0), 18, FLEET, 0, 2 * INTERVAL));
  }

  /** Answers arrive in the order of the reports, so equal reports are told apart. */
  @Test
  public void equalReportsAreAnsweredInTheirOrder() {
    reports.digest(Map.of("club", 6.0), 18, FLEET, 2 * INTERVAL);
    assertEquals(
        reports.digest(Map.of("club", 6.0), 18, FLEET, 3 * INTERVAL),
        new DemandDigest(Map.of("club", 6.0), 18, FLEET, INTERVAL, 3 * INTERVAL));
  }

  /** A digest that answers no known report counts as old, so that less is admitted in a surge. */
  @Test
  public void anUnknownAnswerIsOld() {
    assertEquals(
        reports.digest(Map.of("club", 9.0), 18, FLEET, 3 * INTERVAL).reportNanoseconds(),
        3 * INTERVAL - Duration.ofMillis(1_750).toNanos());
  }
}
