package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.corianderweir.logic.platform.DecodedItem;
import org.corianderweir.logic.platform.StoreSchema;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link FleetFacts}. */
public class FleetFactsTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private FleetFacts facts;

  @BeforeMethod
  public void createFacts() {
    facts = new FleetFacts(new Schema(), Duration.ofSeconds(2));
  }

  /**
   * Keys begin with the kind of the item. The value of a server is its start time, that of a
   * configuration its version.
   */
  private static final class Schema implements StoreSchema {
    @Override
    public DecodedItem decode(String key, byte[] value) {
      String text = new String(value, StandardCharsets.UTF_8);
      if (text.equals("?")) {
        return new DecodedItem.Unreadable(key, "unreadable");
      }
      if (text.equals("!")) {
        throw new ArithmeticException("long overflow");
      }
      if (text.equals("!!")) {
        throw new StackOverflowError("depth");
      }
      if (key.startsWith("server")) {
        ServerRegistration server = TrafficFixture.server(key, "north-a");
        return new DecodedItem.ServerItem(
            new ServerRegistration(
                key,
                server.service(),
                server.host(),
                server.port(),
                server.zone(),
                server.slots(),
                false,
                Duration.ZERO,
                Long.parseLong(text)));
      }
      if (key.equals("configuration")) {
        return new DecodedItem.ConfigurationItem(
            TrafficFixture.configuration(Long.parseLong(text), List.of()));
      }
      return key.startsWith("evacuate")
          ? new DecodedItem.EvacuationItem(text)
          : new DecodedItem.Ignored();
    }

    @Override
    public String memberKey(FleetMember member) {
      return "member/" + member.name();
    }

    @Override
    public String peerSecretKey() {
      return "secret";
    }

    @Override
    public byte[] encode(FleetMember member) {
      return new byte[0];
    }
  }

  @Test
  public void anOlderConfigurationVersionIsIgnored() {
    write("configuration", "5", 10);
    write("configuration", "4", 11);
    assertEquals(version(), 5);
    write("configuration", "?", 12);
    assertEquals(version(), 5);
    write("configuration", "6", 13);
    assertEquals(version(), 6);
  }

  @Test
  public void anOlderRevisionChangesNothing() {
    write("evacuate/a", "north-a", 10);
    facts.apply(List.of(new StoreChange.Removed("evacuate/a", 11)), NOW);
    facts.replaceAll(List.of(item("evacuate/b", "south-a", 9)), 9, NOW);
    assertEquals(facts.view(NOW).evacuatedZones(), Set.of("south-a"));
    facts.apply(List.of(new StoreChange.Removed("evacuate/b", 8)), NOW);
    assertEquals(facts.view(NOW).evacuatedZones(), Set.of("south-a"));
  }

  /** A server that had left was in use again: a listing had begun before its removal. */
  @Test
  public void anItemRemovedWhileAListingIsOnItsWayDoesNotComeBack() {
    write("server-1", "1", 10);
    write("server-2", "1", 11);
    facts.apply(List.of(new StoreChange.Removed("server-1", 13)), NOW);
    facts.replaceAll(List.of(item("server-1", "1", 10), item("server-2", "1", 11)), 12, NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-2"));
    facts.apply(List.of(written("server-1", "2", 14)), NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-1", "server-2"));
  }

  /**
   * A listing that began before a snapshot and arrives after it must bring back neither an item
   * that this instance knew nor one that was written and removed meanwhile.
   */
  @Test
  public void anItemMissingFromASnapshotDoesNotComeBackWithAnOlderListing() {
    write("server-1", "1", 10);
    write("server-2", "1", 11);
    facts.replaceAll(List.of(item("server-2", "1", 11)), 30, NOW);
    facts.replaceAll(
        List.of(
            item("server-1", "1", 10),
            item("server-2", "1", 11),
            item("server-3", "1", 20),
            item("server-4", "1", 31)),
        12,
        NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-2", "server-4"));
  }

  /** A snapshot holds what is in the store: no retained item, and each with its newest value. */
  @Test
  public void storedItemsAreThoseOfTheStore() {
    write("server-1", "1", 10);
    write("server-2", "200", 11);
    write("evacuate/a", "north-a", 12);
    write("other", "x", 13);
    write("server-2", "100", 14);
    facts.storeRecovered(NOW);
    facts.apply(List.of(new StoreChange.Removed("server-1", 15)), NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-1", "server-2"));
    Set<String> stored =
        facts.storedItems().stream()
            .map(
                item ->
                    "%s %s %d"
                        .formatted(
                            item.key(),
                            new String(item.value(), StandardCharsets.UTF_8),
                            item.revision()))
            .collect(Collectors.toSet());
    assertEquals(stored, Set.of("server-2 100 14", "evacuate/a north-a 12"));
  }

  @Test
  public void itemsMissingFromAListingAreRemoved() {
    write("server-1", "1", 10);
    write("server-2", "1", 12);
    facts.replaceAll(List.of(), 11, NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-2"));
  }

  @Test
  public void anItemOfAnOlderIncarnationIsIgnored() {
    write("server-1", "200", 10);
    write("server-1", "100", 11);
    assertEquals(facts.view(NOW).servers().get("server-1").startedMilliseconds(), 200);
  }

  @Test
  public void aServerWithAnUnreadableItemIsRemoved() {
    write("server-1", "1", 10);
    write("server-2", "1", 11);
    List<String> problems = facts.apply(List.of(written("server-1", "?", 12)), NOW);
    assertEquals(problems, List.of("key=server-1 reason=unreadable"));
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-2"));
  }

  @DataProvider
  public Object[][] failingValues() {
    return new Object[][] {
      {"!", "java.lang.ArithmeticException"}, {"!!", "java.lang.StackOverflowError"}
    };
  }

  /** One item whose decoding failed kept all later changes from being applied. */
  @Test(dataProvider = "failingValues")
  public void anItemThatFailsUnexpectedlyDoesNotStopTheOthers(String value, String failure) {
    write("server-2", "1", 10);
    List<String> problems =
        facts.apply(
            List.of(
                written("server-1", value, 11),
                written("server-2", value, 12),
                written("server-3", "1", 13)),
            NOW);
    assertEquals(problems.size(), 2);
    assertTrue(problems.get(0).startsWith("key=server-1 reason=error=\"" + failure), "" + problems);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-3"));
    problems =
        facts.replaceAll(List.of(item("server-4", value, 14), item("server-5", "1", 15)), 15, NOW);
    assertEquals(problems.size(), 1);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-5"));
  }

  @Test
  public void expiredItemsAreRetainedDuringTheGracePeriod() {
    write("server-1", "1", 10);
    write("server-2", "1", 11);
    write("evacuate/a", "north-a", 12);
    facts.storeRecovered(NOW);
    facts.replaceAll(List.of(), 20, NOW);
    facts.replaceAll(List.of(), 20, NOW + SECOND / 2);
    assertEquals(facts.view(NOW + SECOND).servers().keySet(), Set.of("server-1", "server-2"));
    assertEquals(facts.view(NOW + SECOND).evacuatedZones(), Set.of());
    assertEquals(facts.nextExpiry(NOW + SECOND).orElseThrow(), Duration.ofSeconds(1));
    facts.apply(List.of(written("server-2", "1", 21)), NOW + SECOND);
    assertEquals(facts.view(NOW + 2 * SECOND).servers().keySet(), Set.of("server-2"));
  }

  /** A disconnected instance sent requests to a server that had left the fleet. */
  @Test
  public void entriesThatLeftWhileThisInstanceWasOutOfTouchAreGone() {
    for (int number = 1; number <= 8; number++) {
      write("server-" + number, "1", 10 + number);
    }
    facts.storeRecovered(NOW);
    facts.replaceAll(
        List.of(
            item("server-1", "1", 11),
            item("server-2", "1", 12),
            item("server-3", "1", 13),
            item("server-4", "1", 14),
            item("server-5", "1", 15),
            item("server-6", "1", 16)),
        30,
        NOW);
    assertFalse(facts.view(NOW).servers().containsKey("server-7"));
    facts.apply(List.of(new StoreChange.Removed("server-6", 31)), NOW);
    assertFalse(facts.view(NOW).servers().containsKey("server-6"));
  }

  /** Replaced servers are not retained: the number of leased items has not dropped. */
  @Test
  public void replacedEntriesAreGone() {
    write("server-1", "1", 10);
    write("server-2", "1", 11);
    facts.storeRecovered(NOW);
    facts.replaceAll(List.of(item("server-3", "1", 20), item("server-4", "1", 21)), 30, NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of("server-3", "server-4"));
  }

  @Test
  public void itemsAreRemovedAtOnceWithoutAnOutage() {
    write("server-1", "1", 10);
    facts.apply(List.of(new StoreChange.Removed("server-1", 11)), NOW);
    assertEquals(facts.view(NOW).servers().keySet(), Set.of());
  }

  private void write(String key, String value, long revision) {
    facts.apply(List.of(written(key, value, revision)), NOW);
  }

  private static StoreChange written(String key, String value, long revision) {
    return new StoreChange.Written(item(key, value, revision));
  }

  private static StoreItem item(String key, String value, long revision) {
    return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision);
  }

  private long version() {
    return facts.view(NOW).index().orElseThrow().configuration().version();
  }
}
