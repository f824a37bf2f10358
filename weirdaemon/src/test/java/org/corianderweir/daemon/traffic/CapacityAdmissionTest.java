package org.corianderweir.daemon.traffic;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link Delivery} respects the permits of {@link CapacityAdmission}. */
public class CapacityAdmissionTest {
  private static final HttpHeaders SHORT_DEADLINE =
      HttpHeaders.NONE.with(CallerHeaders.DEADLINE_MILLISECONDS, "300");

  @Test
  public void requestWithoutCapacityIsRefusedAsNotRun() {
    try (FakeBackendServer backend = new FakeBackendServer("server", FakeBackendServer::answer);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      entry.availableCapacity.set(0);
      String outcome = TestEntryInstance.outcome(entry.call("POST", "/a", SHORT_DEADLINE));
      assertEquals(
          List.of(outcome, backend.receivedRequests.size()), List.of("no-capacity not-run", 0));
    }
  }

  @Test
  public void waitingRequestTakesReleasedCapacity() {
    CompletableFuture<HttpResponse> held = new CompletableFuture<>();
    try (FakeBackendServer backend = new FakeBackendServer("server", request -> held);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      entry.availableCapacity.set(1);
      CompletableFuture<HttpResponse> first = entry.start("POST", "/a", HttpHeaders.NONE);
      CompletableFuture<HttpResponse> second = entry.start("POST", "/a", HttpHeaders.NONE);
      held.complete(HttpResponse.json(200, "{}"));
      assertEquals(
          List.of(
              TestEntryInstance.outcome(first.join()), TestEntryInstance.outcome(second.join())),
          List.of("200", "200"));
    }
  }

  @DataProvider
  public Object[][] behaviours() {
    Function<HttpRequest, CompletableFuture<HttpResponse>> answers = FakeBackendServer::answer;
    Function<HttpRequest, CompletableFuture<HttpResponse>> refuses = FakeBackendServer::refuse;
    Function<HttpRequest, CompletableFuture<HttpResponse>> loses = FakeBackendServer::loseAnswer;
    return new Object[][] {{answers}, {refuses}, {loses}};
  }

  @Test(dataProvider = "behaviours")
  public void capacityIsReleasedAfterEachOutcome(
      Function<HttpRequest, CompletableFuture<HttpResponse>> behaviour) {
    try (FakeBackendServer backend = new FakeBackendServer("server", behaviour);
        TestEntryInstance entry =
            new TestEntryInstance(
                "entry", TestEntryInstance.noMembers(), List.of(backend.server()))) {
      entry.call("GET", "/a", SHORT_DEADLINE);
      assertEquals(entry.availableCapacity.get(), TestEntryInstance.AMPLE_CAPACITY);
    }
  }
}
