package org.corianderweir.bench.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.deployment.DeploymentFiles;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.load.ArrivalSchedule;
import org.corianderweir.bench.load.CallJournal;
import org.corianderweir.bench.load.CallRecord;
import org.corianderweir.bench.load.CallerKeys;
import org.corianderweir.bench.load.CallerZones;
import org.corianderweir.bench.load.LoadGenerator;
import org.corianderweir.bench.load.LoadPlan;
import org.corianderweir.bench.load.RequestSender;
import org.corianderweir.bench.metadata.ControlRun;
import org.corianderweir.bench.observer.DrainAndStopChecks;
import org.corianderweir.bench.observer.Evidence;
import org.corianderweir.bench.observer.ExecutionChecks;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.bench.observer.KeyChecks;
import org.corianderweir.bench.observer.RateCheck;
import org.corianderweir.bench.observer.Verdict;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.bench.process.FleetClient;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.command.FleetExplanation;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Runs a platform stand-in, a process of backend servers and three entry instances, connected
 * through relays. Checks only promises whose verdict does not depend on the speed of the machine.
 */
public final class FleetSmokeTest {
  private static final long SEED = 20_261;
  private static final Duration LOAD_DURATION = Duration.ofSeconds(2);
  private static final Duration LOAD_END_TIMEOUT = Duration.ofSeconds(60);
  private static final double LIGHT_LOAD_FACTOR = 0.15;
  private static final double FLOOD_FACTOR = 20;

  private final IncidentLog incidents = new IncidentLog();
  private final CallerKeys keys = new CallerKeys();
  private DeploymentLayout layout;
  private Fleet fleet;
  private Operators operators;

  @BeforeClass
  void startFleet() throws IOException {
    layout =
        new DeploymentLayout(
            DeploymentFiles.read("huron").firstZones(3).limitedTo(1, 3), freePort());
    Fleet.Options options =
        new Fleet.Options(
            Files.createTempDirectory("corianderweir-smoke"), true, false, Duration.ZERO);
    fleet = new Fleet(layout, options);
    fleet.start();
    operators = new Operators(fleet, incidents);
    new FleetSetup(fleet, operators).run(keys);
  }

  @AfterClass(alwaysRun = true)
  void stopFleet() {
    if (fleet != null) {
      fleet.close();
    }
  }

  @Test
  public void servesKeyedAndOpenRoutes() {
    Evidence evidence = sendLoad(SEED);
    Set<Boolean> answeredWithKey =
        evidence.calls().stream()
            .filter(call -> call.outcome() == CallRecord.Outcome.ANSWERED)
            .map(call -> !call.organisation().isEmpty())
            .collect(Collectors.toSet());
    assertEquals(answeredWithKey, Set.of(true, false), "seed " + SEED);
    assertEquals(brokenPromises(evidence), List.of(), "seed " + SEED);
  }

  /** The command asked only instances with --platform, or another decision than the served one. */
  @Test(dependsOnMethods = "servesKeyedAndOpenRoutes")
  public void requestIsExplainedByTheOperatorsInterface() {
    Deployment deployment = layout.deployment();
    String organisation = deployment.organisations().getFirst().name();
    Deployment.Route keyed =
        deployment.routes().stream().filter(route -> !route.open()).findFirst().orElseThrow();
    BackendServer drained =
        layout.backendServers().stream()
            .filter(server -> server.service().equals(keyed.service()))
            .findFirst()
            .orElseThrow();
    operators.drain(drained.name());
    awaitInForce();
    String key = keys.of(organisation).text();
    String sample = "--host h --path " + keyed.path();
    int requestsBefore = fleet.journal().size();
    String output = explain(ExitStatus.OK, sample + " --key " + key);
    FleetExplanation explained = Json.read(output, FleetExplanation.class);
    assertEquals(explained.problems(), List.of());
    assertEquals(explained.explanations().size(), layout.entryInstances().size());
    for (RequestExplanation explanation : explained.explanations()) {
      assertEquals(explanation.route(), Optional.of(keyed.name()));
      assertEquals(explanation.organisation(), Optional.of(organisation));
      assertNotEquals(explanation.outcome().decision(), "reject");
      assertEquals(
          explanation.candidates().stream()
              .filter(candidate -> candidate.server().equals(drained.name()))
              .map(RequestExplanation.Candidate::reason)
              .toList(),
          List.of("is drained"));
    }
    assertEquals(output.contains(key), false);
    FleetExplanation withoutKey = Json.read(explain(ExitStatus.OK, sample), FleetExplanation.class);
    assertEquals(
        withoutKey.explanations().stream()
            .map(explanation -> explanation.outcome().reason().orElse(""))
            .collect(Collectors.toSet()),
        Set.of("key-missing"));
    explain(ExitStatus.USAGE, sample + " --region nowhere");
    assertEquals(fleet.journal().size(), requestsBefore);
  }

  private String explain(ExitStatus expected, String arguments) {
    EntryInstance seed = layout.entryInstances().getFirst();
    ControlRun run =
        ControlRun.of(
            "explain request --all --output json --instances %s:%d --credential %s %s"
                .formatted(
                    seed.host(), seed.operatorPort(), FleetClient.OPERATOR_CREDENTIAL, arguments));
    assertEquals(run.status(), expected, run.errors());
    return run.output();
  }

