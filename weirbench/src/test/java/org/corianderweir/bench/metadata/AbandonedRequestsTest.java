package org.corianderweir.bench.metadata;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of an entry instance whose callers leave while it gets no processor time. */
public class AbandonedRequestsTest {
  private static final int CALLER_COUNT = 20;

  /** A request that is sent on reaches its server within this time. */
  private static final long SETTLE_MILLISECONDS = 500;

  private static final String TRAFFIC_THREAD_PREFIX = "requests";

  private PausableTimeSource time;
  private EntryInstanceFixture fixture;

  @BeforeMethod
  public void start() throws Exception {
    time = new PausableTimeSource(TRAFFIC_THREAD_PREFIX);
    fixture = new EntryInstanceFixture(time);
  }

  @AfterMethod
  public void stop() throws Exception {
    time.resume();
    fixture.close();
  }

  @DataProvider
  public Object[][] departures() {
    return new Object[][] {{"GET /read/x", false}, {"GET /read/x", true}, {"POST /book/x", false}};
  }

  /**
   * Requests that were read late were sent on to servers although the close of their caller's
   * connection had already arrived behind them.
   */
  @Test(dataProvider = "departures")
  public void requestsReadAfterTheirCallersLeftAreNotForwarded(String requestLine, boolean reset)
      throws Exception {
    time.pause();
    for (int caller = 0; caller < CALLER_COUNT; caller++) {
      Socket socket = send(requestLine, "gone-" + caller);
      socket.setSoLinger(reset, 0);
      socket.close();
    }
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLISECONDS);
    time.resume();
    assertForwarded(List.of("present"));
  }

  /** A request must not be repeated at another server after its caller left. */
  @Test
  public void requestIsNotRepeatedAfterItsCallerLeft() throws Exception {
    fixture.servers().forEach(server -> server.setFault(ServerStandIn.Fault.FULL_LATE));
    Socket leaving = send("GET /read/x", "leaving");
    EntryInstanceFixture.await(() -> heldRequests() == 1);
    time.pause();
    Socket other = send("GET /read/x", "other");
    EntryInstanceFixture.await(() -> time.waitingThreads() > 0);
    leaving.close();
    fixture.servers().forEach(server -> server.setFault(ServerStandIn.Fault.NONE));
    fixture.servers().forEach(ServerStandIn::releaseHeldRequests);
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLISECONDS);
    time.resume();
    assertForwarded(List.of("other", "present"));
    other.close();
  }

  /** Sends a request of a caller that stays, and compares the requests that servers ran. */
  private void assertForwarded(List<String> expected) throws Exception {
    try (Socket present = send("GET /read/x", "present")) {
      assertEquals(present.getInputStream().read(), 'H');
    }
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLISECONDS);
    List<String> forwarded =
        fixture.servers().stream()
            .flatMap(server -> server.executedRequests().stream())
            .map(AbandonedRequestsTest::identifier)
            .sorted()
            .toList();
    assertEquals(forwarded, expected);
  }

  private int heldRequests() {
    return fixture.servers().stream().mapToInt(ServerStandIn::heldRequestCount).sum();
  }

  private Socket send(String requestLine, String identifier) throws IOException {
    HttpAddress address = fixture.settings().callerAddress();
    Socket socket = new Socket(address.host(), address.port());
    EntryInstanceFixture.send(socket, requestLine, identifier);
    return socket;
  }

  private static String identifier(HttpRequest request) {
    return request.headers().first("Request-Id").orElse("none");
  }
}
