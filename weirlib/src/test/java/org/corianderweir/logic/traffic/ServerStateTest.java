package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
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
