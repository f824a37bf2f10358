package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ServerState}. */
public class ServerStateTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

  @DataProvider
  public Object[][] speeds() {
    return new Object[][] {
      {OptionalLong.of(250), 0, 2.5},
      {OptionalLong.of(250), 250, 1.75},
      {OptionalLong.of(250), 500, 1.0},
      {OptionalLong.of(250), 60_000, 1.0},
      {OptionalLong.of(100), 0, 1.0},
      {OptionalLong.of(1), 0, 0.5},
      {OptionalLong.of(10_000), 0, 100.0},
      {OptionalLong.of(10_001), 0, 1.0},
      {OptionalLong.of(0), 0, 1.0},
      {OptionalLong.of(-250), 0, 1.0},
      {OptionalLong.of(Long.MAX_VALUE), 0, 1.0},
      {OptionalLong.empty(), 0, 1.0}
    };
  }

  /** A server that had been slow half a second ago would be avoided although it is not any more. */
  @Test(dataProvider = "speeds")
  public void speedLosesItsWeightInHalfASecond(OptionalLong percent, long age, double expected) {
    ServerState server = server();
    server.recordLoad(load(0, percent), NOW);
    assertEquals(server.speedRatio(NOW + age * MILLISECOND), expected, 1e-9);
  }

  /** A response without a speed must not end the effect of a recent one. */
  @Test
  public void figuresCountByThemselves() {
    ServerState server = server();
    server.recordLoad(load(4, OptionalLong.of(250)), NOW);
    server.recordLoad(ServerLoad.NONE, NOW + 100 * MILLISECOND);
    assertEquals(server.load(NOW + 100 * MILLISECOND), 3.6, 1e-9);
    assertEquals(server.speedRatio(NOW + 100 * MILLISECOND), 2.2, 1e-9);
    assertEquals(server.reportAge(NOW + 100 * MILLISECOND), Optional.of(Duration.ofMillis(100)));
    assertEquals(server.reportAge(NOW + 1_000 * MILLISECOND), Optional.empty());
  }

  /** A slow machine would count twice: by its report and by the latency of its responses. */
  @Test
  public void latencyThatTheSpeedExplainsIsNotCountedAgain() {
    ServerState slow = server();
    ServerState unexplained = server();
    for (int number = 0; number < 20; number++) {
      slow.recordLoad(load(0, OptionalLong.of(250)), NOW);
      slow.recordSuccess(2.5, NOW);
      unexplained.recordSuccess(2.5, NOW);
    }
    assertEquals(slow.latencyRatio(NOW), 1, 1e-9);
    assertTrue(unexplained.latencyRatio(NOW) > 2.4, "" + unexplained.latencyRatio(NOW));
  }

  @DataProvider
  public Object[][] choices() {
    return new Object[][] {
      {"no reports", OptionalLong.empty(), 0, "first"},
      {"the first slow", OptionalLong.of(250), 0, "second"},
      {"the first slow long ago", OptionalLong.of(250), 500, "first"},
      {"the first fast", OptionalLong.of(80), 0, "first"}
    };
  }

  /**
   * Requests for new objects would wait at a slow server while another one is at its usual speed.
   */
  @Test(dataProvider = "choices")
  public void requestGoesToTheServerThatIsExpectedToAnswerSooner(
      String name, OptionalLong speedOfFirst, long age, String expected) {
    ServerState first = server("first");
    ServerState second = server("second");
    first.recordLoad(load(0, speedOfFirst), NOW - age * MILLISECOND);
    List<ServerChoice.Candidate> candidates =
        List.of(
            new ServerChoice.Candidate(first, true, true),
            new ServerChoice.Candidate(second, false, true));
    Optional<ServerChoice.Chosen> chosen =
        ServerChoice.best(candidates, "north", false, false, NOW);
    assertEquals(chosen.orElseThrow().server().registration().identifier(), expected, name);
  }

  @DataProvider
  public Object[][] sharedReports() {
    return new Object[][] {
      // Three requests of this instance are in flight at 0 ms, one ends at 100, one is sent at 200.
      {"of now", 8, 0, 3 + 5.0},
      {"before a send: two own requests are part of it", 8, 150, 3 + 6 * 0.85},
      {"before an end: three own requests are part of it", 8, 250, 3 + 5 * 0.75},
      {"fewer than the own requests", 1, 0, 3.0},
      {"without weight", 8, 1_000, 3.0}
    };
  }

  /** Own requests would count twice, or those of others not at all. */
  @Test(dataProvider = "sharedReports")
  public void ownRequestsAtTheTimeOfSharedReportArePartOfIt(
      String name, int reported, long age, double expected) {
    ServerState server = server();
    for (int number = 0; number < 3; number++) {
      server.recordSend(0, NOW);
    }
    server.recordEnd(0, NOW + 100 * MILLISECOND);
    server.recordSend(0, NOW + 200 * MILLISECOND);
    long now = NOW + 300 * MILLISECOND;
    server.recordLoad(load(reported, OptionalLong.empty()), now - age * MILLISECOND);
    assertEquals(server.load(now), expected, 1e-9, name);
  }

  /** A server without a recent report counted as idle, and all instances chose it. */
  @Test
  public void serverWithoutRecentReportIsLikeTheOthersWhereReportsAreShared() {
    ServerState server = server();
    server.recordSend(0, NOW);
    assertEquals(server.load(NOW), 1, 1e-9, "nothing is shared");
    server.recordAverageRequests(4, NOW);
    assertEquals(server.load(NOW), 1 + 4, 1e-9);
    server.recordLoad(load(1, OptionalLong.empty()), NOW);
    assertEquals(server.load(NOW), 1, 1e-9, "a new report counts alone");
    long later = NOW + 250 * MILLISECOND;
    assertEquals(server.load(later), 1 + 4 * 0.75 * 0.25, 1e-9);
    assertEquals(server.load(NOW + 1_000 * MILLISECOND), 1, 1e-9, "the average has its age, too");
  }

  /** A report of another instance that is older than the last own one would replace it. */
  @Test
  public void olderReportChangesNothing() {
    ServerState server = server();
    assertTrue(server.recordLoad(load(5, OptionalLong.of(250)), NOW + 100 * MILLISECOND));
    assertFalse(server.recordLoad(load(0, OptionalLong.of(100)), NOW + 99 * MILLISECOND));
    assertEquals(server.load(NOW + 100 * MILLISECOND), 5, 1e-9);
    assertEquals(server.speedRatio(NOW + 100 * MILLISECOND), 2.5, 1e-9);
  }

  private static ServerLoad load(long requests, OptionalLong speedPercent) {
    return ServerLoad.of(
        OptionalLong.of(requests), OptionalLong.of(0), OptionalLong.of(3), speedPercent);
  }

  private static ServerState server() {
    return server("one");
  }

  private static ServerState server(String identifier) {
    return new ServerState(TrafficFixture.server(identifier, "north-a"), "north", NOW);
  }
}
