package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.http.CallerConnection;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.Admission;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.NextStep;
import org.corianderweir.logic.traffic.PlannedStop;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.logic.traffic.TrafficIndex;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;
import org.corianderweir.platform.PlatformHeaders;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ForwardedRequest}: requests that wait for room at the servers. */
public class ForwardedRequestTest {
  private static final FleetMember SELF =
      new FleetMember("entry-1", "10.0.0.1", 80, 81, "north-a", "north", 1);
  private static final long START = Duration.ofHours(1).toNanos();

  /** With this load and latency, a late request exceeds its allowed wait by a little. */
  private static final OptionalLong LOAD = OptionalLong.of(7);

  private static final Duration LATENCY = Duration.ofMillis(1_152);
  private static final Duration WORK = Duration.ofMillis(432);

  private final List<Runnable> scheduled = new ArrayList<>();
  private HttpClient client = client();
  private long now = START;
  private boolean callerConnected = true;
  private MetricRegistry metrics = new MetricRegistry();
  private TrafficDirector director = director();
  private AdmittedRequest first = admit();
  private NextStep.Send firstSend = (NextStep.Send) director.nextStep(first, now);
  private WaitingRequests waiting = new WaitingRequests(new RecordingScheduler());

  /** Keeps the tasks, so that the test decides when their time has come. */
  private final class RecordingScheduler implements TaskScheduler {
    @Override
    public void execute(Runnable task) {
      task.run();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      scheduled.add(task);
    }
  }

  /** The time that the test sets. */
  private final class TestTime implements TimeSource {
    @Override
    public long monotonicNanoseconds() {
      return now;
    }

    @Override
    public long wallMilliseconds() {
      return now / 1_000_000;
    }
  }

  /** The connection of the caller. */
  private final class TestCaller implements CallerConnection {
    @Override
    public boolean isOpen() {
      return callerConnected;
    }

    @Override
    public Duration queueTime() {
      return Duration.ZERO;
    }
  }

  /** Brings the director to a shortage in which requests wait. */
  @BeforeMethod
  public void begin() {
    scheduled.clear();
    now = START;
    callerConnected = true;
    metrics = new MetricRegistry();
    director = director();
    waiting = new WaitingRequests(new RecordingScheduler());
    client = client();
    client.start();
    first = admit();
    firstSend = (NextStep.Send) director.nextStep(first, now);
    for (int number = 0; number < 200; number++) {
      AdmittedRequest request = admit();
      if (director.nextStep(request, now) instanceof NextStep.Send send) {
        if (number < 100) {
          end(request, send, OptionalLong.of(0), WORK);
        } else {
          end(request, send, LOAD, LATENCY);
        }
      }
      now += Duration.ofMillis(20).toNanos();
    }
    for (int number = 0; !isHeld(); number++) {
      assertTrue(number < 20, "no request waits");
    }
  }

  /** Ends what the test started. */
  @AfterMethod
  public void stop() {
    client.stop();
  }

  /** A request that waited was held until its deadline. */
  @Test
  public void aRequestIsRejectedWhenItHasWaitedInVain() {
    CompletableFuture<HttpResponse> answer = forward();
    assertFalse(answer.isDone());
    assertEquals(waiting.count(), 1);
    now += Duration.ofMillis(125).toNanos();
    end(first, firstSend, LOAD, LATENCY);
    scheduled.forEach(Runnable::run);
    assertEquals(waiting.count(), 0);
    assertEquals(answer.join().status(), 503);
    assertTrue(answer.join().headers().first("Retry-After").isPresent());
    assertEquals(metrics.counter("requests.rejected.NO_ROOM").getCount(), 1);
    assertEquals(metrics.counter("requests.room.held.class0").getCount(), 1);
  }

  /** A request whose caller had left while it waited was sent to a server. */
  @Test
  public void aRequestWhoseCallerLeavesWhileItWaitsIsNotSent() {
    CompletableFuture<HttpResponse> answer = forward();
    callerConnected = false;
    answer.cancel(false);
    assertEquals(waiting.count(), 0);
    assertEquals(metrics.counter("requests.abandoned.unsent").getCount(), 1);
    scheduled.forEach(Runnable::run);
    assertEquals(metrics.counter("sends.Unreachable").getCount(), 0);
    assertEquals(metrics.counter("requests.abandoned").getCount(), 1);
  }

