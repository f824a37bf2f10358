package org.corianderweir.logic.keys;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link KeyFreshness} and {@link KeyFreshnessView}. */
public class KeyFreshnessTest {
  private static final long SECOND_NANOSECONDS = 1_000_000_000L;
  private static final long NOW_NANOSECONDS = 100 * SECOND_NANOSECONDS;
  private static final List<String> ZONES = List.of("kano-1", "lagos-1", "lagos-2");

  private static ZoneReport report(String zone, long highest, boolean contact, long second) {
    return new ZoneReport(zone, 0, highest, contact, second * SECOND_NANOSECONDS);
  }

  /**
   * Reports of other zones, and the second at which the revision is confirmed when this instance's
   * store call failed.
   */
  @DataProvider
  public Object[][] words() {
    ZoneReport withoutContact = report("lagos-2", 5, false, 96);
    return new Object[][] {
      {List.of(report("kano-1", 5, false, 97), withoutContact), Optional.of(96L)},
      {List.of(report("kano-1", 5, false, 99), report("lagos-2", 5, false, 99)), Optional.of(98L)},
      {List.of(report("kano-1", 4, false, 97), withoutContact), Optional.of(96L)},
      {List.of(report("kano-1", 6, false, 97), withoutContact), Optional.empty()},
      {List.of(report("kano-1", 5, true, 97), withoutContact), Optional.empty()},
      {List.of(withoutContact), Optional.empty()},
      {
        List.of(report("kano-1", 6, false, 97), report("kano-1", 5, false, 90), withoutContact),
        Optional.empty()
      }
    };
  }

  @Test(dataProvider = "words")
  public void confirmsOnlyIfNoZoneHasStoreContact(List<ZoneReport> reports, Optional<Long> second) {
    KeyFreshness freshness = new KeyFreshness("lagos-1");
    freshness.recordRevisionInForce(5);
    freshness.recordStoreFailure(98 * SECOND_NANOSECONDS);
    reports.forEach(freshness::recordZoneReport);
    freshness.confirmIfNoZoneHasStoreContact(ZONES, NOW_NANOSECONDS);
    assertEquals(
        freshness.latestConfirmation(),
        second.map(time -> new RevisionConfirmation(5, time * SECOND_NANOSECONDS)));
  }

  @Test
  public void recentStoreConfirmationPreventsInference() {
    KeyFreshness freshness = new KeyFreshness("lagos-1");
    freshness.recordRevisionInForce(5);
    freshness.recordStoreFailure(99 * SECOND_NANOSECONDS);
    freshness.recordStoreConfirmation(new RevisionConfirmation(6, 98 * SECOND_NANOSECONDS));
    ZONES.forEach(zone -> freshness.recordZoneReport(report(zone, 5, false, 99)));
    freshness.confirmIfNoZoneHasStoreContact(ZONES, NOW_NANOSECONDS);
    assertEquals(freshness.latestConfirmation(), Optional.empty());
  }

  @Test
  public void confirmationOfLaterRevisionAppliesOnceInForce() {
    KeyFreshness freshness = new KeyFreshness("lagos-1");
    freshness.recordRevisionInForce(5);
    freshness.recordStoreConfirmation(new RevisionConfirmation(6, 90 * SECOND_NANOSECONDS));
    Optional<RevisionConfirmation> before = freshness.latestConfirmation();
    freshness.recordRevisionInForce(6);
    assertEquals(
        List.of(before, freshness.latestConfirmation()),
        List.of(
            Optional.empty(), Optional.of(new RevisionConfirmation(6, 90 * SECOND_NANOSECONDS))));
  }

  /** Organisation, age of the confirmation in milliseconds, and whether keys are accepted. */
  @DataProvider
  public Object[][] ages() {
    return new Object[][] {
      {"adebayo", 0, true},
      {"adebayo", 10_000, true},
      {"adebayo", 10_001, false},
      {"huron", 10_001, true},
      {"huron", 60_000, true},
      {"huron", 60_001, false}
    };
  }

  @Test(dataProvider = "ages")
  public void organisationsMayHaveLongerStalenessLimit(String name, int age, boolean allowed) {
    KeyFreshnessView view =
        new KeyFreshnessView(true, NOW_NANOSECONDS, Map.of("huron", Duration.ofSeconds(60)));
    assertEquals(
        view.mayAcceptKeys(name, NOW_NANOSECONDS + Duration.ofMillis(age).toNanos()), allowed);
  }
}
