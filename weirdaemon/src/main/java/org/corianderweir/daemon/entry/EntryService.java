package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.corianderweir.daemon.DescriptorPlan;
import org.corianderweir.daemon.MemoryPlan;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.daemon.settings.UnfinishedLimitSettings;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.CallerRequestHandler;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.http.ListenerStop;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.Admission;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.PlannedStop;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.HeaderNames;
import org.corianderweir.platform.PlatformEndpoints;

/** Answers look-ups and readiness checks, and forwards requests of callers to servers. */
final class EntryService {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** For connections to servers that do not announce when they close an idle one. */
  private static final Duration CONNECTION_IDLE_LIFETIME = Duration.ofSeconds(3);

  private static final int RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024;

  private static final int CONTROL_BODY_LIMIT_BYTES = 64 * 1024;

  /** A transfer takes longer than this only if the caller does not read. */
  private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(15);

  private static final int CONNECTIONS_PER_SERVER = 64;
  private static final int WORKER_THREAD_COUNT = 1;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;

  /**
   * A shorter lifetime lets callers learn sooner of instances that left; a longer one saves
   * look-ups.
   */
  private static final Duration MAXIMUM_LOOKUP_LIFETIME = Duration.ofSeconds(2);

  /**
   * Time for which a stopping instance admits all requests, because callers use cached look-ups for
   * about this long.
   */
  private static final Duration STOP_ADMISSION_PERIOD = Duration.ofMillis(2_500);

  /** Time without requests after which a stopping instance, or a connection to it, may end. */
  private static final Duration STOP_QUIET_PERIOD = Duration.ofMillis(600);

  /**
   * Ratio of the stop timeout that is reserved for the end of the process after the last answers. A
   * slow processor needs more than half a second for it.
   */
  private static final double STOP_RESERVE_RATIO = 1.0 / 6;

  /** Ratio of that reserve in which the last answers may be sent to their callers. */
  private static final double SEND_RATIO = 0.25;

  /**
   * Time in which look-ups and readiness checks that have arrived are answered at the end. Callers
   * that are cut off ask another instance, so the end of the process does not wait longer.
   */
  private static final Duration CONTROL_STOP_LIMIT = Duration.ofMillis(50);

  private static final long POLL_INTERVAL_MILLISECONDS = 20;

  private final EntrySettings settings;
  private final TrafficDirector director;
  private final ServerMessageTranslator messages;
  private final RequestLog log;
  private final WaitingRequests waiting;
  private final HttpClient client;
  private final TimeSource time;
  private final List<HttpListener> controlListeners;
  private final HttpListener requestListener;
  private final Set<ForwardedRequest> forwardedRequests = ConcurrentHashMap.newKeySet();
  private volatile Duration stopTimeout;
  private volatile boolean ready;
  private volatile boolean stopping;
  private volatile long latestRequestNanoseconds;

  EntryService(
      EntrySettings settings,
      TrafficDirector director,
      HeaderNames names,
      WaitingRequests waiting,
      RequestLog log,
      TimeSource time) {
    this.settings = settings;
    stopTimeout = settings.stopTimeout();
    this.director = director;
    this.waiting = waiting;
    this.log = log;
    this.messages = new ServerMessageTranslator(names);
    long heapBytes = Runtime.getRuntime().maxMemory();
    MemoryPlan memory = MemoryPlan.forHeap(heapBytes);
    this.time = time;
    client =
        new HttpClient(
            new HttpClientOptions(
                    "servers", CONNECT_TIMEOUT, CONNECTION_IDLE_LIFETIME, RESPONSE_LIMIT_BYTES)
                .withConnectionsPerAddress(CONNECTIONS_PER_SERVER)
                .withEchoHeader(names.requestIdentifier())
                .withMemory(memory.responses()));
    DescriptorPlan descriptors = DescriptorPlan.forLimit(settings.fileDescriptorLimit());
    UnfinishedLimitSettings unfinished = settings.unfinishedLimits();
    long unfinishedBytes = (long) (unfinished.memoryRatio() * heapBytes);
    requestListener =
        new HttpListener(
            listenerOptions(
                    "requests",
                    settings.callerAddress(),
                    descriptors.requests(),
                    memory.requestLimitBytes())
                .withMemory(memory.requests())
                .withUnfinished(unfinished.limits(unfinishedBytes)),
            new ForwardingHandler());
    controlListeners =
        List.of(
            new HttpListener(
                controlOptions(
                    "readiness", settings.readinessAddress(), descriptors.readiness(), settings),
                this::handleReadiness),
            new HttpListener(
                controlOptions(
                    "look-ups", settings.lookupAddress(), descriptors.lookups(), settings),
                this::handleLookup));
  }

