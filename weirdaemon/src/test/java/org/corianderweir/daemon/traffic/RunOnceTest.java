package org.corianderweir.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.logic.membership.Member;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests run once, over real sockets; the journal of the backend server decides. */
public class RunOnceTest {
  private static HttpHeaders named(String identifier) {
    return HttpHeaders.NONE.with(CallerHeaders.REQUEST, identifier);
  }

  @Test
  public void repetitionAtAnyEntryInstanceGetsTheFirstAnswer() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      List<String> told = new ArrayList<>();
      told.add(pair.second.call("POST", "/fee", headers).bodyText());
      told.add(pair.first.call("POST", "/fee", headers).bodyText());
      told.add(pair.second.call("POST", "/fee", headers).bodyText());
      assertEquals(
          List.of(told, backend.journal.size()),
          List.of(List.of("\"done\"", "\"done\"", "\"done\""), 1));
    }
  }

  @Test
  public void repetitionWhileTheFirstRunsWaitsForItsAnswer() throws InterruptedException {
    CompletableFuture<HttpReply> held = new CompletableFuture<>();
    CountDownLatch arrived = new CountDownLatch(1);
    try (FakeBackend backend =
            new FakeBackend(
                "server",
                call -> {
                  arrived.countDown();
                  return held;
                });
        Pair pair = new Pair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      CompletableFuture<HttpReply> first = pair.first.start("POST", "/fee", headers);
      assertTrue(arrived.await(20, TimeUnit.SECONDS));
      first.cancel(false);
      CompletableFuture<HttpReply> second = pair.second.start("POST", "/fee", headers);
      held.complete(HttpReply.json(200, "\"once\""));
      assertEquals(
          List.of(second.join().bodyText(), backend.journal.size()), List.of("\"once\"", 1));
    }
  }

  @Test
  public void repetitionAfterTheIssuerIsGoneIsUnknown() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      pair.first.call("POST", "/fee", headers);
      pair.first.close();
      String unreachable = TestEntry.told(pair.second.call("POST", "/fee", headers));
      pair.members.removeIf(member -> member.instance().name().equals("entry-1"));
      String unlisted = TestEntry.told(pair.second.call("POST", "/fee", headers));
      assertEquals(
          List.of(unreachable, unlisted, backend.journal.size()),
          List.of("outcome-unknown unknown", "outcome-unknown unknown", 1));
    }
  }

  @Test
  public void issuerOfEarlierIncarnationIsGone() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      pair.first.close();
      pair.members.removeIf(member -> member.instance().name().equals("entry-1"));
      try (TestEntry restarted =
          new TestEntry("entry-1", pair.members, List.of(backend.server()))) {
        assertEquals(
            List.of(
                TestEntry.told(restarted.call("POST", "/fee", headers)),
                TestEntry.told(pair.second.call("POST", "/fee", headers)),
                backend.journal.size()),
            List.of("outcome-unknown unknown", "outcome-unknown unknown", 0));
      }
    }
  }

  @Test
  public void forwardedRequestIsNotForwardedAgain() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      HttpHeaders headers =
          named(pair.first.identifier()).with(CallerHeaders.FORWARDED_BY, "entry-1");
      assertEquals(
          TestEntry.told(pair.second.call("POST", "/fee", headers)), "outcome-unknown unknown");
    }
  }

  @Test
  public void certainlyNotRunMayRunLater() {
    List<Boolean> refuses = new ArrayList<>(List.of(true));
    try (FakeBackend backend =
            new FakeBackend(
                "server",
                call ->
                    refuses.removeLast() ? FakeBackend.refuse(call) : FakeBackend.answer(call));
        Pair pair = new Pair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      String refused = TestEntry.told(pair.second.call("POST", "/fee", headers));
      refuses.add(false);
      String answered = TestEntry.told(pair.first.call("POST", "/fee", headers));
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
  public void callersOwnIdentifierPromisesNothing(
      String method, String identifier, String expected, int runs) {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      String told = TestEntry.told(pair.first.call(method, "/fee", named(identifier)));
      assertEquals(List.of(told, backend.journal.size()), List.of(expected, runs));
    }
  }

  @Test
  public void identifierBelongsToOneContent() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      HttpHeaders headers = named(pair.first.identifier());
      pair.first.call("POST", "/fee", headers);
      assertEquals(
          TestEntry.told(pair.first.call("POST", "/other", headers)), "identifier-invalid unknown");
    }
  }

  @Test
  public void malformedRepetitionIsNotCalledNotRun() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        Pair pair = new Pair(backend)) {
      HttpHeaders headers =
          named(pair.first.identifier()).with(CallerHeaders.DEADLINE_MILLISECONDS, "soon");
      String before = TestEntry.told(pair.first.call("POST", "/fee", headers));
      String elsewhere = TestEntry.told(pair.second.call("POST", "/fee", headers));
      pair.first.call("POST", "/fee", named(headers.first(CallerHeaders.REQUEST).orElseThrow()));
      String after = TestEntry.told(pair.first.call("POST", "/fee", headers));
      assertEquals(
          List.of(before, elsewhere, after),
          List.of("request-invalid not-run", "request-invalid unknown", "request-invalid unknown"));
    }
  }

  /** Two entry instances that know each other, before the same backend server. */
  private static final class Pair implements AutoCloseable {
    final List<Member> members = TestEntry.noMembers();
    final TestEntry first;
    final TestEntry second;

    Pair(FakeBackend backend) {
      first = new TestEntry("entry-1", members, List.of(backend.server()));
      second = new TestEntry("entry-2", members, List.of(backend.server()));
    }

    @Override
    public void close() {
      first.close();
      second.close();
    }
  }
}
