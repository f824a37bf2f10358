package org.corianderweir.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.steering.CapacityPermit;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.steering.SteeringTracker;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/** The request handling of an entry instance on a real socket, without its control services. */
final class TestEntryInstance implements AutoCloseable {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;
  private static final HttpClient CALLER = new HttpClient(options());

  static {
    CALLER.start();
  }

  static final int AMPLE_CAPACITY = 1_000;

  final List<Member> members;
  volatile boolean admits = true;
  final AtomicInteger availableCapacity = new AtomicInteger(AMPLE_CAPACITY);
  private final String name;
  private final HttpClient client = new HttpClient(options());
  private final HttpListener listener;
  private volatile CountDownLatch resumption = new CountDownLatch(0);
  private final RequestPipeline pipeline;
  private final RunOnceGate runOnceGate;
  private final TrafficSnapshot snapshot;

  TestEntryInstance(String name, List<Member> members, List<BackendServer> servers) {
    this.name = name;
    this.members = members;
    SystemTimeSource time = new SystemTimeSource();
    EventLog events = new EventLog(name, time);
    MetricRegistry metrics = new MetricRegistry();
    Refusals refusals = new Refusals(name, events, metrics);
    IssuerForwarder forwarder =
        new IssuerForwarder(name, client, () -> this.members, refusals, time);
    runOnceGate = new RunOnceGate(name, forwarder, refusals, time);
    Delivery delivery =
        new Delivery(name, client, this::tryAcquire, refusals, events, metrics, time);
    pipeline =
        new RequestPipeline(
            name,
            this::admit,
            TestEntryInstance::confirmedKeys,
            runOnceGate,
            delivery,
            refusals,
            metrics,
            time);
    Configuration configuration =
        Configuration.builder()
            .zones(List.of(new AvailabilityZone("zone", "region", List.of())))
            .backendServers(servers)
            .selectors(List.of(new Selector("all", "/", "shop", true, List.of())))
            .build();
    SteeringTracker tracker = new SteeringTracker("region", 0);
    tracker.applyConfiguration(configuration, 0);
    SteeringTable table =
        tracker.step(
            server -> new CellConditionEvaluator.ServerCondition(true, true, true, 0), 0, 0);
    snapshot = TrafficSnapshot.of(configuration, () -> table);
    listener =
        new HttpListener(
            new HttpListenerOptions(name, "127.0.0.1", 0, BODY_LIMIT_BYTES, 4), this::handle);
    client.start();
    listener.start();
    EntryInstance self =
        new EntryInstance(name, "region", "zone", "127.0.0.1", listener.port(), 1, 1);
    members.add(new Member(self, 1, InstanceState.SERVING, 1));
  }

  private Optional<CapacityPermit> tryAcquire(
      Cell cell,
      String selector,
      long requestBytes,
      long deadlineNanoseconds,
      long nowNanoseconds) {
    if (availableCapacity.getAndUpdate(available -> Math.max(0, available - 1)) == 0) {
      return Optional.empty();
    }
    return Optional.of(responseBytes -> availableCapacity.incrementAndGet());
  }

  private static KeyFreshnessView confirmedKeys() {
    return new KeyFreshnessView(true, System.nanoTime(), Map.of());
  }

  static List<Member> noMembers() {
    return new CopyOnWriteArrayList<>();
  }

  HttpResponse call(String method, String target, HttpHeaders headers) {
    return start(method, target, headers).join();
  }

  CompletableFuture<HttpResponse> start(String method, String target, HttpHeaders headers) {
    return CALLER.exchange(
        new HttpAddress("127.0.0.1", listener.port()),
        new HttpRequest(method, target, headers, new byte[0]),
        LONG_TIMEOUT);
  }

  String identifier() {
    String text = call("GET", RunOnceGate.ISSUE_PATH, HttpHeaders.NONE).bodyText();
    return text.substring(text.indexOf("weir1"), text.indexOf("\"]"));
  }

  /** Returns the outcome that a caller sees: the refusal and execution, or the status. */
  static String outcome(HttpResponse response) {
    return response
        .headers()
        .first(CallerHeaders.REFUSAL)
        .map(code -> code + " " + response.headers().first(CallerHeaders.EXECUTION).orElse(""))
        .orElse(Integer.toString(response.status()));
  }

  @Override
  public void close() {
    listener.stop(0);
    client.stop();
  }

  /** Holds the threads that handle requests until the entry instance is resumed. */
  void pause() {
    resumption = new CountDownLatch(1);
  }

  void resume() {
    resumption.countDown();
  }

  int port() {
    return listener.port();
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request, CallerConnection caller) {
    try {
      resumption.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    return request.path().equals(RunOnceGate.ISSUE_PATH)
        ? CompletableFuture.completedFuture(runOnceGate.issue(request))
        : pipeline.handle(request, caller, snapshot);
  }

  private CompletableFuture<AdmissionDecision> admit(
      String organisation, long deadlineNanoseconds, long nowNanoseconds) {
    return CompletableFuture.completedFuture(
        admits ? new AdmissionDecision.Admitted() : new AdmissionDecision.Refused(1));
  }

  private static HttpClientOptions options() {
    return new HttpClientOptions("test-entry", LONG_TIMEOUT, LONG_TIMEOUT, BODY_LIMIT_BYTES);
  }
}
