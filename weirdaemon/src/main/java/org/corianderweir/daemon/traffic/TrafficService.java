package org.corianderweir.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.corianderweir.daemon.MemoryPlan;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.LimitService;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.steering.CapacityLimiter;
import org.corianderweir.daemon.steering.SteeringService;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.http.ListenerStop;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.DrainState;
import org.corianderweir.logic.delivery.DrainTracker;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.logic.lookup.EntryInstanceRanking;
import org.corianderweir.logic.lookup.LookupDirectory;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.operator.ExplainMessages;

/** Listens for callers: answers lookups and steers requests to backend servers. */
public final class TrafficService implements Service {
  /** The name of this service. */
  public static final ServiceName<TrafficService> NAME =
      new ServiceName<>("traffic", TrafficService.class);

  /** Path of lookups. */
  public static final String LOOKUP_PATH = "/.weir/look-up";

  private static final int RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024;

  /** Connections that a backend server accepts from all entry instances together. */
  private static final int CONNECTIONS_PER_BACKEND_SERVER = 660;

  /** Largest number of entry instances that share the connections of a backend server. */
  private static final int ENTRY_INSTANCE_LIMIT = 18;

  private static final int WORKER_THREADS = 4;
  private static final int STATUS_OK = 200;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration STOP_POLL_PERIOD = Duration.ofMillis(20);
  private static final Duration WRITE_GRACE_PERIOD = Duration.ofSeconds(1);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(65);

  private final EntryInstance self;
  private final Duration lookupLifetime;
  private final ConfigurationService configuration;
  private final MembershipService membership;
  private final SteeringService steering;
  private final TimeSource time;
  private final HttpClient client;
  private final HttpListener listener;
  private final Refusals refusals;
  private final Delivery delivery;
  private final RunOnceGate runOnceGate;
  private final RequestPipeline pipeline;
  private final TrafficExplainer explainer;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final DrainTracker drains = new DrainTracker();
  private volatile LookupDirectory lookups = LookupDirectory.EMPTY;
  private volatile TrafficSnapshot snapshot =
      TrafficSnapshot.of(Configuration.EMPTY, () -> SteeringTable.EMPTY);

