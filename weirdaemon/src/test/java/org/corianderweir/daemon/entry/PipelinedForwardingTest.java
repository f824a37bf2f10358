package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import com.codahale.metrics.MetricRegistry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.daemon.settings.UnfinishedLimitSettings;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.logic.traffic.TrafficIndex;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.ServiceSettings;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;
import org.corianderweir.platform.PlatformHeaders;
import org.testng.annotations.Test;

/** Tests that an entry instance forwards the requests of a connection as their routes allow. */
public class PipelinedForwardingTest {
  private static final long ARRIVAL_SECONDS = 5;
  private static final long QUIET_MILLISECONDS = 150;

  private final BlockingQueue<Arrival> arrivals = new LinkedBlockingQueue<>();

  /** A request that has arrived at the server and waits for its answer. */
  private record Arrival(String target, CompletableFuture<HttpResponse> answer, String identifier) {
    void respond() {
      answer.complete(
          HttpResponse.json(200, target)
              .withHeader("Request-Id", identifier)
              .withHeader("Server-Stamp", "1"));
    }
  }

  /** A request that may run only once must not be beside or behind others that may be cut off. */
  @Test
  public void requestsOfAConnectionReachServersAsTheirRoutesAllow() throws Exception {
    HttpListener server =
        new HttpListener(new HttpListenerOptions("server", "127.0.0.1", 0, 1_000, 1), this::handle);
    server.start();
    EntrySettings settings = settings();
    SystemTimeSource time = new SystemTimeSource();
    TrafficDirector director =
        new TrafficDirector(settings.member(1), settings.location(), settings.bounds());
    EntryService entry =
        new EntryService(
            settings,
            director,
            PlatformHeaders.NAMES,
            new WaitingRequests(new ControlExecutor(unused -> {})),
            new RequestLog(new EventLog("entry-1", time), new MetricRegistry()),
            time);
    entry.apply(view(server.port(), settings.member(1)));
    entry.start();
    try (Socket caller = new Socket("127.0.0.1", settings.callerAddress().port())) {
      caller.setSoTimeout(5_000);
      String requests = get("/read/1") + get("/read/2") + post("/book/3") + get("/read/4");
      caller.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
      Arrival first = takeArrival();
      Arrival second = takeArrival();
      assertEquals(
          List.of(first.target(), second.target()).stream().sorted().toList(),
          List.of("/read/1", "/read/2"));
      assertNull(arrivals.poll(QUIET_MILLISECONDS, TimeUnit.MILLISECONDS));
      first.respond();
      assertNull(arrivals.poll(QUIET_MILLISECONDS, TimeUnit.MILLISECONDS));
      second.respond();
      Arrival third = takeArrival();
      assertEquals(third.target(), "/book/3");
      assertNull(arrivals.poll(QUIET_MILLISECONDS, TimeUnit.MILLISECONDS));
      third.respond();
      Arrival fourth = takeArrival();
      fourth.respond();
      assertEquals(readBodies(caller, 4), List.of("/read/1", "/read/2", "/book/3", "/read/4"));
    } finally {
      entry.stopGracefully();
      server.stop(0);
    }
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    String identifier = request.headers().first("Request-Id").orElse("");
    arrivals.add(new Arrival(request.target(), answer, identifier));
    return answer;
  }

  private Arrival takeArrival() throws InterruptedException {
    Arrival arrival = arrivals.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS);
    if (arrival == null) {
      throw new AssertionError("nothing arrived at the server");
    }
    return arrival;
  }

  private static String get(String target) {
    return "GET " + target + fields(target) + "\r\n";
  }

  private static String post(String target) {
    return "POST " + target + fields(target) + "Content-Length: 2\r\n\r\nab";
  }

  private static String fields(String target) {
    return " HTTP/1.1\r\nHost: rota.example\r\nRequest-Id: r" + target + "\r\n";
  }

  private static List<String> readBodies(Socket caller, int count) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(caller.getInputStream(), StandardCharsets.ISO_8859_1));
    List<String> bodies = new ArrayList<>();
    while (bodies.size() < count) {
      int length = 0;
      for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
        if (line.startsWith("Content-Length: ")) {
          length = Integer.parseInt(line.substring("Content-Length: ".length()));
        }
      }
      char[] body = new char[length];
      for (int read = 0; read < length; read += reader.read(body, read, length - read)) {
        // The whole body is read.
      }
      bodies.add(new String(body));
    }
    return bodies;
  }

  private static EntrySettings settings() throws IOException {
    return new EntrySettings(
        "entry-1",
        new InstanceLocation("north-a", "north", Map.of("north-a", "north")),
        freeAddress(),
        freeAddress(),
        freeAddress(),
        1,
        1,
        new HttpAddress("127.0.0.1", 1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(3),
        Duration.ofSeconds(1),
        1_000,
        1,
        UnfinishedLimitSettings.DEFAULT,
        new FleetBounds(0.2, 20, Duration.ofSeconds(10), 0.1, 20, Duration.ofSeconds(5)));
  }

  private static HttpAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new HttpAddress("127.0.0.1", free.getLocalPort());
    }
  }

  private static TrafficRoute route(String name, boolean idempotent) {
    return new TrafficRoute(
        name,
        "rota.example",
        "/" + name + "/",
        idempotent ? RequestKind.SAFE : RequestKind.UNSAFE,
        Duration.ofSeconds(10),
        Duration.ofMillis(600),
        1,
        List.of(new WeightedService("desk", 1)),
        2,
        false,
        true,
        Set.of());
  }

  private static FleetView view(int serverPort, FleetMember self) {
    ServerRegistration server =
        new ServerRegistration(
            "server-1", "desk", "127.0.0.1", serverPort, "north-a", 9, false, Duration.ZERO, 1);
    TrafficConfiguration configuration =
        new TrafficConfiguration(
            1,
            List.of(route("read", true), route("book", false)),
            Map.of("desk", new ServiceSettings("desk", "/health", 100, Duration.ofSeconds(3), 9)),
            List.of(),
            new CallerLimits(1000, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    return new FleetView(
        Optional.of(new TrafficIndex(configuration)),
        Map.of("server-1", server),
        Set.of(),
        List.of(self),
        Optional.empty(),
        1);
  }
}