  void start() {
    client.start();
    controlListeners.forEach(HttpListener::start);
    requestListener.start();
  }

  /** Applies a new view of the fleet. */
  void apply(FleetView view) {
    director.apply(view, time.monotonicNanoseconds());
    log.fleetChanged(view);
    ready = view.index().isPresent();
    waiting.resumeAll();
    view.index()
        .map(index -> index.configuration().limits().headerTimeout())
        .ifPresent(timeout -> listeners().forEach(listener -> listener.setHeadTimeout(timeout)));
  }

  /** Returns the listeners for requests, readiness checks and look-ups. */
  List<HttpListener> listeners() {
    return Stream.concat(Stream.of(requestListener), controlListeners.stream()).toList();
  }

  /** Sets the time between the stop signal and the end of the process for a stop that follows. */
  void setStopTimeout(Duration timeout) {
    stopTimeout = timeout;
  }

  /** Stops when callers have noticed and all requests are answered, at the latest in time. */
  void stopGracefully() throws InterruptedException {
    Duration timeout = stopTimeout;
    PlannedStop stop =
        new PlannedStop(now(), STOP_ADMISSION_PERIOD, STOP_QUIET_PERIOD, stopLimit(timeout));
    director.beginStop(stop);
    stopping = true;
    waiting.resumeAll();
    while (!stop.mayStopListening(
        requestListener.openRequestCount(), latestRequestNanoseconds, now())) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    requestListener.stop(
        new ListenerStop(
            STOP_QUIET_PERIOD,
            stop.timeLeft(now()),
            () -> forwardedRequests.forEach(ForwardedRequest::end),
            sendTime(timeout)));
    controlListeners.forEach(listener -> listener.stop(Duration.ZERO, CONTROL_STOP_LIMIT));
    client.stop();
  }

  /** Returns the time after which a stopping instance cuts off the requests in progress. */
  static Duration stopLimit(Duration stopTimeout) {
    return Duration.ofMillis(Math.round((1 - STOP_RESERVE_RATIO) * stopTimeout.toMillis()));
  }

  /** Returns the time in which answers are sent after the requests in progress were cut off. */
  private static Duration sendTime(Duration stopTimeout) {
    return Duration.ofMillis(Math.round(STOP_RESERVE_RATIO * SEND_RATIO * stopTimeout.toMillis()));
  }

  private long now() {
    return time.monotonicNanoseconds();
  }

  /** Returns the options of a listener whose requests need no bodies. */
  static HttpListenerOptions controlOptions(
      String name, HttpAddress address, int connections, EntrySettings settings) {
    long heapBytes = Runtime.getRuntime().maxMemory();
    return listenerOptions(name, address, connections, CONTROL_BODY_LIMIT_BYTES)
        .withMemory(MemoryPlan.controlBodies(heapBytes))
        .withUnfinished(
            settings.unfinishedLimits().limits(MemoryPlan.controlUnfinishedBytes(heapBytes)));
  }

  private static HttpListenerOptions listenerOptions(
      String name, HttpAddress address, int connections, int bodyLimitBytes) {
    return new HttpListenerOptions(
            name, address.host(), address.port(), bodyLimitBytes, WORKER_THREAD_COUNT)
        .withLimits(connections, connections, TRANSFER_TIMEOUT);
  }

