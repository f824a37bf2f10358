package org.corianderweir.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.configuration.BackendServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Delivery} and {@link BackendMessages} over real sockets. */
public class DeliveryTest {
  /** Behaviour of a backend server. */
  private enum Behaviour {
    ANSWERS(FakeBackendServer::answer),
    REFUSES(FakeBackendServer::refuse),
    LOSES_ANSWER(FakeBackendServer::loseAnswer),
    REFUSES_FALSELY(
        request ->
            CompletableFuture.completedFuture(
                HttpResponse.json(503, "{}").withHeader("Server-Refused", "maybe")));

    private final Function<HttpRequest, CompletableFuture<HttpResponse>> handler;

    Behaviour(Function<HttpRequest, CompletableFuture<HttpResponse>> handler) {
      this.handler = handler;
    }
  }

  @DataProvider
  public Object[][] outcomes() {
    return new Object[][] {
      {"GET", Behaviour.LOSES_ANSWER, "answer-lost unknown", 3},
      {"PUT", Behaviour.LOSES_ANSWER, "answer-lost unknown", 3},
      {"POST", Behaviour.LOSES_ANSWER, "answer-lost unknown", 1},
      {"PATCH", Behaviour.LOSES_ANSWER, "answer-lost unknown", 1},
      {"POST", Behaviour.REFUSES_FALSELY, "503", 1},
      {"POST", Behaviour.ANSWERS, "200", 1}
    };
  }

  @Test(dataProvider = "outcomes")
  public void triesAgainOnlyWhatIsSafe(
      String method, Behaviour behaviour, String expected, int attempts) {
    List<FakeBackendServer> backends = new ArrayList<>();
    for (int number = 0; number < 3; number++) {
      backends.add(new FakeBackendServer("server-" + number, behaviour.handler));
    }
    List<BackendServer> servers = backends.stream().map(FakeBackendServer::server).toList();
    try (TestEntryInstance entry =
        new TestEntryInstance("entry", TestEntryInstance.noMembers(), servers)) {
      String outcome = TestEntryInstance.outcome(entry.call(method, "/a", HttpHeaders.NONE));
      int receivedCount =
          backends.stream().mapToInt(backend -> backend.receivedRequests.size()).sum();
      assertEquals(List.of(outcome, receivedCount), List.of(expected, attempts));
    } finally {
      backends.forEach(FakeBackendServer::close);
    }
  }

