package org.corianderweir.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.configuration.BackendServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Delivery} and {@link BackendMessages} over real sockets. */
public class DeliveryTest {
  /** How a backend server behaves. */
  private enum Behaviour {
    ANSWERS(FakeBackend::answer),
    REFUSES(FakeBackend::refuse),
    LOSES_ANSWER(FakeBackend::loseAnswer),
    REFUSES_FALSELY(
        call ->
            CompletableFuture.completedFuture(
                HttpReply.json(503, "{}").with("Server-Refused", "maybe")));

    private final Function<HttpCall, CompletableFuture<HttpReply>> answer;

    Behaviour(Function<HttpCall, CompletableFuture<HttpReply>> answer) {
      this.answer = answer;
    }
  }

  @DataProvider
  public Object[][] outcomes() {
    return new Object[][] {
      {"GET", Behaviour.REFUSES, "no-capacity not-run", 3},
      {"POST", Behaviour.REFUSES, "no-capacity not-run", 3},
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
    List<FakeBackend> backends = new ArrayList<>();
    for (int number = 0; number < 3; number++) {
      backends.add(new FakeBackend("server-" + number, behaviour.answer));
    }
    List<BackendServer> servers = backends.stream().map(FakeBackend::server).toList();
    try (TestEntry entry = new TestEntry("entry", TestEntry.noMembers(), servers)) {
      String told = TestEntry.told(entry.call(method, "/a", HttpHeaders.NONE));
      int journal = backends.stream().mapToInt(backend -> backend.journal.size()).sum();
      assertEquals(List.of(told, journal), List.of(expected, attempts));
    } finally {
      backends.forEach(FakeBackend::close);
    }
  }

  @Test
  public void unreachableServerIsPassedBy() throws IOException {
    try (FakeBackend backend = new FakeBackend("server-2", FakeBackend::answer);
        TestEntry entry =
            new TestEntry(
                "entry", TestEntry.noMembers(), List.of(unreachable(), backend.server()))) {
      List<String> told = new ArrayList<>();
      for (int request = 0; request < 8; request++) {
        told.add(TestEntry.told(entry.call("POST", "/a", HttpHeaders.NONE)));
      }
      assertEquals(told, List.of("200", "200", "200", "200", "200", "200", "200", "200"));
    }
  }

  @Test
  public void deadlineThatPassesAtTheServerIsUnknown() {
    try (FakeBackend backend = new FakeBackend("server", call -> new CompletableFuture<>());
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers = HttpHeaders.NONE.with(CallerHeaders.DEADLINE_MILLISECONDS, "300");
      assertEquals(TestEntry.told(entry.call("POST", "/a", headers)), "deadline-exceeded unknown");
    }
  }

  /** The caller goes away; the server sees its connection close and the next request is served. */
  @Test
  public void callerThatGoesAwayFreesItsPlace() throws InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch cancelled = new CountDownLatch(1);
    try (FakeBackend backend =
            new FakeBackend(
                "server",
                call -> {
                  CompletableFuture<HttpReply> held = new CompletableFuture<>();
                  held.whenComplete((reply, failure) -> cancelled.countDown());
                  arrived.countDown();
                  return held;
                });
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      CompletableFuture<HttpReply> caller = entry.start("POST", "/a", HttpHeaders.NONE);
      assertTrue(arrived.await(20, TimeUnit.SECONDS));
      caller.cancel(false);
      assertTrue(cancelled.await(20, TimeUnit.SECONDS));
      assertEquals(backend.journal.size(), 1);
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
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers =
          HttpHeaders.NONE.with(field, "X-Named-By-Connection").with("Connection", field);
      entry.call("GET", "/a", headers);
      assertEquals(backend.journal.getFirst().headers().first(field).orElse("none"), "none");
    }
  }

  @Test
  public void doubledKeyIsRefused() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      HttpHeaders headers = HttpHeaders.NONE.with("Weir-Key", "a").with("weir-key", "b");
      assertEquals(TestEntry.told(entry.call("GET", "/a", headers)), "request-invalid not-run");
    }
  }

  @Test
  public void serverCannotSpeakForTheEntryInstance() {
    try (FakeBackend backend =
            new FakeBackend(
                "server",
                call ->
                    CompletableFuture.completedFuture(
                        HttpReply.json(500, "{}")
                            .with("Weir-Refusal", "no-capacity")
                            .with("Weir-Execution", "not-run")));
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      assertEquals(TestEntry.told(entry.call("POST", "/a", HttpHeaders.NONE)), "500");
    }
  }

  private static BackendServer unreachable() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return FakeBackend.server("server-1", socket.getLocalPort());
    }
  }
}
