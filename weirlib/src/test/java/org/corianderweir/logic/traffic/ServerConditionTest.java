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
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what is sent to servers that leave or ask for a pause. */
public class ServerConditionTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final int SEED_COUNT = 300;
  private static final int EVENTS_PER_SEED = 400;

  private final List<TrafficRoute> routes =
      List.of(
          TrafficFixture.route("read", true, Set.of()),
          TrafficFixture.route("book", false, Set.of()));

  /** A server that had said that it leaves got requests until the store said so. */
  @Test
  public void aLeavingServerGetsNothingMore() {
    List<ServerRegistration> servers = TrafficFixture.servers("north-a", 3);
    TrafficDirector director = director(servers);
    ServerState left = sendOnce(director, "1", NOW);
    answer(director, left, report(true, Duration.ZERO), NOW);
    assertEquals(left.condition(NOW), ServerCondition.LEAVING);
    for (int number = 0; number < 200; number++) {
      assertFalse(sendOnce(director, "" + number, NOW + number * MILLISECOND).equals(left));
    }
  }

  @DataProvider
  public Object[][] storeChanges() {
    return new Object[][] {
      {"the same registration again", 0, true, false},
      {"a missing registration that returns", 0, false, false},
      {"a new start", 1, true, true},
      {"a new start after a missing registration", 1, false, true}
    };
  }

  /** What a server said itself goes before an older registration, unless it has started anew. */
  @Test(dataProvider = "storeChanges")
  public void onlyANewStartEndsLeaving(
      String name, long startDifference, boolean present, boolean used) {
    List<ServerRegistration> servers = TrafficFixture.servers("north-a", 1);
    TrafficDirector director = director(servers);
    ServerState left = sendOnce(director, "1", NOW);
    answer(director, left, report(true, Duration.ZERO), NOW);
    if (!present) {
      director.apply(TrafficFixture.view(routes, List.of(), Set.of()), NOW);
    }
    ServerRegistration again = TrafficFixture.startedLater(servers.getFirst(), startDifference);
    director.apply(TrafficFixture.view(routes, List.of(again), Set.of()), NOW);
    // An answer of the former process that arrives late changes nothing.
    answer(director, left, report(true, Duration.ZERO), NOW);
    AdmittedRequest request = admit("read", "2", NOW);
    assertEquals(director.nextStep(request, NOW) instanceof NextStep.Send, used, name);
  }

  /** A pause of all servers: refused at once, with the time of the first return. */
  @Test
  public void pauseOfAllServersIsToldToTheCaller() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 2));
    Set<ServerState> paused = new HashSet<>();
    for (int number = 0; paused.size() < 2; number++) {
      ServerState server = sendOnce(director, "" + number, NOW);
      long pauseSeconds = paused.isEmpty() ? 3 : 5;
      reject(director, server, report(false, Duration.ofSeconds(pauseSeconds)), NOW);
      paused.add(server);
    }
    NextStep step = director.nextStep(admit("book", "x", NOW), NOW);
    NextStep.Reject rejected = (NextStep.Reject) step;
    assertEquals(rejected.reason(), RejectionReason.SERVERS_PAUSE);
    long wait = rejected.retryAfter().toMillis();
    assertTrue(wait >= 3_000 && wait <= 3_500, "retry after " + wait);
    long returned = NOW + rejected.retryAfter().toNanos();
    assertTrue(director.nextStep(admit("book", "y", returned), returned) instanceof NextStep.Send);
  }

  /** A quarter of the servers pauses: the others take the requests. */
  @Test
  public void pauseOfSomeServersRefusesNothing() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 12));
    Set<ServerState> paused = new HashSet<>();
    for (int number = 0; paused.size() < 3; number++) {
      ServerState server = sendOnce(director, "" + number, NOW);
      if (paused.add(server)) {
        reject(director, server, report(false, Duration.ofSeconds(4)), NOW);
      }
    }
    for (int number = 0; number < 300; number++) {
      long now = NOW + number * 10 * MILLISECOND;
      ServerState server = sendOnce(director, "" + number, now);
      assertFalse(paused.contains(server), "" + number);
      answer(director, server, report(false, Duration.ZERO), now);
    }
  }

  /** All candidates of an object pause, but other servers of the service do not. */
  @Test
  public void requestGoesToAnyOtherServerWhenItsCandidatesPause() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 20));
    for (int round = 0; round < 19; round++) {
      ServerState server = sendOnce(director, "1", NOW);
      reject(director, server, report(false, Duration.ofSeconds(4)), NOW);
    }
    assertTrue(director.nextStep(admit("read", "1", NOW), NOW) instanceof NextStep.Send);
  }

  /** Instances that waited for the end of a pause must not fill the server in the same moment. */
  @Test
  public void instancesReturnOneAfterTheOtherAndFillTheServerSlowly() {
    List<ServerRegistration> servers = TrafficFixture.servers("north-a", 1);
    List<FleetMember> members = new ArrayList<>();
    for (int number = 0; number < 18; number++) {
      members.add(TrafficFixture.member("entry-" + number, "north-a", "north"));
    }
    Map<Long, Integer> arrivals = new HashMap<>();
    for (FleetMember member : members) {
      TrafficDirector director =
          new TrafficDirector(member, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
      director.apply(TrafficFixture.view(routes, servers, Set.of(), members), NOW);
      ServerState server = sendOnce(director, "1", NOW);
      reject(director, server, report(false, Duration.ofSeconds(2)), NOW);
      for (long elapsed = 0; elapsed < 2_600; elapsed += 10) {
        long now = NOW + elapsed * MILLISECOND;
        AdmittedRequest request = admit("read", "" + elapsed, now);
        if (director.nextStep(request, now) instanceof NextStep.Send) {
          assertTrue(elapsed >= 2_000, "sent in the pause, after " + elapsed);
          arrivals.merge((elapsed - 2_000) / 100, 1, Integer::sum);
        }
      }
    }
    assertTrue(arrivals.getOrDefault(0L, 0) <= 9, "first tenth of a second: " + arrivals);
  }

  @DataProvider
  public Object[][] closings() {
    return new Object[][] {{"leaving"}, {"pause"}, {"removed"}, {"draining"}};
  }

  /** A request whose connection was being opened was written to a server that had said to leave. */
  @Test(dataProvider = "closings")
  public void requestIsWithheldFromAServerThatClosedMeanwhile(String closing) {
    List<ServerRegistration> servers = new ArrayList<>(TrafficFixture.servers("north-a", 2));
    TrafficDirector director = director(servers);
    AdmittedRequest request = admit("book", "1", NOW);
    ServerState chosen = ((NextStep.Send) director.nextStep(request, NOW)).server();
    assertTrue(director.accepts(chosen, NOW));
    int index = servers.indexOf(chosen.registration());
    switch (closing) {
      case "leaving" -> answer(director, chosen, report(true, Duration.ZERO), NOW);
      case "pause" -> reject(director, chosen, report(false, Duration.ofSeconds(1)), NOW);
      case "removed" -> servers.remove(index);
      default -> servers.set(index, TrafficFixture.draining(chosen.registration()));
    }
    director.apply(TrafficFixture.view(routes, servers, Set.of()), NOW);
    assertFalse(director.accepts(chosen, NOW));
    NextStep step = director.sendEnded(request, chosen, new SendOutcome.Withheld(), NOW, NOW);
    assertFalse(((NextStep.Send) step).server().equals(chosen));
    assertEquals(request.sendCount(), 1);
  }

  @DataProvider
  public Object[][] longPauses() {
    return new Object[][] {{Duration.ofDays(400)}, {Duration.ofSeconds(Long.MAX_VALUE / 2)}};
  }

  @Test(dataProvider = "longPauses")
  public void noPauseTakesAServerOutForGood(Duration pause) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 1));
    ServerState server = sendOnce(director, "1", NOW);
    reject(director, server, report(false, pause), NOW);
    long later = NOW + Duration.ofMinutes(11).toNanos();
    assertEquals(server.condition(later), ServerCondition.HEALTHY);
  }

  /**
   * Orders of events by seed: answers, rejections with pauses, registrations that go, return and
   * start anew, late answers of former processes. Nothing is sent to a start of a server after it
   * said that it leaves, nor during its pause.
   */
  @Test
  public void nothingIsSentAfterLeavingNorInAPause() {
    for (int seed = 0; seed < SEED_COUNT; seed++) {
      new Orders(seed).play();
    }
  }

  /** One order of events and what a server has said. */
  private final class Orders {
    private final int seed;
    private final Random random;
    private final List<ServerRegistration> registered =
        new ArrayList<>(TrafficFixture.servers("north-a", 5));
    private final Map<ServerRegistration, Long> closedUntil = new HashMap<>();
    private final List<Sent> open = new ArrayList<>();
    private final TrafficDirector director;
    private long now = NOW;

    private record Sent(AdmittedRequest request, ServerState server) {}

    Orders(int seed) {
      this.seed = seed;
      random = new Random(seed);
      director = ServerConditionTest.this.director(registered);
    }

    void play() {
      for (int event = 0; event < EVENTS_PER_SEED; event++) {
        now += random.nextInt(60) * MILLISECOND;
        switch (random.nextInt(8)) {
          case 0 -> changeRegistrations();
          case 1, 2, 3 -> endOne();
          default -> send();
        }
      }
    }

    private void send() {
      AdmittedRequest request = admit("read", "" + random.nextInt(50), now);
      check(request, director.nextStep(request, now));
    }

    private void check(AdmittedRequest request, NextStep step) {
      if (step instanceof NextStep.Send send) {
        ServerRegistration server = send.server().registration();
        long until = closedUntil.getOrDefault(server, Long.MIN_VALUE);
        assertTrue(until <= now, "seed %d: %s".formatted(seed, server));
        open.add(new Sent(request, send.server()));
      }
    }

    private void endOne() {
      if (open.isEmpty()) {
        return;
      }
      Sent sent = open.remove(random.nextInt(open.size()));
      boolean leaving = random.nextInt(20) == 0;
      Duration pause = Duration.ofMillis(random.nextInt(3) == 0 ? random.nextInt(2_000) : 0);
      ServerRegistration server = sent.server().registration();
      SendOutcome outcome;
      if (random.nextBoolean()) {
        outcome = new SendOutcome.NotRun(false, report(leaving, pause));
      } else {
        outcome = new SendOutcome.Answered(true, false, report(leaving, Duration.ZERO));
        pause = Duration.ZERO;
      }
      closedUntil.merge(server, leaving ? Long.MAX_VALUE : now + pause.toNanos(), Math::max);
      check(sent.request(), director.sendEnded(sent.request(), sent.server(), outcome, now, now));
    }

    private void changeRegistrations() {
      int index = random.nextInt(registered.size());
      ServerRegistration server = registered.get(index);
      List<ServerRegistration> present = new ArrayList<>(registered);
      switch (random.nextInt(3)) {
        case 0 -> registered.set(index, TrafficFixture.startedLater(server, 1));
        case 1 -> present.remove(index);
        default -> present.set(index, TrafficFixture.draining(server));
      }
      director.apply(TrafficFixture.view(routes, present, Set.of()), now);
      director.apply(TrafficFixture.view(routes, registered, Set.of()), now);
    }
  }

  private TrafficDirector director(List<ServerRegistration> servers) {
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    director.apply(TrafficFixture.view(routes, servers, Set.of()), NOW);
    return director;
  }

  /** Returns a request past its admission, since limits of organisations do not matter here. */
  private static AdmittedRequest admit(String route, String affinityKey, long now) {
    return new AdmittedRequest(
        TrafficFixture.request(route, affinityKey),
        TrafficFixture.route(route, route.equals("read"), Set.of()),
        Optional.empty(),
        "desk",
        0,
        now,
        now + Duration.ofSeconds(2).toNanos(),
        1);
  }

  private static ServerState sendOnce(TrafficDirector director, String affinityKey, long now) {
    AdmittedRequest request = admit("read", affinityKey, now);
    return ((NextStep.Send) director.nextStep(request, now)).server();
  }

  private static void answer(
      TrafficDirector director, ServerState server, SendOutcome.ServerReport report, long now) {
    AdmittedRequest request = admit("book", "answered", now);
    director.sendEnded(request, server, new SendOutcome.Answered(true, false, report), now, now);
  }

  private static void reject(
      TrafficDirector director, ServerState server, SendOutcome.ServerReport report, long now) {
    AdmittedRequest request = admit("book", "rejected", now);
    director.sendEnded(request, server, new SendOutcome.NotRun(false, report), now, now);
  }

  private static SendOutcome.ServerReport report(boolean leaving, Duration pause) {
    return new SendOutcome.ServerReport(ServerLoad.NONE, OptionalLong.empty(), leaving, pause);
  }
}