  /** A request that a full server refuses is retried until its deadline and counts as not run. */
  @Test
  public void refusedRequestWaitsUntilItsDeadline() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::refuse);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers = HttpHeaders.NONE.with(CallerHeaders.DEADLINE_MILLISECONDS, "300");
      String outcome = TestEntryInstance.outcome(entry.call("POST", "/a", headers));
      assertEquals(
          List.of(outcome, backend.receivedRequests.size() > 1),
          List.of("no-capacity not-run", true));
    }
  }

  @Test
  public void waitingRequestTakesTheSlotThatGetsFree() {
    CompletableFuture<HttpResponse> held = new CompletableFuture<>();
    List<CompletableFuture<HttpResponse>> callers = new ArrayList<>();
    try (FakeBackendServer backend = new FakeBackendServer("server", request -> held);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      for (int caller = 0; caller < 10; caller++) {
        callers.add(entry.start("POST", "/a", HttpHeaders.NONE));
      }
      held.complete(HttpResponse.json(200, "{}"));
      List<String> outcomes =
          callers.stream().map(CompletableFuture::join).map(TestEntryInstance::outcome).toList();
      assertEquals(
          List.of(outcomes, backend.receivedRequests.size()),
          List.of(java.util.Collections.nCopies(10, "200"), 10));
    }
  }

  @Test
  public void unreachableServerIsPassedBy() throws IOException {
    try (FakeBackendServer backend = new FakeBackendServer("server-2", FakeBackendServer::answer);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(unreachable(), backend.server()))) {
      List<String> outcomes = new ArrayList<>();
      for (int request = 0; request < 8; request++) {
        outcomes.add(TestEntryInstance.outcome(entry.call("POST", "/a", HttpHeaders.NONE)));
      }
      assertEquals(outcomes, List.of("200", "200", "200", "200", "200", "200", "200", "200"));
    }
  }

  @Test
  public void deadlineExceededAtTheServerIsUnknown() {
    try (FakeBackendServer backend =
            new FakeBackendServer("server", request -> new CompletableFuture<>());
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers = HttpHeaders.NONE.with(CallerHeaders.DEADLINE_MILLISECONDS, "300");
      assertEquals(
          TestEntryInstance.outcome(entry.call("POST", "/a", headers)),
          "deadline-exceeded unknown");
    }
  }

  /** Requests that were read late were delivered although their callers' closes had arrived. */
  @Test
  public void requestsHandledAfterTheirCallersLeftAreNotDelivered() throws Exception {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      entry.pause();
      for (int caller = 0; caller < 20; caller++) {
        try (Socket socket = new Socket("127.0.0.1", entry.port())) {
          socket
              .getOutputStream()
              .write(
                  "GET /gone HTTP/1.1\r\nHost: here\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
      }
      TimeUnit.MILLISECONDS.sleep(300);
      entry.resume();
      assertEquals(entry.call("GET", "/present", HttpHeaders.NONE).status(), 200);
      TimeUnit.MILLISECONDS.sleep(300);
      List<String> delivered = backend.receivedRequests.stream().map(HttpRequest::path).toList();
      assertEquals(delivered, List.of("/present"));
    }
  }

  /** When the caller disconnects, the connection to the backend server is closed too. */
  @Test
  public void callerThatGoesAwayFreesItsPlace() throws InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch cancelled = new CountDownLatch(1);
    try (FakeBackendServer backend =
            new FakeBackendServer(
                "server",
                request -> {
                  CompletableFuture<HttpResponse> held = new CompletableFuture<>();
                  held.whenComplete((response, failure) -> cancelled.countDown());
                  arrived.countDown();
                  return held;
                });
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      CompletableFuture<HttpResponse> caller = entry.start("POST", "/a", HttpHeaders.NONE);
      assertTrue(arrived.await(20, TimeUnit.SECONDS));
      caller.cancel(false);
      assertTrue(cancelled.await(20, TimeUnit.SECONDS));
      assertEquals(backend.receivedRequests.size(), 1);
    }
  }

  @DataProvider
  public Object[][] keySpellings() {
    return new Object[][] {
      {"Weir-Key"}, {"weir-key"}, {"WEIR-KEY"}, {"wEiR-kEy"}, {"Weir-Organisation"},
      {"Weir-Forwarded-By"}, {"Weir-Execution"}, {"Connection"}, {"Keep-Alive"}, {"TE"},
      {"Proxy-Authorization"}, {"Upgrade"}, {"X-Named-By-Connection"}
    };
  }

  @Test(dataProvider = "keySpellings")
  public void fieldIsNotHandedOn(String field) {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers =
          HttpHeaders.NONE.with(field, "X-Named-By-Connection").with("Connection", field);
      entry.call("GET", "/a", headers);
      assertEquals(
          backend.receivedRequests.getFirst().headers().first(field).orElse("none"), "none");
    }
  }

  @Test
  public void doubledKeyIsRefused() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers = HttpHeaders.NONE.with("Weir-Key", "a").with("weir-key", "b");
      assertEquals(
          TestEntryInstance.outcome(entry.call("GET", "/a", headers)), "request-invalid not-run");
    }
  }

  @Test
  public void serverCannotSpeakForTheEntryInstance() {
    try (FakeBackendServer backend =
            new FakeBackendServer(
                "server",
                request ->
                    CompletableFuture.completedFuture(
                        HttpResponse.json(500, "{}")
                            .withHeader("Weir-Refusal", "no-capacity")
                            .withHeader("Weir-Execution", "not-run")));
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      assertEquals(TestEntryInstance.outcome(entry.call("POST", "/a", HttpHeaders.NONE)), "500");
    }
  }

  private static BackendServer unreachable() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return FakeBackendServer.server("server-1", socket.getLocalPort());
    }
  }
}
