package org.corianderweir.bench.metadata;

import static org.corianderweir.bench.metadata.EntryInstanceFixture.HOST;
import static org.corianderweir.bench.metadata.EntryInstanceFixture.REQUEST_TIMEOUT;
import static org.corianderweir.bench.metadata.EntryInstanceFixture.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.command.FleetExplanation;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.operator.FleetListing;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests of {@code weirctl explain request} against three whole entry instances with six servers, of
 * which one drains, one is cold, one pauses and one is full. The monotonic time of the instances is
 * stopped, so that neither loads nor reports age between an explanation and the request after it.
 */
public class ExplainFleetTest {
  private static final int OBJECT_COUNT = 50;

  /** A key of its own, as another test's callers may reach a port that was free a moment ago. */
  private static final String KEY = "key-of-this-test";

  private static final String SAMPLE = "--host rota.example --path /read/x --key " + KEY;

  private final StoppableTimeSource time = new StoppableTimeSource();
  private final ServerStandIn draining = new ServerStandIn("server-draining", HOST, 0);
  private final ServerStandIn cold = new ServerStandIn("server-cold", HOST, 0);
  private final ServerStandIn pausing = new ServerStandIn("server-pausing", HOST, 0);
  private final ServerStandIn full = new ServerStandIn("server-full", HOST, 0);
  private final List<ServerStandIn> unusual = List.of(draining, cold, pausing, full);
  private final List<ServerStandIn> servers = new ArrayList<>();
  private final List<EntrySettings> instances = new ArrayList<>();
  private EntryInstanceFixture fixture;
  private EntryInstanceFixture.Newcomer second;
  private EntryInstanceFixture.Newcomer third;

  /** What an explanation must not change. */
  private record State(
      List<Integer> requestsAtServers, List<String> metrics, List<List<Object>> decisions) {}

  /**
   * Starts the instances and servers, stops their time, and lets each instance learn by requests
   * which servers pause or are full.
   */
  @BeforeClass
  public void start() throws Exception {
    fixture = new EntryInstanceFixture(time);
    servers.addAll(fixture.servers());
    pausing.setFault(ServerStandIn.Fault.PAUSES);
    full.setFault(ServerStandIn.Fault.FULL);
    // A request that timed out on a busy machine would reach a second server.
    String patient = StoreValues.configuration(2, 1_000).replace(",2000,600,", ",60000,600,");
    fixture.store().put("op/config", patient.replace("key-1", KEY));
    for (ServerStandIn server : unusual) {
      server.start();
      servers.add(server);
      String value =
          EntryInstanceFixture.registration(server, server == draining ? "draining" : "ready");
      fixture
          .store()
          .put(
              "servers/" + server.identifier(),
              server == cold
                  ? value.replace("\"coldRemainingMs\":0", "\"coldRemainingMs\":600000")
                  : value);
    }
    second = fixture.startAnother("entry-2", time);
    third = fixture.startAnother("entry-3", time);
    second.awaitReady();
    third.awaitReady();
    instances.addAll(List.of(fixture.settings(), second.settings(), third.settings()));
    await(() -> instances.stream().allMatch(this::knowsTheFleet));
    time.stop();
    for (EntrySettings instance : instances) {
      for (int number = 0; number < OBJECT_COUNT; number++) {
        request(instance, "known-" + number, instance.name() + "-known-" + number);
      }
    }
  }

  /** Lets the time run again, which a planned stop needs, and stops all. */
  @AfterClass
  public void stop() throws Exception {
    time.resume();
    third.close();
    second.close();
    fixture.close();
    unusual.forEach(ServerStandIn::stop);
  }

  /** An explanation from other code, or from older knowledge, named a server that was not used. */
  @Test
  public void explainedServerIsTheOneThatTheNextRequestReaches() throws Exception {
    Set<String> reached = new HashSet<>();
    for (int number = 0; number < OBJECT_COUNT; number++) {
      EntrySettings instance = instances.get(number % instances.size());
      String identifier = "probe-" + number;
      RequestExplanation explanation = explain(instance, "object-" + number);
      request(instance, "object-" + number, identifier);
      assertEquals(explanation.instance(), instance.name());
      assertTrue(explanation.outcome().server().isPresent(), explanation.toString());
      assertEquals(serverThatRan(identifier), explanation.outcome().server(), identifier);
      reached.add(explanation.outcome().server().get());
    }
    assertTrue(reached.size() > 1, reached.toString());
  }

  /** A server was passed over, or not shown at all, without the reason that matters. */
  @Test
  public void reasonIsNamedForServersThatGetNothing() throws Exception {
    for (EntrySettings instance : instances) {
      Set<String> reasons = new HashSet<>();
      for (int number = 0; number < OBJECT_COUNT; number++) {
        for (RequestExplanation.Candidate candidate :
            explain(instance, "object-" + number).candidates()) {
          reasons.add(
              candidate.server() + ", " + candidate.condition() + ": " + candidate.reason());
        }
      }
      assertTrue(
          reasons.containsAll(
              List.of(
                  "server-draining, draining: its registration says that it drains",
                  "server-cold, cold: it is cold, and this instance's share of its rate is used or"
                      + " belongs to others",
                  "server-pausing, pausing: it asked for a pause",
                  "server-full, healthy: its queue is full")),
          instance.name() + ": " + reasons);
    }
  }

