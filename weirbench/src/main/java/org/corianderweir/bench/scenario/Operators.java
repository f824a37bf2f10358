package org.corianderweir.bench.scenario;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallerKeys;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;

/** Makes changes as operators do and records those that were accepted. */
final class Operators {
  private static final int MAXIMUM_ATTEMPTS = 20;
  private static final long RETRY_INTERVAL_MILLISECONDS = 250;

  private static final int SHIFT_WEIGHT = 8;
  private static final int SHIFT_CAP_PERCENT_PER_SECOND = 4;
  private static final double PERCENT = 100;

  private final Fleet fleet;
  private final IncidentLog incidents;

  private record SelectorText(String text) {}

  Operators(Fleet fleet, IncidentLog incidents) {
    this.fleet = fleet;
    this.incidents = incidents;
  }

  /** Applies the first configuration; returns whether it was accepted. */
  boolean applyInitialConfiguration() {
    String body = Json.write(fleet.layout().configuration(fleet.advertisedServers()));
    return tryChange(0, "PUT", "/configuration", body).isPresent();
  }

  /** Issues a key; returns empty if no attempt was accepted. */
  Optional<CallerKeys.CallerKey> issueKey(String identifier, String organisation) {
    String target = "/keys/issue?identifier=" + identifier + "&organisation=" + organisation;
    Optional<String> response = Optional.empty();
    for (int count = 0; count < MAXIMUM_ATTEMPTS && response.isEmpty(); count++) {
      response = fleet.client().callOperatorInterface(instance(0), "POST", target, "");
      sleepIf(response.isEmpty());
    }
    return response
        .map(text -> Json.read(text, OperatorMessages.KeyIssued.class))
        .map(issued -> new CallerKeys.CallerKey(identifier, issued.key()));
  }

  /** Withdraws a key. */
  void withdrawKey(String identifier) {
    change(0, "POST", "/keys/withdraw?identifier=" + identifier, "")
        .ifPresent(
            acceptedNanoseconds ->
                incidents.add(new Incident.KeyWithdrawn(identifier, acceptedNanoseconds)));
  }

  /** Drains a backend server. */
  void drain(String server) {
    change(0, "POST", "/drain?server=" + server, "")
        .ifPresent(
            acceptedNanoseconds ->
                incidents.add(new Incident.ServerDrained(server, acceptedNanoseconds)));
  }

  /** Shifts most of the traffic of the first open route to a region. */
  void shiftOpenRoute(String region) {
    Deployment deployment = fleet.layout().deployment();
    Deployment.Route route =
        deployment.routes().stream().filter(Deployment.Route::open).findFirst().orElseThrow();
    String destinations =
        deployment.zones().stream()
            .map(Deployment.Zone::region)
            .distinct()
            .map(
                each ->
                    "where region = %s weight %d"
                        .formatted(each, each.equals(region) ? SHIFT_WEIGHT : 1))
            .collect(Collectors.joining(", "));
    String text =
        "route %s path %s to service %s %s cap %d%% per second open"
            .formatted(
                route.name(),
                route.path(),
                route.service(),
                destinations,
                SHIFT_CAP_PERCENT_PER_SECOND);
    change(0, "POST", "/selectors/set", Json.write(new SelectorText(text)))
        .ifPresent(
            acceptedNanoseconds ->
                incidents.add(
                    new Incident.ShiftStarted(
                        route.path(),
                        SHIFT_CAP_PERCENT_PER_SECOND / PERCENT,
                        acceptedNanoseconds)));
  }

  /** Makes one attempt at a change that only increments the revision. */
  void incrementRevision(int instanceNumber) {
    tryChange(instanceNumber, "POST", "/undrain?server=" + unusedServer(), "");
  }

  /** Lets several operators change the configuration concurrently. */
  void race(int operatorCount) {
    CompletableFuture<?>[] all =
        IntStream.range(0, operatorCount)
            .mapToObj(
                number -> CompletableFuture.runAsync(() -> incrementRevisionRepeatedly(number)))
            .toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(all).join();
  }

  private void incrementRevisionRepeatedly(int number) {
    for (int count = 0; count < MAXIMUM_ATTEMPTS; count++) {
      incrementRevision(number);
      sleepIf(true);
    }
  }

  private String unusedServer() {
    return fleet.layout().backendServers().getLast().name();
  }

  /** Retries a change until it is accepted; returns the monotonic time of the answer. */
  private Optional<Long> change(int instanceNumber, String method, String target, String body) {
    Optional<Long> accepted = Optional.empty();
    for (int count = 0; count < MAXIMUM_ATTEMPTS && accepted.isEmpty(); count++) {
      accepted = tryChange(instanceNumber, method, target, body);
      sleepIf(accepted.isEmpty());
    }
    if (accepted.isEmpty()) {
      incidents.add(
          new Incident.ActionFailed(method + " " + target + " not accepted", System.nanoTime()));
    }
    return accepted;
  }

  private Optional<Long> tryChange(int instanceNumber, String method, String target, String body) {
    Optional<String> response =
        fleet.client().callOperatorInterface(instance(instanceNumber), method, target, body);
    long nowNanoseconds = System.nanoTime();
    response.ifPresent(text -> recordAccepted(text, nowNanoseconds));
    return response.map(text -> nowNanoseconds);
  }

  private void recordAccepted(String text, long nowNanoseconds) {
    long revision = Json.read(text, OperatorMessages.Accepted.class).revision();
    incidents.add(new Incident.RevisionAccepted(revision, nowNanoseconds));
  }

  private EntryInstance instance(int number) {
    List<EntryInstance> instances = fleet.layout().entryInstances();
    return instances.get(number % instances.size());
  }

  private static void sleepIf(boolean condition) {
    if (!condition) {
      return;
    }
    try {
      Thread.sleep(RETRY_INTERVAL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
