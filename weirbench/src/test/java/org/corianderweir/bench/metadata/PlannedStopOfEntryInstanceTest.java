package org.corianderweir.bench.metadata;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.http.HttpAddress;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of callers that use kept connections while an entry instance stops. */
public class PlannedStopOfEntryInstanceTest {
  private static final String REQUEST_LINE = "GET /read/x";
  private static final int CALLER_COUNT = 120;
  private static final long FIRST_REQUEST_MILLISECONDS = 2_300;
  private static final long REQUEST_GAP_MILLISECONDS = 5;

  /** A caller may wait this long without an answer before its connection ends. */
  private static final Duration LONGEST_UNANSWERED_TIME = Duration.ofMillis(200);

  private static final int BUSY_CALLER_COUNT = 6;
  private static final long BUSY_CALLER_PAUSE_MILLISECONDS = 400;
  private static final int MOST_REQUESTS = 100;
  private static final int ANSWER_TIMEOUT_MILLISECONDS = 5_000;
  private static final int LATE_CALLER_COUNT = 60;
  private static final long LATE_REQUEST_GAP_MILLISECONDS = 15;

  /** The request is admitted, and its time is not over when the instance ends. */
  private static final long SLOW_REQUEST_MILLISECONDS = 2_000;

  private static final int BEHIND_COUNT = 3;
  private static final Duration SHORT_STOP_TIMEOUT = Duration.ofMillis(1_500);
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3})");

  /** A stopping instance admits all requests for this time. */
  private static final long ADMISSION_MILLISECONDS = 2_550;

  /** A soak saw a request on a kept connection that was neither read nor soon cut off. */
  @Test
  public void requestOnAKeptConnectionIsAnsweredOrTheConnectionEndsSoon() throws Exception {
    EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource());
    HttpAddress address = fixture.settings().callerAddress();
    List<Socket> callers = new ArrayList<>();
    for (int caller = 0; caller < CALLER_COUNT; caller++) {
      callers.add(new Socket(address.host(), address.port()));
      EntryInstanceFixture.send(callers.getLast(), REQUEST_LINE, "kept-" + caller);
      callers.getLast().getInputStream().read(new byte[1024]);
    }
    Thread stop = new Thread(() -> stop(fixture));
    stop.start();
    TimeUnit.MILLISECONDS.sleep(FIRST_REQUEST_MILLISECONDS);
    List<CompletableFuture<Optional<Duration>>> waits = new ArrayList<>();
    for (int caller = 0; caller < CALLER_COUNT; caller++) {
      Socket socket = callers.get(caller);
      String identifier = "late-" + caller;
      waits.add(CompletableFuture.supplyAsync(() -> unansweredTime(socket, identifier)));
      TimeUnit.MILLISECONDS.sleep(REQUEST_GAP_MILLISECONDS);
    }
    List<Duration> tooLong =
        waits.stream()
            .map(CompletableFuture::join)
            .flatMap(Optional::stream)
            .filter(wait -> wait.compareTo(LONGEST_UNANSWERED_TIME) > 0)
            .toList();
    stop.join();
    assertEquals(tooLong, List.of());
  }

  /** Requests that callers sent on connections in use while the instance ended were cut off. */
  @Test
  public void callersInUseOfTheirConnectionsAreAnsweredUntilTheInstanceEnds() throws Exception {
    EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource());
    HttpAddress address = fixture.settings().callerAddress();
    List<CompletableFuture<String>> callers = new ArrayList<>();
    for (int caller = 0; caller < BUSY_CALLER_COUNT; caller++) {
      String name = "busy-" + caller;
      callers.add(CompletableFuture.supplyAsync(() -> callUntilClosed(address, name)));
    }
    fixture.close();
    List<String> endings = callers.stream().map(CompletableFuture::join).distinct().toList();
    assertEquals(endings, List.of("closed after an answer"));
  }

  @DataProvider
  public Object[][] lateDeadlines() {
    return new Object[][] {{"4000"}, {"300"}};
  }

  /** Requests that came late in the grace were passed on and cut off at its end. */
  @Test(dataProvider = "lateDeadlines")
  public void requestThatComesLateIsRefusedOrAnswered(String deadline) throws Exception {
    EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource());
    fixture.servers().forEach(server -> server.setFault(ServerStandIn.Fault.SILENT));
    HttpAddress address = fixture.settings().callerAddress();
    List<Socket> callers = new ArrayList<>();
    for (int caller = 0; caller < LATE_CALLER_COUNT; caller++) {
      callers.add(new Socket(address.host(), address.port()));
    }
    Thread stop = new Thread(() -> stop(fixture));
    stop.start();
    TimeUnit.MILLISECONDS.sleep(ADMISSION_MILLISECONDS);
    List<CompletableFuture<String>> answers = new ArrayList<>();
    for (int caller = 0; caller < LATE_CALLER_COUNT; caller++) {
      Socket socket = callers.get(caller);
      String identifier = "late-" + caller;
      answers.add(CompletableFuture.supplyAsync(() -> answerTo(socket, identifier, deadline)));
      TimeUnit.MILLISECONDS.sleep(LATE_REQUEST_GAP_MILLISECONDS);
    }
    List<String> unanswered =
        answers.stream()
            .map(CompletableFuture::join)
            .filter(answer -> !answer.contains("HTTP/1.1 50"))
            .toList();
    stop.join();
    Set<String> reached =
        fixture.servers().stream()
            .flatMap(server -> server.executedRequests().stream())
            .map(request -> request.headers().first("Request-Id").orElseThrow())
            .collect(Collectors.toSet());
    assertEquals(
        unanswered.stream().filter(reached::contains).toList(),
        List.of(),
        "of " + reached.size() + " passed on");
  }

  /** Answers that were ready behind a slow one on their connection were cut off by a stop. */
  @Test
  public void answersBehindASlowOneAreSentBeforeTheInstanceEnds() throws Exception {
    EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource());
    HttpAddress address = fixture.settings().callerAddress();
    try (Socket caller = new Socket(address.host(), address.port())) {
      caller.setSoTimeout(ANSWER_TIMEOUT_MILLISECONDS);
      Thread stop = new Thread(() -> stop(fixture));
      stop.start();
      TimeUnit.MILLISECONDS.sleep(SLOW_REQUEST_MILLISECONDS);
      fixture.servers().forEach(server -> server.setFault(ServerStandIn.Fault.SILENT));
      EntryInstanceFixture.send(caller, REQUEST_LINE, "slow");
      EntryInstanceFixture.await(
          () -> fixture.servers().stream().anyMatch(server -> hasRun(server, "slow")));
      fixture.servers().forEach(server -> server.setFault(ServerStandIn.Fault.NONE));
      for (int behind = 0; behind < BEHIND_COUNT; behind++) {
        EntryInstanceFixture.send(caller, REQUEST_LINE, "behind-" + behind);
      }
      EntryInstanceFixture.send(caller, "POST /book/x", "unsafe");
      stop.join();
      String received =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      List<String> statuses =
          STATUS_LINE.matcher(received).results().map(found -> found.group(1)).toList();
      assertEquals(statuses, List.of("504", "200", "200", "200", "503"), received);
      assertEquals(fixture.servers().stream().anyMatch(server -> hasRun(server, "unsafe")), false);
    }
  }

  /** A stop was planned with the stop time of the start, and SIGKILL came before its end. */
  @Test
  public void stopEndsWithinTheStopTimeOfChangedSettings() throws Exception {
    EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource());
    HttpAddress address = fixture.settings().callerAddress();
    fixture.servers().forEach(server -> server.setFault(ServerStandIn.Fault.SILENT));
    fixture.reloadStopTimeout(SHORT_STOP_TIMEOUT);
    try (Socket caller = new Socket(address.host(), address.port())) {
      EntryInstanceFixture.send(caller, "POST /book/x", "silent");
      EntryInstanceFixture.await(
          () -> fixture.servers().stream().anyMatch(server -> hasRun(server, "silent")));
      long begunNanoseconds = System.nanoTime();
      fixture.close();
      Duration taken = Duration.ofNanos(System.nanoTime() - begunNanoseconds);
      assertEquals(readAvailable(caller).substring(0, 12), "HTTP/1.1 504");
      assertTrue(taken.compareTo(SHORT_STOP_TIMEOUT) <= 0, "took " + taken);
    }
  }

  private static boolean hasRun(ServerStandIn server, String identifier) {
    return server.executedRequests().stream()
        .anyMatch(
            request ->
                request.headers().first("Request-Id").filter(identifier::equals).isPresent());
  }

  /** Returns the status line of the answer to a booking, or its identifier if there is none. */
  private static String answerTo(Socket socket, String identifier, String deadline) {
    try (socket) {
      socket.setSoTimeout(ANSWER_TIMEOUT_MILLISECONDS);
      EntryInstanceFixture.send(socket, "POST /book/x", identifier, deadline);
      String answer = readAvailable(socket);
      return answer.startsWith("HTTP/") ? answer : identifier;
    } catch (IOException cut) {
      return identifier;
    }
  }

  /** Sends requests on one connection until an answer says that it is closed or it ends. */
  private static String callUntilClosed(HttpAddress address, String name) {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(ANSWER_TIMEOUT_MILLISECONDS);
      for (int request = 0; request < MOST_REQUESTS; request++) {
        EntryInstanceFixture.send(socket, REQUEST_LINE, name + "-" + request);
        String answer = readAvailable(socket);
        if (!answer.startsWith("HTTP/1.1 200")) {
          return "not served: " + answer;
        }
        if (answer.contains("Connection: close")) {
          return "closed after an answer";
        }
        TimeUnit.MILLISECONDS.sleep(BUSY_CALLER_PAUSE_MILLISECONDS);
      }
      return "not closed";
    } catch (IOException | InterruptedException cut) {
      return "cut: " + cut.getMessage();
    }
  }

  private static String readAvailable(Socket socket) throws IOException {
    byte[] bytes = new byte[4096];
    int count = socket.getInputStream().read(bytes);
    return count < 0 ? "end" : new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
  }

  /** Sends a request; returns the time until its connection ended, or empty if it was answered. */
  private static Optional<Duration> unansweredTime(Socket socket, String identifier) {
    long sentNanoseconds = System.nanoTime();
    try (socket) {
      EntryInstanceFixture.send(socket, REQUEST_LINE, identifier);
      socket.setSoTimeout(ANSWER_TIMEOUT_MILLISECONDS);
      if (socket.getInputStream().read() == 'H') {
        return Optional.empty();
      }
    } catch (IOException cut) {
      // The connection ended with a reset.
    }
    return Optional.of(Duration.ofNanos(System.nanoTime() - sentNanoseconds));
  }

  private static void stop(EntryInstanceFixture fixture) {
    try {
      fixture.close();
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }
}