  private CompletableFuture<HttpResponse> handleReadiness(HttpRequest request) {
    int status =
        request.path().equals(PlatformEndpoints.READINESS_PATH)
            ? ready && !stopping ? STATUS_OK : STATUS_UNAVAILABLE
            : STATUS_NOT_FOUND;
    return CompletableFuture.completedFuture(
        new HttpResponse(status, HttpHeaders.NONE, new byte[0]));
  }

  private CompletableFuture<HttpResponse> handleLookup(HttpRequest request) {
    if (!request.path().equals(PlatformEndpoints.LOOKUP_PATH)) {
      return CompletableFuture.completedFuture(
          new HttpResponse(STATUS_NOT_FOUND, HttpHeaders.NONE, new byte[0]));
    }
    HttpResponse response =
        PlatformEndpoints.lookup(request)
            .map(
                lookup -> {
                  List<String> addresses =
                      director.membersFor(lookup.region(), stopping).stream()
                          .map(FleetMember::callerAddress)
                          .toList();
                  return PlatformEndpoints.lookupResponse(addresses, lookupLifetime());
                })
            .orElseGet(PlatformEndpoints::malformedLookupResponse);
    return CompletableFuture.completedFuture(response);
  }

  private Duration lookupLifetime() {
    return MAXIMUM_LOOKUP_LIFETIME.compareTo(settings.lookupLifetime()) < 0
        ? MAXIMUM_LOOKUP_LIFETIME
        : settings.lookupLifetime();
  }

  private CompletableFuture<HttpResponse> handleRequest(
      HttpRequest request, CallerConnection caller) {
    long arrivedNanoseconds = now();
    latestRequestNanoseconds = arrivedNanoseconds;
    RequestAttributes attributes = messages.attributes(request, caller.queueTime());
    if (!caller.isOpen()) {
      log.abandonedBeforeAdmission(attributes);
      return CompletableFuture.failedFuture(new CancellationException("the caller has left"));
    }
    Admission admission = director.admit(attributes, request.body().length, arrivedNanoseconds);
    return switch (admission) {
      case Admission.Rejected rejected ->
          CompletableFuture.completedFuture(reject(attributes, rejected));
      case Admission.Admitted admitted -> forward(request, caller, admitted);
    };
  }

  private HttpResponse reject(RequestAttributes attributes, Admission.Rejected rejected) {
    HttpResponse response = CallerResponses.rejection(rejected.reason(), rejected.retryAfter());
    log.rejected(attributes, rejected, response.status());
    return closeIfStopping(response);
  }

  private CompletableFuture<HttpResponse> forward(
      HttpRequest request, CallerConnection caller, Admission.Admitted admitted) {
    ForwardedRequest forwarded =
        new ForwardedRequest(
            request,
            caller,
            admitted.request(),
            director,
            client,
            messages,
            this::closeIfStopping,
            waiting,
            log,
            time);
    forwardedRequests.add(forwarded);
    forwarded.answer().whenComplete((response, failure) -> forwardedRequests.remove(forwarded));
    forwarded.start();
    return forwarded.answer();
  }

  private HttpResponse closeIfStopping(HttpResponse response) {
    return stopping ? response.withConnectionClose() : response;
  }

  /** Handles the requests of callers. */
  private final class ForwardingHandler implements CallerRequestHandler {
    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request, CallerConnection caller) {
      return handleRequest(request, caller);
    }

    @Override
    public boolean mayRunBeside(HttpRequest head) {
      return director.isIdempotent(messages.attributes(head, Duration.ZERO));
    }

    @Override
    public Optional<HttpResponse> refuseEarly(HttpRequest head) {
      RequestAttributes attributes = messages.attributes(head, Duration.ZERO);
      return director
          .rejectEarly(attributes, messages.bodyLength(head))
          .map(rejected -> reject(attributes, rejected));
    }
  }
}
