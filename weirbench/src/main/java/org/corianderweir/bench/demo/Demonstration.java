package org.corianderweir.bench.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.bench.process.FleetClient;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;

/**
 * Starts the platform, backend servers and entry instances as separate processes, sends requests,
 * changes the configuration meanwhile, and checks what callers and backend servers observed.
 */
public final class Demonstration {
  private static final int INSTANCES_PER_ZONE = 1;
  private static final int SERVERS_PER_SERVICE = 6;
  private static final int REQUEST_COUNT = 18;
  private static final int LOOKUP_INSTANCE_COUNT = 3;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAUTHORISED = 401;
  private static final int FIRST_PEER_EVENT_NUMBER = 3000;
  private static final String KEY_IDENTIFIER = "demo-key";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(3);

  private final DeploymentLayout layout;
  private final PrintStream output;
  private final CheckPrinter checks;
  private final Fleet fleet;
  private final FleetClient client;
  private final DemonstrationCaller caller;
  private final EntryInstance firstInstance;
  private final String organisation;
  private final Deployment.Route openRoute;
  private final Deployment.Route keyedRoute;
  private final Deployment.Route writeRoute;

  /**
   * Prepares a demonstration without starting any process.
   *
   * @param deployment deployment that provides the services, zones and organisations
   * @param firstPort first of the TCP ports that the processes listen on
   * @param output stream that the results are printed to
   */
  public Demonstration(Deployment deployment, int firstPort, PrintStream output) {
    this.output = output;
    checks = new CheckPrinter(output);
    layout =
        new DeploymentLayout(
            deployment.limitedTo(INSTANCES_PER_ZONE, SERVERS_PER_SERVICE), firstPort);
    fleet = new Fleet(layout, new Fleet.Options(directory(), false, true, Duration.ZERO));
    client = fleet.client();
    firstInstance = layout.entryInstances().getFirst();
    caller = new DemonstrationCaller(client, layout.entryInstances());
    organisation = deployment.organisations().getFirst().name();
    openRoute = route(Deployment.Route::open);
    keyedRoute = route(each -> !each.open() && each.idempotent());
    writeRoute = route(each -> !each.open() && !each.idempotent());
  }

  /** Runs the demonstration; returns 0 if all checked promises were kept, 1 otherwise. */
  public int run() {
    output.println("deployment " + layout.deployment().name());
    try (fleet) {
      fleet.start();
      putConfigurationInForce();
      String key = issueKey();
      sendTraffic(key);
      drainServer();
      withdrawKey(key);
      stopInstance();
      checkJournals();
      summariseTimeline();
    }
    int failedCount = checks.failedCount();
    output.println(failedCount == 0 ? "all promises kept" : failedCount + " promises broken");
    return failedCount == 0 ? 0 : 1;
  }

  private Deployment.Route route(Predicate<Deployment.Route> condition) {
    return layout.deployment().routes().stream().filter(condition).findFirst().orElseThrow();
  }

