package org.corianderweir.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.membership.Member;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests over real sockets that a request with an identifier runs at most once. The requests that
 * the backend server recorded show how often it ran.
 */
public class RunOnceTest {
  private static HttpHeaders named(String identifier) {
    return HttpHeaders.NONE.with(CallerHeaders.REQUEST, identifier);
  }

  @Test
  public void repetitionAtAnyEntryInstanceGetsTheFirstAnswer() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      List<String> bodies = new ArrayList<>();
      bodies.add(pair.second.call("POST", "/fee", headers).bodyText());
      bodies.add(pair.first.call("POST", "/fee", headers).bodyText());
      bodies.add(pair.second.call("POST", "/fee", headers).bodyText());
      assertEquals(
          List.of(bodies, backend.receivedRequests.size()),
          List.of(List.of("\"done\"", "\"done\"", "\"done\""), 1));
    }
  }

  @Test
  public void repetitionWhileTheFirstRunsWaitsForItsAnswer() throws InterruptedException {
    CompletableFuture<HttpResponse> held = new CompletableFuture<>();
    CountDownLatch arrived = new CountDownLatch(1);
    try (FakeBackendServer backend =
            new FakeBackendServer(
                "server",
                request -> {
                  arrived.countDown();
                  return held;
                });
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      CompletableFuture<HttpResponse> first = pair.first.start("POST", "/fee", headers);
      assertTrue(arrived.await(20, TimeUnit.SECONDS));
      first.cancel(false);
      CompletableFuture<HttpResponse> second = pair.second.start("POST", "/fee", headers);
      held.complete(HttpResponse.json(200, "\"once\""));
      assertEquals(
          List.of(second.join().bodyText(), backend.receivedRequests.size()),
          List.of("\"once\"", 1));
    }
  }

  @Test
  public void repetitionAfterTheIssuerIsGoneIsUnknown() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      pair.first.call("POST", "/fee", headers);
      pair.first.close();
      String unreachable = TestEntryInstance.outcome(pair.second.call("POST", "/fee", headers));
      pair.members.removeIf(member -> member.instance().name().equals("entry-1"));
      String unlisted = TestEntryInstance.outcome(pair.second.call("POST", "/fee", headers));
      assertEquals(
          List.of(unreachable, unlisted, backend.receivedRequests.size()),
          List.of("outcome-unknown unknown", "outcome-unknown unknown", 1));
    }
  }

  @Test
  public void issuerOfEarlierIncarnationIsGone() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      pair.first.close();
      pair.members.removeIf(member -> member.instance().name().equals("entry-1"));
      try (TestEntryInstance restarted =
          new TestEntryInstance("entry-1", pair.members, List.of(backend.server()))) {
        assertEquals(
            List.of(
                TestEntryInstance.outcome(restarted.call("POST", "/fee", headers)),
                TestEntryInstance.outcome(pair.second.call("POST", "/fee", headers)),
                backend.receivedRequests.size()),
            List.of("outcome-unknown unknown", "outcome-unknown unknown", 0));
      }
    }
  }

  @Test
  public void forwardedRequestIsNotForwardedAgain() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers =
          named(pair.first.identifier()).with(CallerHeaders.FORWARDED_BY, "entry-1");
      assertEquals(
          TestEntryInstance.outcome(pair.second.call("POST", "/fee", headers)),
          "outcome-unknown unknown");
    }
  }

  @Test
  public void requestThatDidNotRunMayRunLater() {
    AtomicBoolean refuses = new AtomicBoolean(true);
    try (FakeBackendServer backend =
            new FakeBackendServer(
                "server",
                request ->
                    refuses.get()
                        ? FakeBackendServer.refuse(request)
                        : FakeBackendServer.answer(request));
        InstancePair pair = new InstancePair(backend)) {
      String identifier = pair.first.identifier();
      HttpHeaders shortDeadline =
          named(identifier).with(CallerHeaders.DEADLINE_MILLISECONDS, "400");
      HttpHeaders headers = named(identifier);
      String refused = TestEntryInstance.outcome(pair.second.call("POST", "/fee", shortDeadline));
      refuses.set(false);
      String answered = TestEntryInstance.outcome(pair.first.call("POST", "/fee", headers));
      assertEquals(List.of(refused, answered), List.of("no-capacity not-run", "200"));
    }
  }

  @DataProvider
  public Object[][] callersIdentifiers() {
    return new Object[][] {
      {"POST", "order-17", "identifier-invalid not-run", 0},
      {"PATCH", "weir1.x", "identifier-invalid not-run", 0},
      {"GET", "order-17", "200", 1},
      {"PUT", "order-17", "200", 1}
    };
  }

  @Test(dataProvider = "callersIdentifiers")
  public void callerChosenIdentifierIsNotDeduplicated(
      String method, String identifier, String expected, int runs) {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      String outcome =
          TestEntryInstance.outcome(pair.first.call(method, "/fee", named(identifier)));
      assertEquals(List.of(outcome, backend.receivedRequests.size()), List.of(expected, runs));
    }
  }

  @Test
  public void identifierIsRefusedForAnotherRequest() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      pair.first.call("POST", "/fee", headers);
      assertEquals(
          TestEntryInstance.outcome(pair.first.call("POST", "/other", headers)),
          "identifier-invalid unknown");
    }
  }

  @Test
  public void malformedRepetitionIsNotCalledNotRun() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        InstancePair pair = new InstancePair(backend)) {
      HttpHeaders headers =
          named(pair.first.identifier()).with(CallerHeaders.DEADLINE_MILLISECONDS, "soon");
      String before = TestEntryInstance.outcome(pair.first.call("POST", "/fee", headers));
      String elsewhere = TestEntryInstance.outcome(pair.second.call("POST", "/fee", headers));
      pair.first.call("POST", "/fee", named(headers.first(CallerHeaders.REQUEST).orElseThrow()));
      String after = TestEntryInstance.outcome(pair.first.call("POST", "/fee", headers));
      assertEquals(
          List.of(before, elsewhere, after),
          List.of("request-invalid not-run", "request-invalid unknown", "request-invalid unknown"));
    }
  }

  /** Two entry instances of one fleet that use the same backend server. */
  private static final class InstancePair implements AutoCloseable {
    final List<Member> members = TestEntryInstance.noMembers();
    final TestEntryInstance first;
    final TestEntryInstance second;

    InstancePair(FakeBackendServer backend) {
      first = new TestEntryInstance("entry-1", members, List.of(backend.server()));
      second = new TestEntryInstance("entry-2", members, List.of(backend.server()));
    }

    @Override
    public void close() {
      first.close();
      second.close();
    }
  }
}
