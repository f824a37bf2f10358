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
  private static final long SECOND = 1_000_000_000L;
  private static final long NOW = 100 * SECOND;
  private static final List<String> ZONES = List.of("kano-1", "lagos-1", "lagos-2");

  private static ZoneWord word(String zone, long highest, boolean contact, long second) {
    return new ZoneWord(zone, 0, highest, contact, second * SECOND);
  }

  /** Words of two other zones, and the moment that follows when the own store call failed. */
  @DataProvider
  public Object[][] words() {
    ZoneWord silent = word("lagos-2", 5, false, 96);
    return new Object[][] {
      {List.of(word("kano-1", 5, false, 97), silent), Optional.of(96L)},
      {List.of(word("kano-1", 5, false, 99), word("lagos-2", 5, false, 99)), Optional.of(98L)},
      {List.of(word("kano-1", 4, false, 97), silent), Optional.of(96L)},
      {List.of(word("kano-1", 6, false, 97), silent), Optional.empty()},
      {List.of(word("kano-1", 5, true, 97), silent), Optional.empty()},
      {List.of(silent), Optional.empty()},
      {
        List.of(word("kano-1", 6, false, 97), word("kano-1", 5, false, 90), silent),
        Optional.empty()
      }
    };
  }

  @Test(dataProvider = "words")
  public void concludesOnlyIfEveryZoneIsWithoutContact(
      List<ZoneWord> words, Optional<Long> second) {
    KeyFreshness freshness = new KeyFreshness("lagos-1");
    freshness.adopted(5);
    freshness.storeFailed(98 * SECOND);
    words.forEach(freshness::heard);
    freshness.concludeIfNobodyHasContact(ZONES, NOW);
    assertEquals(freshness.usable(), second.map(moment -> new Confirmation(5, moment * SECOND)));
  }

  @Test
  public void aStoreAnswerHeardLatelyForbidsTheConclusion() {
    KeyFreshness freshness = new KeyFreshness("lagos-1");
    freshness.adopted(5);
    freshness.storeFailed(99 * SECOND);
    freshness.storeConfirmed(new Confirmation(6, 98 * SECOND));
    ZONES.forEach(zone -> freshness.heard(word(zone, 5, false, 99)));
    freshness.concludeIfNobodyHasContact(ZONES, NOW);
    assertEquals(freshness.usable(), Optional.empty());
  }

  @Test
  public void aConfirmationOfALaterRevisionCountsOnceItIsInForce() {
    KeyFreshness freshness = new KeyFreshness("lagos-1");
    freshness.adopted(5);
    freshness.storeConfirmed(new Confirmation(6, 90 * SECOND));
    Optional<Confirmation> before = freshness.usable();
    freshness.adopted(6);
    assertEquals(
        List.of(before, freshness.usable()),
        List.of(Optional.empty(), Optional.of(new Confirmation(6, 90 * SECOND))));
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
  public void organisationsMayHaveALongerAllowance(String name, int age, boolean allowed) {
    KeyFreshnessView view =
        new KeyFreshnessView(true, NOW, Map.of("huron", Duration.ofSeconds(60)));
    assertEquals(view.allows(name, NOW + Duration.ofMillis(age).toNanos()), allowed);
  }
}
