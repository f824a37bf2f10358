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

/** Talks to the processes of a fleet as operators and the bench do. Calls block. */
public final class FleetClient implements AutoCloseable {
  /** The operators' credential in every settings file of the bench. */
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

  /** Calls a server; empty if there was no answer. */
  public Optional<HttpResponse> call(HttpAddress address, HttpRequest request) {
    try {
      return Optional.of(client.exchange(address, request, CALL_TIMEOUT).join());
    } catch (CompletionException failure) {
      return Optional.empty();
    }
  }

  /** Calls the operators' interface; empty unless the answer was a success. */
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

  /** Returns the configuration revision in force on an entry instance; zero if it is silent. */
  public long revisionInForce(EntryInstance instance) {
    return callOperatorInterface(instance, "GET", "/status", "")
        .map(text -> Json.read(text, OperatorMessages.Status.class).revision())
        .orElse(0L);
  }

  /** Returns the configuration in force on an entry instance. */
  public Optional<Configuration> configuration(EntryInstance instance) {
    return callOperatorInterface(instance, "GET", "/configuration", "")
        .map(text -> Json.read(text, Configuration.class));
  }

  /** Returns the events that an entry instance keeps. */
  public List<TimelineEvent> timeline(EntryInstance instance) {
    return callOperatorInterface(instance, "GET", "/timeline", "")
        .map(text -> Json.read(text, OperatorMessages.Timeline.class).events())
        .orElse(List.of());
  }

  /** Issues a key and returns its text. */
  public Optional<String> issueKey(EntryInstance instance, String identifier, String organisation) {
    String target = "/keys/issue?identifier=" + identifier + "&organisation=" + organisation;
    return callOperatorInterface(instance, "POST", target, "")
        .map(text -> Json.read(text, OperatorMessages.KeyIssued.class).key());
  }

  /** Replaces the platform's list of instances. */
  public boolean publishInstances(HttpAddress platform, List<ListedInstance> listed) {
    String body = Json.write(new InstanceList(listed));
    HttpRequest request =
        new HttpRequest(
            "PUT", "/instances", HttpHeaders.NONE, body.getBytes(StandardCharsets.UTF_8));
    return call(platform, request).filter(response -> response.status() == STATUS_OK).isPresent();
  }

  /** Returns what reached a backend server. */
  public List<JournalEntry> journal(BackendServer server) {
    return call(address(server), HttpRequest.of("GET", BackendStandIn.JOURNAL_PATH))
        .map(response -> Json.read(response.bodyText(), BackendStandIn.Journal.class).entries())
        .orElse(List.of());
  }

  /** Changes how a backend server behaves. */
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
