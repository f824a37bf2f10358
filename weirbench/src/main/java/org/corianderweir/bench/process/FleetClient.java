package org.corianderweir.bench.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.corianderweir.bench.backend.BackendStandIn;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.backend.ServerSwitches;
import org.corianderweir.daemon.operator.OperatorService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;

/** Calls the processes of a fleet, as operators and the test bench do. All calls block. */
public final class FleetClient implements AutoCloseable {
  /** The operators' credential in all settings files of the test bench. */
  public static final String OPERATOR_CREDENTIAL = "bench-operators";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final int RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024;
  private static final int STATUS_OK = 200;

  private final HttpClient client =
      new HttpClient(
          new HttpClientOptions("fleet", CALL_TIMEOUT, CALL_TIMEOUT, RESPONSE_LIMIT_BYTES));

  private record InstanceList(List<ListedInstance> instances) {}

  /** Starts the client's threads. */
  public void start() {
    client.start();
  }

  /** Sends a request; returns empty if there was no answer. */
  public Optional<HttpResponse> call(HttpAddress address, HttpRequest request) {
    try {
      return Optional.of(client.exchange(address, request, CALL_TIMEOUT).join());
    } catch (CompletionException failure) {
      return Optional.empty();
    }
  }

  /** Calls the operator interface and returns the body; empty unless the status was 200. */
  public Optional<String> callOperatorInterface(
      EntryInstance instance, String method, String target, String body) {
    HttpHeaders headers =
        HttpHeaders.NONE.with(OperatorService.CREDENTIAL_HEADER, OPERATOR_CREDENTIAL);
    HttpRequest request =
        new HttpRequest(method, target, headers, body.getBytes(StandardCharsets.UTF_8));
    return call(new HttpAddress(instance.host(), instance.operatorPort()), request)
        .filter(response -> response.status() == STATUS_OK)
        .map(HttpResponse::bodyText);
  }

  /**
   * Returns the configuration revision in force on an entry instance; zero if it does not answer.
   */
  public long revisionInForce(EntryInstance instance) {
    return callOperatorInterface(instance, "GET", "/status", "")
        .map(text -> Json.read(text, OperatorMessages.Status.class).revision())
        .orElse(0L);
  }

  /** Returns the configuration in force on an entry instance; empty if it does not answer. */
  public Optional<Configuration> configuration(EntryInstance instance) {
    return callOperatorInterface(instance, "GET", "/configuration", "")
        .map(text -> Json.read(text, Configuration.class));
  }

  /** Returns the events that an entry instance keeps; an empty list if it does not answer. */
  public List<TimelineEvent> timeline(EntryInstance instance) {
    return callOperatorInterface(instance, "GET", "/timeline", "")
        .map(text -> Json.read(text, OperatorMessages.Timeline.class).events())
        .orElse(List.of());
  }

  /** Issues an access key and returns its text; empty if it was not accepted. */
  public Optional<String> issueKey(EntryInstance instance, String identifier, String organisation) {
    String target = "/keys/issue?identifier=" + identifier + "&organisation=" + organisation;
    return callOperatorInterface(instance, "POST", target, "")
        .map(text -> Json.read(text, OperatorMessages.KeyIssued.class).key());
  }

  /** Replaces the platform's list of instances; returns whether the platform accepted it. */
  public boolean publishInstances(HttpAddress platform, List<ListedInstance> listed) {
    String body = Json.write(new InstanceList(listed));
    HttpRequest request =
        new HttpRequest(
            "PUT", "/instances", HttpHeaders.NONE, body.getBytes(StandardCharsets.UTF_8));
    return call(platform, request).filter(response -> response.status() == STATUS_OK).isPresent();
  }

  /** Returns the requests that reached a backend server; an empty list if it does not answer. */
  public List<JournalEntry> journal(BackendServer server) {
    return call(address(server), HttpRequest.of("GET", BackendStandIn.JOURNAL_PATH))
        .map(response -> Json.read(response.bodyText(), BackendStandIn.Journal.class).entries())
        .orElse(List.of());
  }

  /** Sets the faults of a backend server; returns whether it accepted them. */
  public boolean setSwitches(BackendServer server, ServerSwitches switches) {
    HttpRequest request =
        new HttpRequest(
            "PUT",
            BackendStandIn.SWITCHES_PATH,
            HttpHeaders.NONE,
            Json.write(switches).getBytes(StandardCharsets.UTF_8));
    return call(address(server), request)
        .filter(response -> response.status() == STATUS_OK)
        .isPresent();
  }

  @Override
  public void close() {
    client.stop();
  }

  private static HttpAddress address(BackendServer server) {
    return new HttpAddress(server.host(), server.port());
  }
}