  /** A request that waited when a stop began was sent, and cut at the end of the process. */
  @Test
  public void aRequestThatWaitsWhenAStopBeginsIsRejected() {
    CompletableFuture<HttpResponse> answer = forward();
    director.beginStop(new PlannedStop(now, Duration.ZERO, Duration.ZERO, Duration.ofMillis(500)));
    waiting.resumeAll();
    assertEquals(answer.join().status(), 503);
    assertEquals(answer.join().headers().first("Retry-After"), Optional.of("0.001"));
  }

  private CompletableFuture<HttpResponse> forward() {
    ForwardedRequest forwarded =
        new ForwardedRequest(
            new HttpRequest("GET", "/desk/x", HttpHeaders.NONE, new byte[0]),
            new TestCaller(),
            admit(),
            director,
            client,
            new ServerMessageTranslator(PlatformHeaders.NAMES),
            response -> response,
            waiting,
            new RequestLog(new EventLog("entry-1", new TestTime()), metrics),
            new TestTime());
    forwarded.start();
    return forwarded.answer();
  }

  /** Returns whether the next request would wait; else it is answered if it is sent. */
  private boolean isHeld() {
    AdmittedRequest request = admit();
    NextStep step = director.nextStep(request, now);
    if (step instanceof NextStep.Send send) {
      end(request, send, LOAD, LATENCY);
    }
    return step instanceof NextStep.Wait;
  }

  private void end(
      AdmittedRequest request, NextStep.Send send, OptionalLong load, Duration latency) {
    SendOutcome answer =
        new SendOutcome.Answered(
            true,
            false,
            new SendOutcome.ServerReport(
                ServerLoad.of(load, OptionalLong.of(0), OptionalLong.empty(), OptionalLong.empty()),
                OptionalLong.empty()));
    director.sendEnded(request, send.server(), answer, now - latency.toNanos(), now);
  }

  private AdmittedRequest admit() {
    RequestAttributes attributes =
        new RequestAttributes(
            "request",
            "rota.example",
            "/desk/x",
            Optional.of("key"),
            Optional.of("object"),
            OptionalLong.empty(),
            Duration.ZERO);
    return ((Admission.Admitted) director.admit(attributes, now)).request();
  }

  private static HttpClient client() {
    return new HttpClient(
        new HttpClientOptions("test", Duration.ofSeconds(1), Duration.ofSeconds(1), 1_000));
  }

  private static TrafficRoute route(String name, RequestKind kind) {
    return new TrafficRoute(
        name,
        "rota.example",
        "/" + name + "/",
        kind,
        Duration.ofSeconds(4),
        Duration.ofSeconds(1),
        0,
        List.of(new WeightedService("desk", 1)),
        2,
        false,
        true,
        Set.of());
  }

  private static TrafficDirector director() {
    // The admission decision is asked only while there is a route for large requests.
    List<TrafficRoute> routes =
        List.of(route("desk", RequestKind.SAFE), route("upload", RequestKind.UPLOAD));
    CallerOrganisation organisation =
        new CallerOrganisation("club", Set.of("key"), OptionalInt.empty(), 0, 0, Set.of());
    TrafficConfiguration configuration =
        new TrafficConfiguration(
            1,
            routes,
            Map.of(),
            List.of(organisation),
            new CallerLimits(1000, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    ServerRegistration server =
        new ServerRegistration(
            "server-1", "desk", "127.0.0.1", 1, "north-a", 3, false, Duration.ZERO, 1_000);
    TrafficDirector director =
        new TrafficDirector(
            SELF,
            new InstanceLocation("north-a", "north", Map.of("north-a", "north")),
            new FleetBounds(0.2, 20, Duration.ofSeconds(10), 0.1, 20, Duration.ofSeconds(5)));
    director.apply(
        new FleetView(
            Optional.of(new TrafficIndex(configuration)),
            Map.of("server-1", server),
            Set.of(),
            List.of(SELF),
            Optional.empty(),
            1),
        START);
    return director;
  }
}