  /** Creates the service; it does not listen yet. */
  public TrafficService(
      DaemonSettings settings,
      ConfigurationService configuration,
      MembershipService membership,
      LimitService limits,
      SteeringService steering,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.self = settings.instance();
    this.lookupLifetime = settings.lookupLifetime();
    this.configuration = configuration;
    this.membership = membership;
    this.steering = steering;
    this.time = time;
    MemoryPlan memory = MemoryPlan.forHeap(Runtime.getRuntime().maxMemory());
    client =
        new HttpClient(
            new HttpClientOptions(
                    "backend", CONNECT_TIMEOUT, CONNECTION_IDLE_TIMEOUT, RESPONSE_LIMIT_BYTES)
                .withLocalHost(self.host())
                .withConnectionsPerAddress(CONNECTIONS_PER_BACKEND_SERVER / ENTRY_INSTANCE_LIMIT)
                .withPreconnect()
                .withMemory(memory.responses()));
    refusals = new Refusals(self.name(), events, metrics);
    CapacityLimiter capacity = new CapacityLimiter(self.region(), limits);
    delivery =
        new Delivery(self.name(), client, capacity::tryAcquire, refusals, events, metrics, time);
    runOnceGate =
        new RunOnceGate(
            self.name(),
            new IssuerForwarder(self.name(), client, membership::members, refusals, time),
            refusals,
            time);
    pipeline =
        new RequestPipeline(
            self.name(),
            limits::admit,
            membership::keyFreshness,
            runOnceGate,
            delivery,
            refusals,
            metrics,
            time);
    int bodyLimitBytes = Math.min(settings.bodyLimitBytes(), memory.requestLimitBytes());
    explainer = new TrafficExplainer(self, bodyLimitBytes, limits, capacity, delivery);
    listener =
        new HttpListener(
            new HttpListenerOptions(
                    "callers",
                    self.host(),
                    settings.listenPorts().callers(),
                    bodyLimitBytes,
                    WORKER_THREADS)
                .withMemory(memory.requests()),
            this::handle);
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(MembershipService.NAME, LimitService.NAME, SteeringService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    steering.setServerView(delivery::condition);
    configuration.onChange(this::onConfigurationChange);
    client.start();
    listener.start();
  }

  /**
   * Stops listening once the lookup answers that callers may have cached have expired and no
   * request is open any more. Open requests are waited for only until a timeout.
   */
  @Override
  public void stop() {
    long lookupExpiryNanoseconds = time.monotonicNanoseconds() + lookupLifetime.toNanos();
    long stopDeadlineNanoseconds = time.monotonicNanoseconds() + STOP_TIMEOUT.toNanos();
    while (time.monotonicNanoseconds() < lookupExpiryNanoseconds
        || (openRequests.get() > 0 && time.monotonicNanoseconds() < stopDeadlineNanoseconds)) {
      sleepBetweenPolls();
    }
    listener.stop(
        new ListenerStop(Duration.ZERO, WRITE_GRACE_PERIOD, () -> {}, WRITE_GRACE_PERIOD));
    delivery.stop();
    client.stop();
  }

  private static void sleepBetweenPolls() {
    try {
      Thread.sleep(STOP_POLL_PERIOD.toMillis());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void onConfigurationChange(Configuration changed) {
    lookups = lookups.withConfiguration(changed);
    snapshot = TrafficSnapshot.of(changed, steering::table);
    drains.update(changed, time.wallMilliseconds());
    delivery.health().keepOnly(serversInUse(changed));
  }

  private static Set<String> serversInUse(Configuration changed) {
    return changed.backendServers().stream()
        .filter(server -> !server.drained())
        .map(BackendServer::name)
        .collect(Collectors.toSet());
  }

  /** Returns the drained backend servers and this entry instance's requests in flight there. */
  public List<DrainState> drains() {
    return drains.states(delivery::inFlight, time.wallMilliseconds());
  }

  /** Explains what this instance would do with a request now. Any thread may call this. */
  public RequestExplanation explain(ExplainMessages.ExplainedRequest request) {
    boolean serving = membership.state() != InstanceState.JOINING;
    return explainer.explain(
        request,
        serving ? Optional.of(snapshot) : Optional.empty(),
        membership.keyFreshness(),
        time.monotonicNanoseconds(),
        time.wallMilliseconds());
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request, CallerConnection caller) {
    openRequests.incrementAndGet();
    CompletableFuture<HttpResponse> response = route(request, caller);
    response.whenComplete((completed, failure) -> openRequests.decrementAndGet());
    return membership.state() == InstanceState.LEAVING ? withConnectionClose(response) : response;
  }

  /**
   * Adds {@code Connection: close}, so that callers with a persistent connection reconnect
   * elsewhere instead of losing the connection between two requests.
   */
  private static CompletableFuture<HttpResponse> withConnectionClose(
      CompletableFuture<HttpResponse> response) {
    CompletableFuture<HttpResponse> last = response.thenApply(HttpResponse::withConnectionClose);
    last.whenComplete((completed, failure) -> response.cancel(false));
    return last;
  }

  private CompletableFuture<HttpResponse> route(HttpRequest request, CallerConnection caller) {
    if (membership.state() == InstanceState.JOINING) {
      return CompletableFuture.completedFuture(notServing(request));
    }
    if (request.path().equals(LOOKUP_PATH)) {
      return CompletableFuture.completedFuture(lookup(request));
    }
    if (request.path().equals(RunOnceGate.ISSUE_PATH)) {
      return CompletableFuture.completedFuture(runOnceGate.issue(request));
    }
    return pipeline.handle(request, caller, snapshot);
  }

  private HttpResponse notServing(HttpRequest request) {
    String name = request.headers().first(CallerHeaders.REQUEST).orElse("");
    return refusals.refuse(
        name,
        RefusalReason.NOT_SERVING,
        runOnceGate.knownExecution(RequestIdentifier.parse(name)),
        "no configuration yet");
  }

  private HttpResponse lookup(HttpRequest request) {
    String clientAddress = request.parameter("client", "");
    Optional<AvailabilityZone> zone = lookups.zoneOf(clientAddress);
    LookupAnswer answer =
        EntryInstanceRanking.rank(
            membership.members(),
            clientAddress,
            zone.map(AvailabilityZone::name).orElse(self.availabilityZone()),
            zone.map(AvailabilityZone::region).orElse(self.region()),
            lookupLifetime);
    return HttpResponse.json(STATUS_OK, Json.write(answer));
  }
}
