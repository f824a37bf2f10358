package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ReportOutbox}. */
public class ReportOutboxTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

  private final ServerState one = server("one");
  private final ServerState two = server("two");
  private ReportOutbox outbox;

  @BeforeMethod
  public void createOutbox() {
    outbox = new ReportOutbox();
  }

  /** A message with every report would grow with the requests instead of the servers. */
  @Test
  public void onlyTheNewestReportOfEachServerIsShared() {
    outbox.add(one, load(1, OptionalLong.of(100)), NOW);
    outbox.add(two, load(2, OptionalLong.of(100)), NOW + 50 * MILLISECOND);
    outbox.add(one, load(3, OptionalLong.of(250)), NOW + 90 * MILLISECOND);
    assertEquals(
        outbox.take(2, true, NOW + 100 * MILLISECOND),
        List.of(
            new SharedServerReport("two", 1_000, load(2, OptionalLong.of(100)), 50),
            new SharedServerReport("one", 1_000, load(3, OptionalLong.of(250)), 10)));
    assertEquals(outbox.take(2, true, NOW + 200 * MILLISECOND), List.of());
  }

  @DataProvider
  public Object[][] frequencies() {
    return new Object[][] {
      {"rare, without speed", 3, OptionalLong.empty(), true, 1},
      {"frequent, without speed", 4, OptionalLong.empty(), true, 0},
      {"frequent, with speed", 40, OptionalLong.of(100), true, 1},
      {"rare, without speed, loads not shared", 3, OptionalLong.empty(), false, 0},
      {"rare, with speed, loads not shared", 3, OptionalLong.of(100), false, 1}
    };
  }

  /**
   * Deployments whose instances hear enough themselves would pay for messages that tell nothing.
   */
  @Test(dataProvider = "frequencies")
  public void reportsAreSharedWhereTheyAreRareOrHaveSpeed(
      String name,
      int reportsInFourSeconds,
      OptionalLong speed,
      boolean loadsShared,
      int sharedCount) {
    for (int number = 0; number < reportsInFourSeconds; number++) {
      outbox.add(one, load(1, speed), NOW + number * 4_000 * MILLISECOND / reportsInFourSeconds);
    }
    long last = NOW + (reportsInFourSeconds - 1) * 4_000 * MILLISECOND / reportsInFourSeconds;
    assertEquals(outbox.take(1, loadsShared, last).size(), sharedCount, name);
  }

  @Test
  public void reportsWithoutWeightAndOfMissingServersAreNotShared() {
    outbox.add(one, load(1, OptionalLong.of(100)), NOW);
    outbox.add(two, load(1, OptionalLong.of(100)), NOW + 500 * MILLISECOND);
    outbox.retain(server -> server == one);
    assertEquals(outbox.take(2, true, NOW + 1_000 * MILLISECOND), List.of());
  }

  @Test
  public void messageIsBoundedAndHasTheNewestReports() {
    for (int number = 0; number < 100; number++) {
      outbox.add(server("s" + number), load(1, OptionalLong.of(100)), NOW);
    }
    List<SharedServerReport> shared = outbox.take(100, true, NOW);
    assertEquals(shared.size(), SharedServerReport.MESSAGE_LIMIT);
    assertEquals(shared.getLast().server(), "s99");
  }

  private static ServerLoad load(long running, OptionalLong speed) {
    return ServerLoad.of(OptionalLong.of(running), OptionalLong.of(0), OptionalLong.of(3), speed);
  }

  private static ServerState server(String identifier) {
    return new ServerState(TrafficFixture.server(identifier, "north-a"), "north", NOW);
  }
}
