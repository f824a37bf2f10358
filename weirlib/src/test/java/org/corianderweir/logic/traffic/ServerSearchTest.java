package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the places of requests with bodies, see {@link ServerSearch}. */
public class ServerSearchTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final long LARGE = 64 * 1024 + 1;
  private static final int SEED_COUNT = 100;
  private static final int EVENTS_PER_SEED = 400;

  private final TrafficRoute upload = TrafficFixture.route("upload", RequestKind.UPLOAD, Set.of());
  private final TrafficRoute unsafe = TrafficFixture.route("unsafe", RequestKind.UNSAFE, Set.of());

  /** Large bodies of one object together exceeded the memory of its server, which ended. */
  @Test
  public void largeBodiesOfOneObjectAreSpreadOverAllServers() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 12));
    Map<ServerState, Integer> bodies = new HashMap<>();
    for (int number = 0; number < 24; number++) {
      bodies.merge(send(director, "upload", "1", LARGE).server(), 1, Integer::sum);
    }
    assertEquals(bodies.size(), 12);
    assertEquals(Set.copyOf(bodies.values()), Set.of(2));
    // No server accepts a third one: the request is served all the same.
    assertEquals(send(director, "upload", "1", LARGE).server().largeBodyCount(), 3);
  }

  /** A server that is full does not accept the body, so it is no reason to refuse it elsewhere. */
  @Test
  public void fullServersDoNotCountAsOthersThatAccept() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 2));
    Sent first = send(director, "upload", "1", LARGE);
    assertEquals(send(director, "upload", "1", LARGE).server(), first.server());
    Sent third = send(director, "upload", "1", LARGE);
    assertFalse(first.server().equals(third.server()));
    ServerLoad full =
        ServerLoad.of(
            OptionalLong.of(3), OptionalLong.of(9), OptionalLong.of(3), OptionalLong.empty());
    end(director, third, answered(full));
    List<ServerState> places = new ArrayList<>();
    for (int number = 0; number < 2; number++) {
      places.add(send(director, "upload", "1", LARGE).server());
    }
    assertEquals(places, List.of(first.server(), first.server()));
  }

  @DataProvider
  public Object[][] kindsAndLengths() {
    return new Object[][] {
      {"upload", LARGE, 2}, {"upload", LARGE - 1, 1}, {"unsafe", LARGE, 1}, {"upload", 0L, 1}
    };
  }

  /**
   * Small bodies, and deployments without uploads, are served as before: at the object's server.
   */
  @Test(dataProvider = "kindsAndLengths")
  public void onlyLargeUploadsLeaveTheServerOfTheirObject(
      String route, long bodyBytes, int serverCount) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 12));
    Set<ServerState> used = new HashSet<>();
    for (int number = 0; number < 3; number++) {
      used.add(send(director, route, "1", bodyBytes).server());
    }
    assertEquals(used.size(), serverCount);
  }

  /** Bodies of all kinds use the memory of a server, so an upload avoids all of them. */
  @Test
  public void largeUploadPrefersServerWithFewerBodyBytesInProgress() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 12));
    Sent alone = send(director, "upload", "1", LARGE);
    end(director, alone, answered(ServerLoad.NONE));
    ServerState own = alone.server();
    own.recordSend(200 * 1024, NOW);
    assertFalse(send(director, "upload", "1", LARGE).server().equals(own));
    own.recordEnd(200 * 1024, NOW);
    assertEquals(send(director, "upload", "1", LARGE).server(), own);
  }

  /**
   * Orders of sends and ends by seed: no server has three large bodies while another healthy one
   * has fewer than two, and when all sends have ended, nothing is counted as in progress.
   */
  @Test
  public void boundHoldsInEachOrderOfEvents() {
    for (int seed = 0; seed < SEED_COUNT; seed++) {
      Random random = new Random(seed);
      TrafficDirector director = director(TrafficFixture.servers("north-a", 7));
      List<Sent> open = new ArrayList<>();
      Set<ServerState> seen = new HashSet<>();
      for (int event = 0; event < EVENTS_PER_SEED; event++) {
        if (open.size() < 18 && random.nextInt(5) > 1) {
          long bytes = random.nextInt(3) * LARGE;
          Sent sent = send(director, "upload", "" + random.nextInt(9), bytes);
          seen.add(sent.server());
          open.add(sent);
          boolean third = bytes > 0 && sent.server().largeBodyCount() > 2;
          boolean otherTakesIt =
              seen.stream()
                  .anyMatch(
                      server ->
                          server.largeBodyCount() < 2
                              && !server.isEjected(NOW)
                              && !ServerChoice.isFull(server, NOW));
          assertFalse(third && otherTakesIt, "seed " + seed + " event " + event);
        } else if (!open.isEmpty()) {
          end(director, open.remove(random.nextInt(open.size())), outcome(random));
        }
      }
      open.forEach(sent -> end(director, sent, answered(ServerLoad.NONE)));
      assertEquals(director.bodyBytesInProgress(), 0, "seed " + seed);
      assertTrue(seen.stream().allMatch(server -> server.largeBodyCount() == 0), "seed " + seed);
    }
  }

  private record Sent(AdmittedRequest request, ServerState server) {}

  private static SendOutcome outcome(Random random) {
    return switch (random.nextInt(4)) {
      case 0 -> new SendOutcome.Lost("test");
      case 1 -> new SendOutcome.TimedOut();
      case 2 -> new SendOutcome.Abandoned(true);
      default -> answered(ServerLoad.NONE);
    };
  }

  private static SendOutcome answered(ServerLoad load) {
    return new SendOutcome.Answered(
        true, false, new SendOutcome.ServerReport(load, OptionalLong.empty()));
  }

  private TrafficDirector director(List<ServerRegistration> servers) {
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    director.apply(TrafficFixture.view(List.of(upload, unsafe), servers, Set.of()), NOW);
    return director;
  }

  private Sent send(TrafficDirector director, String route, String object, long bodyBytes) {
    RequestAttributes attributes = TrafficFixture.request(route, object);
    // Past its admission, since limits of organisations do not matter here.
    AdmittedRequest request =
        new AdmittedRequest(
            attributes,
            route.equals("upload") ? upload : unsafe,
            Optional.empty(),
            "desk",
            bodyBytes,
            NOW,
            NOW + Duration.ofSeconds(2).toNanos(),
            1);
    return new Sent(request, ((NextStep.Send) director.nextStep(request, NOW)).server());
  }

  private static void end(TrafficDirector director, Sent sent, SendOutcome outcome) {
    director.sendEnded(sent.request(), sent.server(), outcome, NOW, NOW + MILLISECOND);
  }

  /** The length of a body that is admitted counts until its send has ended. */
  @Test
  public void lengthOfAnAdmittedBodyIsCounted() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 2));
    Admission admission = director.admit(TrafficFixture.request("upload", "1"), 70_000, NOW);
    AdmittedRequest request = ((Admission.Admitted) admission).request();
    ServerState server = ((NextStep.Send) director.nextStep(request, NOW)).server();
    assertEquals(director.bodyBytesInProgress(), 70_000);
    director.sendEnded(request, server, new SendOutcome.Withheld(), NOW, NOW);
    assertEquals(director.bodyBytesInProgress(), 70_000);
    assertEquals(server.bodyBytesInProgress(), 0);
  }
}