  /** An explanation sent something, or used up a limit, a budget or a turn of the rotation. */
  @Test
  public void explanationsLeaveTheStateAsItIs() throws Exception {
    State before = state();
    for (EntrySettings instance : instances) {
      for (int number = 0; number < 10 * OBJECT_COUNT; number++) {
        explain(instance, "other-" + number);
      }
    }
    assertEquals(state(), before);
  }

  /** The list of instances came from a place that does not know all of them. */
  @Test
  public void allInstancesAreAskedByName() {
    String seed = " --instances " + HOST + ":" + instances.get(1).metricsPort();
    ControlRun text = run(" --object o-1 --all" + seed);
    assertEquals(text.status(), ExitStatus.OK, text.errors());
    assertTrue(text.output().startsWith("3 instances, listed by entry-2 at revision "));
    ControlRun json = run(" --object o-1 --all --output json" + seed);
    FleetExplanation fleet = Json.read(json.output(), FleetExplanation.class);
    assertEquals(
        fleet.explanations().stream().map(RequestExplanation::instance).toList(),
        List.of("entry-1", "entry-2", "entry-3"));
    assertEquals(fleet.problems(), List.of());
    assertTrue(
        fleet.explanations().stream()
            .allMatch(explanation -> explanation.basis().orElseThrow().revision() > 0));
    ControlRun named = run(" --at entry-3" + seed);
    assertTrue(named.output().startsWith("instance entry-3, "), named.output());
    assertFalse((text.output() + json.output() + named.output()).contains(KEY));
    assertEquals(run(" --at entry-4" + seed).status(), ExitStatus.FAILED);
    assertEquals(run(" --all --region nowhere" + seed).status(), ExitStatus.USAGE);
    assertEquals(run(" --all --at entry-3" + seed).status(), ExitStatus.USAGE);
  }

  private boolean knowsTheFleet(EntrySettings instance) {
    try {
      FleetListing listing =
          Json.read(get(instance, FleetListing.ENDPOINT_PATH).bodyText(), FleetListing.class);
      String metrics = get(instance, "/metrics").bodyText();
      return listing.instances().size() == 3
          && explain(instance, "object").configurationVersion() == 2
          && metrics.contains("corianderweir_servers_draining 1\n")
          && metrics.contains("corianderweir_servers_cold 1\n")
          && metrics.contains("corianderweir_servers_healthy 4\n");
    } catch (Exception failure) {
      return false;
    }
  }

  private State state() throws Exception {
    List<String> metrics = new ArrayList<>();
    List<List<Object>> decisions = new ArrayList<>();
    for (EntrySettings instance : instances) {
      get(instance, "/metrics")
          .bodyText()
          .lines()
          .filter(line -> line.matches("corianderweir_(requests_status_200|sends|servers)_.*"))
          .map(line -> instance.name() + ' ' + line)
          .forEach(metrics::add);
      for (int number = 0; number < OBJECT_COUNT; number++) {
        RequestExplanation explanation = explain(instance, "object-" + number);
        decisions.add(List.of(explanation.candidates(), explanation.outcome()));
      }
    }
    assertFalse(metrics.isEmpty());
    List<Integer> requests =
        servers.stream()
            .map(server -> server.executedRequests().size() + server.refusedRequestCount())
            .toList();
    return new State(requests, metrics, decisions);
  }

  private RequestExplanation explain(EntrySettings instance, String object) throws Exception {
    HttpHeaders headers = HttpHeaders.NONE.with("Explained-Access-Key", KEY);
    String target = "/explain?host=rota.example&path=/read/x&method=GET&bodyBytes=0&object=";
    HttpResponse response =
        exchange(
            new HttpAddress(HOST, instance.metricsPort()),
            new HttpRequest("GET", target + object, headers, new byte[0]));
    return Json.read(response.bodyText(), RequestExplanation.class);
  }

  private void request(EntrySettings instance, String object, String identifier) throws Exception {
    HttpHeaders headers =
        HttpHeaders.NONE
            .with("Host", "rota.example")
            .with("Request-Id", identifier)
            .with("X-Api-Key", KEY)
            .with("Affinity-Key", object);
    exchange(instance.callerAddress(), new HttpRequest("GET", "/read/x", headers, new byte[0]));
  }

  private HttpResponse get(EntrySettings instance, String path) throws Exception {
    return exchange(new HttpAddress(HOST, instance.metricsPort()), HttpRequest.of("GET", path));
  }

  private HttpResponse exchange(HttpAddress address, HttpRequest request) throws Exception {
    return fixture
        .caller()
        .exchange(address, request, REQUEST_TIMEOUT)
        .get(REQUEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private Optional<String> serverThatRan(String identifier) {
    return servers.stream()
        .filter(
            server ->
                server.executedRequests().stream()
                    .flatMap(request -> request.headers().first("Request-Id").stream())
                    .anyMatch(identifier::equals))
        .map(ServerStandIn::identifier)
        .findFirst();
  }

  private static ControlRun run(String arguments) {
    return ControlRun.of("explain request " + SAMPLE + arguments);
  }
}
