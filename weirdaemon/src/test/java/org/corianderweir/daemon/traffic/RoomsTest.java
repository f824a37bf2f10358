package org.corianderweir.daemon.traffic;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Holds {@link Delivery} to the room that {@link Rooms} gives. */
public class RoomsTest {
  private static final HttpHeaders SOON =
      HttpHeaders.NONE.with(CallerHeaders.DEADLINE_MILLISECONDS, "300");

  @Test
  public void aRequestWithoutRoomIsRefusedAsNotRun() {
    try (FakeBackend backend = new FakeBackend("server", FakeBackend::answer);
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      entry.room.set(0);
      String told = TestEntry.told(entry.call("POST", "/a", SOON));
      assertEquals(List.of(told, backend.journal.size()), List.of("no-capacity not-run", 0));
    }
  }

  @Test
  public void aWaitingRequestTakesTheRoomThatGetsFree() {
    CompletableFuture<HttpReply> held = new CompletableFuture<>();
    try (FakeBackend backend = new FakeBackend("server", call -> held);
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      entry.room.set(1);
      CompletableFuture<HttpReply> first = entry.start("POST", "/a", HttpHeaders.NONE);
      CompletableFuture<HttpReply> second = entry.start("POST", "/a", HttpHeaders.NONE);
      held.complete(HttpReply.json(200, "{}"));
      assertEquals(
          List.of(TestEntry.told(first.join()), TestEntry.told(second.join())),
          List.of("200", "200"));
    }
  }

  @DataProvider
  public Object[][] behaviours() {
    Function<HttpCall, CompletableFuture<HttpReply>> answers = FakeBackend::answer;
    Function<HttpCall, CompletableFuture<HttpReply>> refuses = FakeBackend::refuse;
    Function<HttpCall, CompletableFuture<HttpReply>> loses = FakeBackend::loseAnswer;
    return new Object[][] {{answers}, {refuses}, {loses}};
  }

  @Test(dataProvider = "behaviours")
  public void roomIsGivenBackAfterEachOutcome(
      Function<HttpCall, CompletableFuture<HttpReply>> behaviour) {
    try (FakeBackend backend = new FakeBackend("server", behaviour);
        TestEntry entry =
            new TestEntry("entry", TestEntry.noMembers(), List.of(backend.server()))) {
      entry.call("GET", "/a", SOON);
      assertEquals(entry.room.get(), TestEntry.PLENTY);
    }
  }
}
