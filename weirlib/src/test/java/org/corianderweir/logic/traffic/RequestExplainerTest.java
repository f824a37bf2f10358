package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.corianderweir.logic.admission.Assessment;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.ServiceSettings;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;
import org.corianderweir.protocol.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the explanations of {@link TrafficDirector}. */
public class RequestExplainerTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final String KEY = "key-1";

  /** Values that follow from the view of the fleet alone and are computed when first needed. */
  private static final Set<String> CACHES = Set.of("placements", "coldServerOwnerCounts");

  private static final List<String> SERVICES = List.of("desk", "annex");

  /** Latency of answers that come late, so that the gate measures a shortage. */
  private static final long LATE = Duration.ofMillis(1_500).toNanos();

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {
      {1L, false}, {2L, false}, {3L, false}, {4L, false}, {5L, false}, {6L, false}, {7L, false},
      {8L, false}, {1L, true}, {2L, true}, {3L, true}, {4L, true}, {5L, true}, {6L, true},
      {7L, true}, {8L, true}
    };
  }

  /**
   * An explanation that used up a limit, a budget or a turn of the rotation, or that counted as
   * demand, would change what callers get. Explains before each request of a random load with lost,
   * slow and refused sends.
   */
  @Test(dataProvider = "seeds")
  public void explanationChangesNothingAndAgreesWithTheDecision(long seed, boolean shortage) {
    Set<String> outcomes = new HashSet<>();
    List<String> explained = run(seed, shortage, Optional.of(outcomes));
    // The state of the random source for the time to return is not seen in the fields.
    assertEquals(explained, run(seed, shortage, Optional.empty()));
    assertEquals(outcomes.contains("reject NO_ROOM"), shortage, outcomes.toString());
    assertTrue(outcomes.containsAll(Set.of("send", "reject OVER_LIMIT")), outcomes.toString());
  }

  /** A request that waits at the instance was not explained. */
  @Test
  public void waitsAreExplainedUnderShortageOnly() {
    Map<Boolean, Set<String>> outcomes = Map.of(true, new HashSet<>(), false, new HashSet<>());
    for (Object[] load : seeds()) {
      run((long) load[0], (boolean) load[1], Optional.of(outcomes.get((boolean) load[1])));
    }
    assertTrue(outcomes.get(true).contains("wait"), outcomes.toString());
    assertFalse(outcomes.get(false).contains("wait"), outcomes.toString());
  }

  /**
   * Runs a random load and returns the decisions.
   *
   * @param outcomes gets the explained outcomes; if absent, nothing is explained
   */
  private static List<String> run(long seed, boolean shortage, Optional<Set<String>> outcomes) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    director.apply(view(random, shortage), NOW);
    List<String> decisions = new ArrayList<>();
    List<NextStep.Send> open = new ArrayList<>();
    List<AdmittedRequest> openRequests = new ArrayList<>();
    long now = NOW;
    for (int number = 0; number < 600; number++) {
      now += random.nextLong(12 * MILLISECOND);
      RequestAttributes attributes =
          request(List.of("mixed", "desk", "annex", "none").get(random.nextInt(4)), number % 9);
      int bodyBytes = random.nextInt(50) == 0 ? 2_000 : 0;
      Optional<RequestExplanation> explanation = Optional.empty();
      if (outcomes.isPresent()) {
        String before = describe(director);
        explanation = Optional.of(director.explain(attributes, bodyBytes, "north", now));
        assertEquals(describe(director), before, "request " + number);
        outcomes.get().add(describeOutcome(explanation.get().outcome()));
      }
      switch (director.admit(attributes, bodyBytes, now)) {
        case Admission.Rejected rejected -> {
          explanation.ifPresent(found -> assertAgrees(found, rejected));
          decisions.add(rejected.toString());
        }
        case Admission.Admitted admitted -> {
          NextStep step = director.nextStep(admitted.request(), now);
          long decided = now;
          explanation.ifPresent(found -> assertAgrees(found, admitted.request(), step, decided));
          if (step instanceof NextStep.Send send) {
            decisions.add(send.server().registration().identifier());
            open.add(send);
            openRequests.add(admitted.request());
          } else {
            decisions.add(step.toString());
          }
        }
      }
      if (!open.isEmpty() && random.nextInt(3) > 0) {
        int index = random.nextInt(open.size());
        AdmittedRequest ended = openRequests.remove(index);
        ServerState server = open.remove(index).server();
        long sent = now - (shortage ? LATE - random.nextLong(LATE / 2) : 20 * MILLISECOND);
        if (director.sendEnded(ended, server, outcome(random), sent, now)
            instanceof NextStep.Send again) {
          open.add(again);
          openRequests.add(ended);
        }
      }
    }
    return decisions;
  }

  private static void assertAgrees(RequestExplanation explanation, Admission.Rejected rejected) {
    assertEquals(explanation.admission(), "rejected: " + rejected.reason());
    assertEquals(
        explanation.outcome(),
        RequestExplanation.Outcome.reject(rejected.reason(), rejected.retryAfter().toMillis()));
  }

  private static void assertAgrees(
      RequestExplanation explanation, AdmittedRequest request, NextStep step, long nowNanoseconds) {
    assertEquals(explanation.service(), Optional.of(request.service()));
    assertEquals(
        explanation.capacity().map(RequestExplanation.Capacity::cause),
        request.assessment().map(Assessment::cause));
    RequestExplanation.Outcome outcome = explanation.outcome();
    switch (step) {
      case NextStep.Send send ->
          assertEquals(
              outcome, RequestExplanation.Outcome.send(send.server().registration().identifier()));
      case NextStep.Wait wait ->
          assertEquals(
              outcome,
              RequestExplanation.Outcome.waiting(
                  (wait.untilNanoseconds() - nowNanoseconds) / MILLISECOND));
      case NextStep.Reject reject -> {
        long retryAfter =
            reject.reason() == RejectionReason.NO_ROOM
                ? outcome.retryAfterMilliseconds().orElseThrow()
                : reject.retryAfter().toMillis();
        assertEquals(outcome, RequestExplanation.Outcome.reject(reject.reason(), retryAfter));
      }
      case NextStep.Fail fail -> fail(fail.toString());
      case NextStep.Deliver deliver -> fail(deliver.toString());
    }
  }

  private static String describeOutcome(RequestExplanation.Outcome outcome) {
    return outcome.decision() + outcome.reason().map(reason -> " " + reason).orElse("");
  }

  /** Each reason for which a server is passed over is named. */
  @Test
  public void candidatesHaveReasons() {
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    List<ServerRegistration> servers = TrafficFixture.servers("north-a", 4);
    director.apply(TrafficFixture.view(List.of(route("desk", "desk")), servers, Set.of()), NOW);
    Map<Integer, SendOutcome> outcomes =
        Map.of(0, new SendOutcome.Unreachable(), 1, new SendOutcome.NotRun(false, paused()));
    for (int number = 0; number < 2; number++) {
      AdmittedRequest request =
          ((Admission.Admitted) director.admit(request("desk", 1), NOW)).request();
      NextStep.Send send = (NextStep.Send) director.nextStep(request, NOW);
      director.sendEnded(request, send.server(), outcomes.get(number), NOW, NOW);
    }
    RequestExplanation explanation =
        director.explain(request("desk", 1), 0, "north", NOW + MILLISECOND);
    List<String> reasons =
        explanation.candidates().stream().map(RequestExplanation.Candidate::reason).toList();
    assertTrue(
        reasons.contains(ServerSearch.Verdict.EJECTED.reason())
            && reasons.contains(ServerSearch.Verdict.PAUSING.reason())
            && reasons.contains("lowest expected latency")
            && reasons.contains("higher expected latency"),
        reasons.toString());
    assertEquals(
        explanation.candidates().stream()
            .filter(RequestExplanation.Candidate::taken)
            .map(RequestExplanation.Candidate::server)
            .toList(),
        explanation.outcome().server().stream().toList());
  }

  /** An access key belongs to a caller; an explanation is shown on screens and in tickets. */
  @Test
  public void explanationDoesNotHoldTheKey() {
    TrafficDirector director =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    director.apply(
        TrafficFixture.view(
            List.of(route("desk", "desk")), TrafficFixture.servers("north-a", 2), Set.of()),
        NOW);
    RequestExplanation explanation = director.explain(request("desk", 1), 0, "north", NOW);
    assertEquals(explanation.organisation(), Optional.of("club"));
    assertTrue(explanation.limit().isPresent());
    String json = Json.write(explanation);
    assertFalse(json.contains(KEY), json);
    assertEquals(Json.read(json, RequestExplanation.class), explanation);
  }

  private static SendOutcome outcome(UniformRandomProvider random) {
    return switch (random.nextInt(8)) {
      case 0 -> new SendOutcome.Unreachable();
      case 1 -> new SendOutcome.NotRun(false, paused());
      case 2 -> new SendOutcome.TimedOut();
      default -> new SendOutcome.Answered(true, false, load(random.nextInt(14)));
    };
  }

  private static SendOutcome.ServerReport paused() {
    return new SendOutcome.ServerReport(
        ServerLoad.NONE, OptionalLong.empty(), false, Duration.ofMillis(200));
  }

  private static SendOutcome.ServerReport load(long requests) {
    return new SendOutcome.ServerReport(
        ServerLoad.of(
            OptionalLong.of(requests),
            OptionalLong.of(0),
            OptionalLong.empty(),
            OptionalLong.of(60 + 20 * requests)),
        OptionalLong.empty());
  }

  private static FleetView view(UniformRandomProvider random, boolean largeRequests) {
    Map<String, ServerRegistration> servers = new HashMap<>();
    for (String zone : List.of("north-a", "south-a")) {
      for (int number = 0; number < 10; number++) {
        ServerRegistration server =
            random.nextInt(5) == 0
                ? TrafficFixture.coldServer(zone + '-' + number, zone)
                : TrafficFixture.server(zone + '-' + number, zone);
        servers.put(
            server.identifier(),
            new ServerRegistration(
                server.identifier(),
                SERVICES.get(number % 2),
                server.host(),
                server.port(),
                zone,
                server.slots(),
                random.nextInt(8) == 0,
                server.coldRemaining(),
                server.startedMilliseconds()));
      }
    }
    TrafficRoute mixed =
        withServices(
            route("mixed", "desk"),
            List.of(new WeightedService("desk", 3), new WeightedService("annex", 2)));
    List<TrafficRoute> routes =
        new ArrayList<>(List.of(mixed, route("desk", "desk"), route("annex", "annex")));
    if (largeRequests) {
      routes.add(TrafficFixture.route("upload", RequestKind.UPLOAD, Set.of()));
    }
    ServiceSettings desk = new ServiceSettings("desk", "/health", 100, Duration.ofSeconds(3), 9);
    ServiceSettings annex = new ServiceSettings("annex", "/health", 100, Duration.ofSeconds(3), 9);
    TrafficConfiguration configuration =
        new TrafficConfiguration(
            1,
            routes,
            Map.of("desk", desk, "annex", annex),
            List.of(TrafficFixture.organisation(60, 20, Set.of(KEY))),
            new CallerLimits(1000, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    return new FleetView(
        Optional.of(new TrafficIndex(configuration)),
        servers,
        Set.of(),
        List.of(TrafficFixture.SELF, TrafficFixture.member("entry-2", "south-a", "south")),
        Optional.empty(),
        1);
  }

  private static TrafficRoute route(String name, String service) {
    TrafficRoute route = TrafficFixture.route(name, true, Set.of());
    return withServices(route, List.of(new WeightedService(service, 1)));
  }

  private static TrafficRoute withServices(TrafficRoute route, List<WeightedService> services) {
    return new TrafficRoute(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        route.timeout(),
        route.targetLatency(),
        route.priority(),
        services,
        route.maximumAttempts(),
        false,
        route.sticky(),
        route.allowedRegions());
  }

  private static RequestAttributes request(String route, int object) {
    return new RequestAttributes(
        "request",
        "rota.example",
        "/" + route + "/x",
        Optional.of(KEY),
        Optional.of("object-" + object),
        OptionalLong.empty(),
        Duration.ZERO);
  }

  /** Returns all fields of an object and of what it refers to as text. */
  private static String describe(Object value) {
    StringBuilder text = new StringBuilder();
    describe(value, text);
    return text.toString();
  }

  private static void describe(Object value, StringBuilder text) {
    switch (value) {
      case null -> text.append("null");
      case Map<?, ?> map ->
          map.entrySet().stream()
              .map(entry -> describe(entry.getKey()) + '=' + describe(entry.getValue()))
              .sorted()
              .forEach(entry -> text.append(entry).append(';'));
      case Set<?> set ->
          set.stream().map(RequestExplainerTest::describe).sorted().forEach(text::append);
      case Collection<?> collection -> collection.forEach(element -> describe(element, text));
      case Optional<?> optional -> optional.ifPresent(element -> describe(element, text));
      case long[] numbers -> text.append(Arrays.toString(numbers));
      case Enum<?> constant -> text.append(constant.name());
      default -> {
        if (value.getClass().getName().startsWith("org.corianderweir")) {
          describeFields(value, text);
        } else {
          text.append(value);
        }
      }
    }
    text.append(',');
  }

  private static void describeFields(Object value, StringBuilder text) {
    text.append(value.getClass().getSimpleName()).append('{');
    for (Field field : value.getClass().getDeclaredFields()) {
      if (!Modifier.isStatic(field.getModifiers()) && !CACHES.contains(field.getName())) {
        try {
          field.setAccessible(true);
          text.append(field.getName()).append(':');
          describe(field.get(value), text);
        } catch (IllegalAccessException impossible) {
          throw new IllegalStateException(impossible);
        }
      }
    }
    text.append('}');
  }
}