  private static Path directory() {
    try {
      return Files.createTempDirectory("corianderweir-demo");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void putConfigurationInForce() {
    checks.await("the platform stand-in answers", START_TIMEOUT, fleet::publishInstances);
    String configuration = Json.write(layout.configuration(fleet.advertisedServers()));
    checks.await(
        "an operator applies the first configuration",
        START_TIMEOUT,
        () ->
            client
                .callOperatorInterface(firstInstance, "PUT", "/configuration", configuration)
                .isPresent());
    checks.await(
        "it is in force on all " + layout.entryInstances().size() + " entry instances",
        START_TIMEOUT,
        () -> layout.entryInstances().stream().allMatch(each -> client.revisionInForce(each) >= 1));
    checks.await(
        "a look-up names three entry instances",
        IN_FORCE_TIMEOUT,
        () -> caller.lookup().size() == LOOKUP_INSTANCE_COUNT);
  }

  private String issueKey() {
    String key = client.issueKey(firstInstance, KEY_IDENTIFIER, organisation).orElse("");
    checks.await(
        "a key that was just issued is accepted everywhere",
        IN_FORCE_TIMEOUT,
        () -> allRespondWith(key, STATUS_OK));
    return key;
  }

  private boolean allRespondWith(String key, int status) {
    return layout.entryInstances().stream()
        .allMatch(each -> caller.sendTo(each, keyedRoute, key) == status);
  }

  private void sendTraffic(String key) {
    checkAnswered(keyedRoute, key);
    checkAnswered(writeRoute, key);
    checkAnswered(openRoute, "");
    boolean refused = caller.send(writeRoute, "") == STATUS_UNAUTHORISED;
    checks.check(refused, "a keyed route without a key is refused with 401");
  }

  private void checkAnswered(Deployment.Route route, String key) {
    long answered =
        IntStream.range(0, REQUEST_COUNT)
            .filter(number -> caller.send(route, key) == STATUS_OK)
            .count();
    String text =
        "%d of %d %s %s answered".formatted(answered, REQUEST_COUNT, route.method(), route.path());
    checks.check(answered == REQUEST_COUNT, text);
  }

  private void drainServer() {
    BackendServer server =
        layout.backendServers().stream()
            .filter(each -> each.service().equals(openRoute.service()))
            .findFirst()
            .orElseThrow();
    client.callOperatorInterface(firstInstance, "POST", "/drain?server=" + server.name(), "");
    checks.await(
        "the drain of " + server.name() + " is in force everywhere",
        DRAIN_TIMEOUT,
        () -> layout.entryInstances().stream().allMatch(each -> isDrainedAt(each, server)));
    int requestsBefore = client.journal(server).size();
    for (int count = 0; count < REQUEST_COUNT; count++) {
      caller.send(openRoute, "");
    }
    int requestsAfter = client.journal(server).size();
    checks.check(requestsBefore == requestsAfter, "the drained server got no new request");
  }

  private boolean isDrainedAt(EntryInstance instance, BackendServer server) {
    return client
        .configuration(instance)
        .filter(configuration -> isDrained(configuration, server))
        .isPresent();
  }

  private static boolean isDrained(Configuration configuration, BackendServer server) {
    return configuration.backendServers().stream()
        .anyMatch(candidate -> candidate.name().equals(server.name()) && candidate.drained());
  }

  private void withdrawKey(String key) {
    client.callOperatorInterface(
        firstInstance, "POST", "/keys/withdraw?identifier=" + KEY_IDENTIFIER, "");
    checks.await(
        "the withdrawn key is refused by all entry instances",
        IN_FORCE_TIMEOUT,
        () -> allRespondWith(key, STATUS_UNAUTHORISED));
  }

  private void stopInstance() {
    EntryInstance stoppingInstance = layout.entryInstances().getLast();
    caller.exclude(stoppingInstance);
    Process process = fleet.processes().get(stoppingInstance.name());
    process.destroy();
    checks.await(
        "look-ups no longer name the instance that leaves",
        IN_FORCE_TIMEOUT,
        () -> !caller.lookup().contains(stoppingInstance.name()));
    checks.check(exitedSuccessfully(process), "a planned stop ended with exit status 0");
  }

  private static boolean exitedSuccessfully(Process process) {
    try {
      return process.waitFor(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
          && process.exitValue() == 0;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void checkJournals() {
    List<JournalEntry> executed =
        layout.backendServers().stream()
            .flatMap(server -> client.journal(server).stream())
            .filter(JournalEntry::ran)
            .toList();
    checks.check(
        executed.stream().noneMatch(JournalEntry::keySeen),
        "no backend server saw a key (" + executed.size() + " requests ran)");
    long distinctRequests = executed.stream().map(JournalEntry::request).distinct().count();
    checks.check(distinctRequests == executed.size(), "every request ran at most once");
    boolean rightOrganisation =
        executed.stream()
            .filter(entry -> !entry.target().startsWith(openRoute.path()))
            .allMatch(entry -> entry.organisation().equals(organisation));
    checks.check(rightOrganisation, "keyed requests ran for the organisation of their key");
  }

  private void summariseTimeline() {
    List<TimelineEvent> events =
        layout.entryInstances().stream()
            .flatMap(instance -> client.timeline(instance).stream())
            .sorted((left, right) -> left.timestamp().compareTo(right.timestamp()))
            .toList();
    checks.check(!events.isEmpty(), "the time line has " + events.size() + " events");
    events.stream()
        .filter(event -> event.code().number() < FIRST_PEER_EVENT_NUMBER)
        .forEach(this::print);
  }

  private void print(TimelineEvent event) {
    output.printf(
        "  %d.%d %s %s %s %s%n",
        event.timestamp().wallMilliseconds(),
        event.timestamp().counter(),
        event.process(),
        event.code().title(),
        event.subject(),
        event.detail());
  }
}
