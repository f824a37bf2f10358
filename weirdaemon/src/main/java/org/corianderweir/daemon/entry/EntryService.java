package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpEndpoint;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.Admission;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.RequestFacts;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.HeaderNames;
import org.corianderweir.platform.PlatformCalls;

/** Answers callers: look-ups, readiness checks and requests, which it forwards. */
final class EntryService {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Servers close idle connections after some seconds; they say so in whole seconds. */
  private static final Duration IDLE_LIFETIME = Duration.ofSeconds(4);

  private static final int ANSWER_LIMIT_BYTES = 8 * 1024 * 1024;

  /** Bodies are held in memory, which is small. */
  private static final int BODY_LIMIT_BYTES = 16 * 1024 * 1024;

  /** Callers take longer than this only if they don't read. */
  private static final Duration TRANSFER_LIMIT = Duration.ofSeconds(15);

  /** Part of the descriptors that callers may hold; servers and files need the rest. */
  private static final double CALLERS_PART = 0.5;

  private static final int CONNECTIONS_PER_SERVER = 64;
  private static final int WORKER_THREADS = 1;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;

  /** A shorter time lets callers learn of instances that left; a longer one saves look-ups. */
  private static final Duration LOOKUP_LIFETIME = Duration.ofSeconds(2);

  /** Callers that cached a look-up still come for about this time after a planned stop began. */
  private static final Duration ACCEPT_WHILE_LEAVING = Duration.ofMillis(2_500);

  /** Answers are written within this time before the process must be gone. */
  private static final Duration STOP_SLACK = Duration.ofMillis(400);

  private static final long POLL_MILLISECONDS = 20;

  private final EntrySettings settings;
  private final TrafficDirector director;
  private final ServerMessages messages;
  private final RequestLog log;
  private final HttpClient client;
  private final TimeSource time;
  private final List<HttpListener> controlListeners;
  private final HttpListener requests;
  private final AtomicInteger underway = new AtomicInteger();
  private volatile boolean ready;
  private volatile boolean leaving;

  EntryService(
      EntrySettings settings,
      TrafficDirector director,
      HeaderNames names,
      RequestLog log,
      TimeSource time) {
    this.settings = settings;
    this.director = director;
    this.log = log;
    this.messages = new ServerMessages(names);
    this.time = time;
    client =
        new HttpClient(
            new HttpClientOptions("servers", CONNECT_TIMEOUT, IDLE_LIFETIME, ANSWER_LIMIT_BYTES)
                .withConnectionsPerAddress(CONNECTIONS_PER_SERVER)
                .requiringEcho(names.requestIdentifier()));
    int callers = (int) (CALLERS_PART * settings.descriptors());
    requests = listener("requests", settings.callers(), callers, this::request);
    controlListeners =
        List.of(
            listener("readiness", settings.readiness(), callers, this::readiness),
            listener("look-ups", settings.lookups(), callers, this::lookup));
  }

  void start() {
    client.start();
    controlListeners.forEach(HttpListener::start);
    requests.start();
  }

  /** Takes over what is known of the fleet. */
  void apply(FleetView view) {
    director.apply(view, time.monotonicNanoseconds());
    log.fleetChanged(view);
    ready = view.index().isPresent();
  }

  /** Ends after all requests are answered, or shortly before the process must be gone. */
  void leave() throws InterruptedException {
    leaving = true;
    long begun = time.monotonicNanoseconds();
    TimeUnit.MILLISECONDS.sleep(ACCEPT_WHILE_LEAVING.toMillis());
    requests.stop(settings.stopLimit().toMillis());
    long limit = settings.stopLimit().minus(STOP_SLACK).toNanos();
    while (underway.get() > 0 && time.monotonicNanoseconds() - begun < limit) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
    }
    controlListeners.forEach(listener -> listener.stop(0));
    TimeUnit.MILLISECONDS.sleep(POLL_MILLISECONDS);
    client.stop();
  }

  private static HttpListener listener(
      String name, HttpAddress address, int connections, HttpEndpoint endpoint) {
    return new HttpListener(
        new HttpListenerOptions(
                name, address.host(), address.port(), BODY_LIMIT_BYTES, WORKER_THREADS)
            .bounded(connections, connections, TRANSFER_LIMIT),
        endpoint);
  }

  private CompletableFuture<HttpReply> readiness(HttpCall call) {
    int status =
        call.path().equals(PlatformCalls.READINESS_PATH)
            ? ready && !leaving ? STATUS_OK : STATUS_UNAVAILABLE
            : STATUS_NOT_FOUND;
    return CompletableFuture.completedFuture(new HttpReply(status, HttpHeaders.NONE, new byte[0]));
  }

  private CompletableFuture<HttpReply> lookup(HttpCall call) {
    if (!call.path().equals(PlatformCalls.LOOKUP_PATH)) {
      return CompletableFuture.completedFuture(
          new HttpReply(STATUS_NOT_FOUND, HttpHeaders.NONE, new byte[0]));
    }
    HttpReply reply =
        PlatformCalls.lookup(call)
            .map(
                question -> {
                  List<String> addresses =
                      director.membersFor(question.region(), leaving).stream()
                          .map(FleetMember::callerAddress)
                          .toList();
                  return PlatformCalls.lookupAnswer(addresses, lookupLifetime());
                })
            .orElseGet(PlatformCalls::malformedLookup);
    return CompletableFuture.completedFuture(reply);
  }

  private Duration lookupLifetime() {
    return LOOKUP_LIFETIME.compareTo(settings.lookupLifetime()) < 0
        ? LOOKUP_LIFETIME
        : settings.lookupLifetime();
  }

  private CompletableFuture<HttpReply> request(HttpCall call) {
    RequestFacts facts = messages.facts(call);
    Admission admission = director.admit(facts, time.monotonicNanoseconds());
    return switch (admission) {
      case Admission.Rejected rejected -> reject(facts, rejected);
      case Admission.Admitted admitted -> forward(call, admitted);
    };
  }

  private CompletableFuture<HttpReply> reject(RequestFacts facts, Admission.Rejected rejected) {
    HttpReply reply = CallerReplies.refusal(rejected.reason(), rejected.comeBackAfter());
    log.rejected(facts, rejected, reply.status());
    return CompletableFuture.completedFuture(closing(reply));
  }

  private CompletableFuture<HttpReply> forward(HttpCall call, Admission.Admitted admitted) {
    underway.incrementAndGet();
    CompletableFuture<HttpReply> answer =
        new ForwardedRequest(
                call, admitted.plan(), director, client, messages, this::closing, log, time)
            .start();
    answer.whenComplete((reply, failure) -> underway.decrementAndGet());
    return answer;
  }

  private HttpReply closing(HttpReply reply) {
    return leaving ? reply.closing() : reply;
  }
}