  @Test(dependsOnMethods = "requestIsExplainedByTheOperatorsInterface")
  public void aWithdrawnKeyIsRefusedOnceItIsInForce() {
    String organisation = layout.deployment().organisations().getFirst().name();
    operators.withdrawKey(FleetSetup.keyIdentifier(organisation));
    awaitInForce();
    Evidence evidence = sendLoad(SEED + 1);
    Set<String> outcomes =
        evidence.calls().stream()
            .filter(call -> call.organisation().equals(organisation))
            .map(CallRecord::refusal)
            .collect(Collectors.toSet());
    assertEquals(outcomes, Set.of("key-rejected"), "seed " + (SEED + 1));
  }

  @Test(dependsOnMethods = "aWithdrawnKeyIsRefusedOnceItIsInForce")
  public void aPlannedStopCutsNoRequest() {
    EntryInstance stoppingInstance = layout.entryInstances().getLast();
    CallJournal calls = new CallJournal();
    try (CallerZones callers =
        CallerZones.steered(layout, fleet.advertisedInstances(), SEED + 2, keys, calls)) {
      LoadGenerator load = load(callers, SEED + 2, List.of());
      load.start();
      stop(stoppingInstance);
      assertEquals(load.awaitEnd(LOAD_END_TIMEOUT), true, "the load ended");
    }
    Verdict verdict = DrainAndStopChecks.plannedStopsFailNoRequest(evidence(calls));
    assertEquals(verdict, Verdict.of(verdict.promise(), 1, List.of()), "seed " + (SEED + 2));
  }

  @Test(dependsOnMethods = "aPlannedStopCutsNoRequest")
  public void callersThatGoAroundTheFleetBreakTheRate() {
    CallJournal calls = new CallJournal();
    String flooding = layout.deployment().organisations().getLast().name();
    LoadPlan.Surge flood = new LoadPlan.Surge(flooding, Duration.ZERO, LOAD_DURATION, FLOOD_FACTOR);
    try (CallerZones callers =
        CallerZones.direct(layout, fleet.advertisedServers(), SEED + 3, calls)) {
      LoadGenerator load = load(callers, SEED + 3, List.of(flood));
      load.start();
      assertEquals(load.awaitEnd(LOAD_END_TIMEOUT), true, "the load ended");
    }
    assertEquals(new RateCheck().check(evidence(calls)).kept(), false, "seed " + (SEED + 3));
  }

  private Evidence sendLoad(long seed) {
    CallJournal calls = new CallJournal();
    try (CallerZones callers =
        CallerZones.steered(layout, fleet.advertisedInstances(), seed, keys, calls)) {
      LoadGenerator load = load(callers, seed, List.of());
      load.start();
      assertEquals(load.awaitEnd(LOAD_END_TIMEOUT), true, "the load ended");
    }
    return evidence(calls);
  }

  private LoadGenerator load(RequestSender callers, long seed, List<LoadPlan.Surge> surges) {
    LoadPlan plan = new LoadPlan(seed, LOAD_DURATION, LIGHT_LOAD_FACTOR, surges, Optional.empty());
    return new LoadGenerator(
        ArrivalSchedule.generate(layout.deployment(), plan), callers, System.nanoTime());
  }

  private Evidence evidence(CallJournal calls) {
    return new Evidence(
        layout.deployment(),
        layout.backendServers(),
        calls.records(),
        fleet.journal(),
        List.of(),
        fleet.networkConditions().meter().samples(),
        incidents.incidents());
  }

  private static List<String> brokenPromises(Evidence evidence) {
    return List.of(
            new RateCheck().check(evidence),
            KeyChecks.backendServersSeeNoKeys(evidence),
            KeyChecks.requestsRunForOwnOrganisation(evidence),
            KeyChecks.keyedRoutesNeedKeys(evidence),
            ExecutionChecks.runsAtMostOnce(evidence),
            ExecutionChecks.notRunRefusalsAreCorrect(evidence),
            ExecutionChecks.answersMatchRequests(evidence),
            ExecutionChecks.answersComeFromRuns(evidence))
        .stream()
        .filter(verdict -> !verdict.kept())
        .map(Verdict::toString)
        .toList();
  }

  private void stop(EntryInstance instance) {
    Process process = fleet.processes().get(instance.name());
    long requestedNanoseconds = System.nanoTime();
    process.destroy();
    FleetSetup.await("the stopped instance has ended", () -> !process.isAlive());
    incidents.add(
        new Incident.InstanceStopped(
            instance.name(), requestedNanoseconds, System.nanoTime(), process.exitValue()));
  }

  private void awaitInForce() {
    long highest =
        incidents.incidents().stream()
            .filter(Incident.RevisionAccepted.class::isInstance)
            .mapToLong(each -> ((Incident.RevisionAccepted) each).revision())
            .max()
            .orElseThrow();
    FleetSetup.await(
        "revision " + highest + " is in force everywhere",
        () ->
            layout.entryInstances().stream()
                .allMatch(instance -> fleet.client().revisionInForce(instance) >= highest));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }
}
