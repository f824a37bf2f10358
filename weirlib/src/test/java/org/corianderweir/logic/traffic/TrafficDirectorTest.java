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
import java.util.Set;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link TrafficDirector}. */
public class TrafficDirectorTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final SendOutcome.ServerReport NO_REPORT =
      new SendOutcome.ServerReport(OptionalLong.empty(), OptionalLong.empty());

  private final TrafficRoute read = TrafficFixture.route("read", true, Set.of());
  private final TrafficRoute book = TrafficFixture.route("book", false, Set.of());
  private final TrafficRoute home = TrafficFixture.route("home", true, Set.of("south"));
  private final List<TrafficRoute> routes = List.of(read, book, home);

  @Test
  public void requestsAreRejectedWithoutAConfiguration() {
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    Admission admission = director.admit(TrafficFixture.request("read", "1"), NOW);
    assertEquals(((Admission.Rejected) admission).reason(), RejectionReason.NOT_READY);
  }

  @DataProvider
  public Object[][] strangers() {
    return new Object[][] {
      {"/read/x", Optional.empty(), RejectionReason.KEY_UNKNOWN},
      {"/read/x", Optional.of("other"), RejectionReason.KEY_UNKNOWN},
      {"/none/x", Optional.of("key-1"), RejectionReason.NO_ROUTE}
    };
  }

  @Test(dataProvider = "strangers")
  public void requestsWithoutRouteOrKeyAreRejected(
      String path, Optional<String> key, RejectionReason reason) {
    RequestAttributes attributes =
        new RequestAttributes(
            "r", "rota.example", path, key, Optional.empty(), OptionalLong.of(10), Duration.ZERO);
    Admission admission = director(TrafficFixture.servers("north-a", 2)).admit(attributes, NOW);
    assertEquals(((Admission.Rejected) admission).reason(), reason);
  }

  /** An instance that stopped admitted requests that could not be answered before its end. */
  @Test
  public void aStoppingInstanceRefusesWhatItCannotFinish() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 2));
    director.beginStop(
        new PlannedStop(NOW, Duration.ZERO, Duration.ZERO, Duration.ofMillis(1_999)));
    Admission admission = director.admit(TrafficFixture.request("read", "1"), NOW);
    assertEquals(
        admission,
        new Admission.Rejected(RejectionReason.STOPPING, Duration.ofMillis(1), Optional.empty()));
  }

  @DataProvider
  public Object[][] outcomesBeforeARepeat() {
    return new Object[][] {
      {"book", new SendOutcome.NotRun(false, NO_REPORT), false},
      {"book", new SendOutcome.Unreachable(), false},
      {"read", new SendOutcome.NotRun(false, NO_REPORT), false},
      {"read", new SendOutcome.Lost("test"), true}
    };
  }

  /**
   * A request that a server had rejected late in a planned stop was sent to another server, where
   * it was cut at the end of the process.
   */
  @Test(dataProvider = "outcomesBeforeARepeat")
  public void aRequestIsNotSentAgainIfItCannotEndBeforeTheInstance(
      String route, SendOutcome outcome, boolean repeated) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    AdmittedRequest request = admit(director, route, "1");
    ServerState server = server(director.nextStep(request, NOW));
    director.beginStop(
        new PlannedStop(NOW, Duration.ofMillis(500), Duration.ZERO, Duration.ofMillis(1_999)));
    long late = NOW + 500 * MILLISECOND;
    NextStep step = director.sendEnded(request, server, outcome, NOW, late);
    if (repeated) {
      assertTrue(step instanceof NextStep.Send, "" + step);
    } else {
      assertEquals(step, new NextStep.Reject(RejectionReason.STOPPING, Duration.ofMillis(1)));
    }
  }

  @Test
  public void anAffinityKeyStaysOnItsServer() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 5));
    Set<String> servers = new HashSet<>();
    for (int number = 0; number < 10; number++) {
      AdmittedRequest request = admit(director, "read", "7");
      NextStep.Send send = (NextStep.Send) director.nextStep(request, NOW);
      servers.add(send.server().registration().identifier());
      director.sendEnded(request, send.server(), success(), NOW, NOW + MILLISECOND);
    }
    assertEquals(servers.size(), 1);
  }

  /** Requests are sent only to the regions that their route allows. */
  @Test
  public void homesBind() {
    List<ServerRegistration> servers = new ArrayList<>(TrafficFixture.servers("north-a", 5));
    servers.addAll(TrafficFixture.servers("south-a", 1));
    TrafficDirector director = director(servers);
    for (int number = 0; number < 20; number++) {
      NextStep.Send send =
          (NextStep.Send) director.nextStep(admit(director, "home", "" + number), NOW);
      assertEquals(send.server().region(), "south");
    }
  }

  @Test
  public void requestsAreRejectedWithoutServersInAllowedRegions() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 5));
    NextStep step = director.nextStep(admit(director, "home", "1"), NOW);
    assertEquals(((NextStep.Reject) step).reason(), RejectionReason.NO_SERVER);
  }

  @Test
  public void anEvacuatedZoneGetsNothing() {
    List<ServerRegistration> servers = new ArrayList<>(TrafficFixture.servers("north-a", 2));
    servers.addAll(TrafficFixture.servers("south-a", 2));
    TrafficDirector director = director(servers);
    director.apply(TrafficFixture.view(routes, servers, Set.of("north-a")), NOW);
    for (int number = 0; number < 20; number++) {
      NextStep.Send send =
          (NextStep.Send) director.nextStep(admit(director, "read", "" + number), NOW);
      assertEquals(send.server().region(), "south");
    }
  }

  @DataProvider
  public Object[][] departures() {
    return new Object[][] {{false, 0}, {true, 1}};
  }

  /** A request may have run only if it was written before its caller left. */
  @Test(dataProvider = "departures")
  public void abandonedRequestMayHaveRunOnlyIfItWasWritten(boolean written, int sends) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 2));
    AdmittedRequest request = admit(director, "read", "1");
    NextStep.Send send = (NextStep.Send) director.nextStep(request, NOW);
    SendOutcome abandoned = new SendOutcome.Abandoned(written);
    director.sendEnded(request, send.server(), abandoned, NOW, NOW + MILLISECOND);
    assertEquals(
        List.of(request.mayHaveRun(), request.sendCount(), send.server().load(NOW + MILLISECOND)),
        List.of(written, sends, 0.0));
  }

  @DataProvider
  public Object[][] outcomes() {
    SendOutcome notRun = new SendOutcome.NotRun(false, NO_REPORT);
    SendOutcome failed = new SendOutcome.Answered(false, true, NO_REPORT);
    return new Object[][] {
      {"read", new SendOutcome.Unreachable(), NextStep.Send.class},
      {"read", notRun, NextStep.Send.class},
      {"read", new SendOutcome.NotRun(true, NO_REPORT), NextStep.Send.class},
      {"read", new SendOutcome.Lost("test"), NextStep.Send.class},
      {"read", failed, NextStep.Send.class},
      {"read", new SendOutcome.TimedOut(), NextStep.Fail.class},
      {"book", new SendOutcome.Unreachable(), NextStep.Send.class},
      {"book", notRun, NextStep.Send.class},
      {"book", new SendOutcome.NotRun(true, NO_REPORT), NextStep.Send.class},
      {"book", new SendOutcome.Lost("test"), NextStep.Fail.class},
      {"book", failed, NextStep.Deliver.class},
      {"book", new SendOutcome.TimedOut(), NextStep.Fail.class}
    };
  }

  /** A request that may have run is sent again only if it is idempotent. */
  @Test(dataProvider = "outcomes")
  public void whatFollowsDependsOnWhatIsCertain(
      String route, SendOutcome outcome, Class<? extends NextStep> next) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    AdmittedRequest request = admit(director, route, "1");
    NextStep.Send send = (NextStep.Send) director.nextStep(request, NOW);
    NextStep step = director.sendEnded(request, send.server(), outcome, NOW, NOW + MILLISECOND);
    assertEquals(step.getClass(), next);
    if (step instanceof NextStep.Send again) {
      assertFalse(again.server().equals(send.server()));
    }
  }

  /** A request that may have run is never reported as rejected, whatever happens afterwards. */
  @Test
  public void aLostIdempotentRequestIsNotRejected() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 2));
    AdmittedRequest request = admit(director, "read", "1");
    NextStep step = director.nextStep(request, NOW);
    step = director.sendEnded(request, server(step), new SendOutcome.Lost("test"), NOW, NOW);
    SendOutcome notRun = new SendOutcome.NotRun(false, NO_REPORT);
    step = director.sendEnded(request, server(step), notRun, NOW, NOW);
    assertEquals(step, new NextStep.Fail(false));
  }

  /** An unresponsive server may keep its connections open, so only missing answers show it. */
  @Test
  public void aSilentServerIsLeftBeforeItsRequestsTimeOut() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    NextStep.Send silent = (NextStep.Send) director.nextStep(admit(director, "read", "1"), NOW);
    long soon = NOW + 1_000 * MILLISECOND;
    assertEquals(server(director.nextStep(admit(director, "read", "1"), soon)), silent.server());
    long later = NOW + 1_600 * MILLISECOND;
    assertFalse(
        server(director.nextStep(admit(director, "read", "1"), later)).equals(silent.server()));
  }

  @Test
  public void aBusyServerThatAnswersStaysInUse() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    NextStep.Send first = (NextStep.Send) director.nextStep(admit(director, "read", "1"), NOW);
    AdmittedRequest other = admit(director, "read", "1");
    director.nextStep(other, NOW);
    long soon = NOW + 1_000 * MILLISECOND;
    director.sendEnded(other, first.server(), success(), NOW, soon);
    long later = NOW + 1_600 * MILLISECOND;
    assertEquals(server(director.nextStep(admit(director, "read", "1"), later)), first.server());
  }

  @Test
  public void attemptsEndWithTheRoutesMaximum() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    AdmittedRequest request = admit(director, "read", "1");
    NextStep step = director.nextStep(request, NOW);
    step = director.sendEnded(request, server(step), new SendOutcome.Lost("test"), NOW, NOW);
    step = director.sendEnded(request, server(step), new SendOutcome.Lost("test"), NOW, NOW);
    assertEquals(step, new NextStep.Fail(false));
  }

  @Test
  public void theRetryBudgetEnds() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    int retries = 0;
    for (int number = 0; number < 1_000; number++) {
      AdmittedRequest request =
          tryAdmit(director, "read", "" + number, NOW + number * MILLISECOND * 12);
      if (request == null) {
        continue;
      }
      long now = NOW + number * MILLISECOND * 12;
      NextStep step = director.nextStep(request, now);
      step = director.sendEnded(request, server(step), new SendOutcome.Lost("test"), now, now);
      if (step instanceof NextStep.Send send) {
        retries++;
        director.sendEnded(request, send.server(), success(), now, now + MILLISECOND);
      }
    }
    double requestsInWindow = 10_000 / 12.0;
    assertTrue(retries <= 1.2 * (0.2 * requestsInWindow + 20), "repeats " + retries);
  }

  @Test
  public void anOrganisationIsLimitedToItsRate() {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 4));
    int admitted = 0;
    for (int number = 0; number < 5_000; number++) {
      if (tryAdmit(director, "read", "" + number, NOW + number * MILLISECOND) != null) {
        admitted++;
      }
    }
    assertTrue(admitted <= (100 * 5 + 100) * 1.1 + 20, "admitted " + admitted);
    assertTrue(admitted >= 100 * 5, "admitted " + admitted);
  }

  @Test
  public void aColdServerGetsFewRequestsFromTheWholeFleet() {
    List<FleetMember> members = new ArrayList<>();
    for (int number = 0; number < 12; number++) {
      members.add(TrafficFixture.member("entry-" + number, "north-a", "north"));
    }
    List<ServerRegistration> servers = List.of(TrafficFixture.coldServer("north-a-0", "north-a"));
    Map<Long, Integer> requestsBySecond = new HashMap<>();
    int requestCount = 0;
    for (FleetMember member : members) {
      TrafficDirector director =
          new TrafficDirector(member, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
      director.apply(TrafficFixture.view(routes, servers, Set.of(), members), NOW);
      for (int number = 0; number < 290; number++) {
        long now = NOW + number * 10 * MILLISECOND;
        AdmittedRequest request = tryAdmit(director, "read", "" + number, now);
        if (request != null && director.nextStep(request, now) instanceof NextStep.Send) {
          requestsBySecond.merge((now - NOW) / (1_000 * MILLISECOND), 1, Integer::sum);
          requestCount++;
        }
      }
    }
    for (int requests : requestsBySecond.values()) {
      assertTrue(requests <= 9 * 1.5 + 5, "requests in a second " + requests);
    }
    assertTrue(requestCount > 0, "a cold server gets some requests");
  }

  @DataProvider
  public Object[][] farTimes() {
    return new Object[][] {
      {Duration.ofMillis(10_800_000_000_000L)}, {Duration.ofMillis(Long.MAX_VALUE)}
    };
  }

  /**
   * One server with a time out of range kept an instance from applying any change: a server that
   * drained still got requests, and a restarted instance was never ready.
   */
  @Test(dataProvider = "farTimes")
  public void aServerWithATimeOutOfRangeDoesNotStopTheOthers(Duration cold) {
    List<ServerRegistration> servers = new ArrayList<>(TrafficFixture.servers("north-a", 8));
    TrafficDirector director = director(servers);
    servers.add(TrafficFixture.coldServer("north-a-far", "north-a", cold));
    servers.replaceAll(
        server ->
            server.identifier().equals("north-a-3") ? TrafficFixture.draining(server) : server);
    director.apply(TrafficFixture.view(routes, servers, Set.of()), NOW);
    Set<String> used = new HashSet<>();
    for (int number = 0; number < 100; number++) {
      AdmittedRequest request = admit(director, "read", "" + number);
      used.add(server(director.nextStep(request, NOW)).registration().identifier());
    }
    assertFalse(used.contains("north-a-3"), "" + used);
    assertEquals(used.size() >= 7, true, "" + used);
  }

  @DataProvider
  public Object[][] farReports() {
    return new Object[][] {
      {OptionalLong.of(Long.MAX_VALUE), OptionalLong.of(Long.MAX_VALUE)},
      {OptionalLong.of(Long.MIN_VALUE), OptionalLong.of(Long.MIN_VALUE)},
      {OptionalLong.empty(), OptionalLong.of(10_800_000_000_000L)}
    };
  }

  /** A request that a server had answered failed, as its answer bore a number out of range. */
  @Test(dataProvider = "farReports")
  public void anAnswerWithANumberOutOfRangeIsDelivered(OptionalLong load, OptionalLong cold) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 1));
    AdmittedRequest request = admit(director, "book", "1");
    ServerState server = server(director.nextStep(request, NOW));
    SendOutcome outcome =
        new SendOutcome.Answered(true, false, new SendOutcome.ServerReport(load, cold));
    NextStep step = director.sendEnded(request, server, outcome, NOW, NOW + MILLISECOND);
    assertTrue(step instanceof NextStep.Deliver, "" + step);
    long later = NOW + Duration.ofDays(2).toNanos();
    assertFalse(server.isCold(later), "no report takes a server out for good");
    assertFalse(ServerChoice.isFull(server, later));
  }

  /** A request with such a deadline was answered with an internal error. */
  @Test(dataProvider = "farTimes")
  public void aDeadlineOutOfRangeIsThatOfTheRoute(Duration deadline) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 1));
    RequestAttributes attributes =
        new RequestAttributes(
            "r",
            "rota.example",
            "/read/x",
            Optional.of("key-1"),
            Optional.empty(),
            OptionalLong.of(deadline.toMillis()),
            Duration.ZERO);
    AdmittedRequest request = ((Admission.Admitted) director.admit(attributes, NOW)).request();
    assertEquals(request.deadlineNanoseconds(), NOW + read.timeout().toNanos());
  }

  @DataProvider
  public Object[][] askedDeadlines() {
    return new Object[][] {{OptionalLong.empty(), 2_000 - 300}, {OptionalLong.of(900), 900 - 300}};
  }

  /** A request that had waited for its turn was held longer than its caller waits. */
  @Test(dataProvider = "askedDeadlines")
  public void theDeadlineCountsFromTheArrival(OptionalLong asked, long expectedMilliseconds) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 1));
    RequestAttributes attributes =
        new RequestAttributes(
            "r",
            "rota.example",
            "/read/x",
            Optional.of("key-1"),
            Optional.empty(),
            asked,
            Duration.ofMillis(300));
    AdmittedRequest request = ((Admission.Admitted) director.admit(attributes, NOW)).request();
    assertEquals(request.deadlineNanoseconds(), NOW + expectedMilliseconds * MILLISECOND);
  }

  @DataProvider
  public Object[][] routeKinds() {
    return new Object[][] {{"read", true}, {"book", false}, {"none", false}};
  }

  /** A request that may run only once must not run beside others of its connection. */
  @Test(dataProvider = "routeKinds")
  public void theRouteSaysWhetherARequestMayRunAgain(String route, boolean idempotent) {
    TrafficDirector director = director(TrafficFixture.servers("north-a", 1));
    assertEquals(director.isIdempotent(TrafficFixture.request(route, "1")), idempotent);
  }

  private TrafficDirector director(List<ServerRegistration> servers) {
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    director.apply(TrafficFixture.view(routes, servers, Set.of()), NOW);
    return director;
  }

  private static AdmittedRequest admit(TrafficDirector director, String route, String affinityKey) {
    Admission admission = director.admit(TrafficFixture.request(route, affinityKey), NOW);
    return ((Admission.Admitted) admission).request();
  }

  private static AdmittedRequest tryAdmit(
      TrafficDirector director, String route, String affinityKey, long now) {
    Admission admission = director.admit(TrafficFixture.request(route, affinityKey), now);
    return admission instanceof Admission.Admitted admitted ? admitted.request() : null;
  }

  private static ServerState server(NextStep step) {
    return ((NextStep.Send) step).server();
  }

  private static SendOutcome success() {
    return new SendOutcome.Answered(true, false, NO_REPORT);
  }
}
