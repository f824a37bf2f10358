package org.corianderweir.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import org.corianderweir.http.PipeliningCaller.Answer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link HttpListener} with callers that send requests before they have the responses. */
public class PipeliningTest {
  private static final int BODY_LIMIT_BYTES = 200_000;
  private static final int SMALL_MEMORY_BYTES = 1_000_000;
  private static final int LARGE_MEMORY_BYTES = 300_000;
  private static final int SEED_COUNT = Integer.getInteger("pipelining.seeds", 150);
  private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(1);

  private HeldRequests held;
  private BodyMemory memory;
  private HttpListener listener;

  @BeforeMethod
  public void start() {
    held = new HeldRequests();
    memory = new BodyMemory(SMALL_MEMORY_BYTES, LARGE_MEMORY_BYTES);
    listener = startListener(new HttpListenerOptions("test", "127.0.0.1", 0, BODY_LIMIT_BYTES, 2));
  }

  @AfterMethod
  public void stop() {
    listener.stop(0);
  }

  private HttpListener startListener(HttpListenerOptions options) {
    HttpListener started = new HttpListener(options.withMemory(memory), held);
    started.start();
    return started;
  }

  /** A connection was closed after the first response if another request had arrived. */
  @Test
  public void slowFirstResponseDelaysOnlyTheSendingOfTheOthers() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2", "/safe/3"));
      held.awaitStarted(3);
      held.respond("/safe/3");
      held.respond("/safe/2");
      assertTrue(caller.receivesNothing());
      held.respond("/safe/1");
      assertEquals(
          List.of(caller.read(), caller.read(), caller.read()),
          List.of(
              new Answer(200, "/safe/1", false),
              new Answer(200, "/safe/2", false),
              new Answer(200, "/safe/3", false)));
      caller.send(gets("/safe/4"));
      held.awaitStarted(4);
      held.respond("/safe/4");
      assertEquals(caller.read(), new Answer(200, "/safe/4", false));
    }
  }

  /** A response that is lost must neither take its place's successor nor end the connection. */
  @Test
  public void lostFirstResponseIsReplacedInItsTurn() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2"));
      held.awaitStarted(2);
      held.respond("/safe/2");
      assertTrue(caller.receivesNothing());
      held.answer("/safe/1").completeExceptionally(new IllegalStateException("lost"));
      assertEquals(caller.read().status(), 500);
      assertEquals(caller.read(), new Answer(200, "/safe/2", false));
    }
  }

  /** Requests of a caller that has left went on, those that waited were even begun. */
  @Test
  public void requestsOfACallerThatLeavesAreCancelled() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(
          gets("/safe/1", "/safe/2", "/safe/3")
              + PipeliningCaller.post("/unsafe", "x".repeat(100)));
      held.awaitStarted(3);
      awaitReserved(memory.small(), count -> count >= 100);
    }
    for (String target : List.of("/safe/1", "/safe/2", "/safe/3")) {
      awaitCancelled(held.answer(target));
    }
    awaitReserved(memory.small(), count -> count == 0);
    TimeUnit.MILLISECONDS.sleep(100);
    assertEquals(held.started().size(), 3, held.started().toString());
  }

  /** A stop must not cut off requests that were read, nor announce the end before the last one. */
  @Test
  public void requestsInProgressAreAnsweredWhileTheListenerStops() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2", "/unsafe"));
      held.awaitStarted(2);
      CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> listener.stop(5_000));
      TimeUnit.MILLISECONDS.sleep(100);
      held.respond("/safe/2");
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", false));
      caller.send(gets("/safe/late"));
      assertEquals(caller.read(), new Answer(200, "/safe/2", false));
      held.awaitStarted(3);
      held.respond("/unsafe");
      assertEquals(caller.read(), new Answer(200, "/unsafe", true));
      assertTrue(caller.hasEnded());
      stop.get(5, TimeUnit.SECONDS);
      assertEquals(held.started().size(), 3, held.started().toString());
    }
  }

  /** A handler that ends the connection must not take the responses behind with it. */
  @Test
  public void responseThatClosesWaitsForThoseBehindIt() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2"));
      held.awaitStarted(2);
      held.answer("/safe/1").complete(HttpResponse.json(200, "first").withConnectionClose());
      assertEquals(caller.read(), new Answer(200, "first", false));
      caller.send(gets("/safe/late"));
      TimeUnit.MILLISECONDS.sleep(100);
      held.respond("/safe/2");
      assertEquals(caller.read(), new Answer(200, "/safe/2", true));
      assertTrue(caller.hasEnded());
      assertEquals(sorted(held.started()), List.of("/safe/1", "/safe/2"));
    }
  }

  /** Nothing is read behind a request with which its caller ends the connection. */
  @Test
  public void requestThatClosesIsTheLast() throws Exception {
    String last = "GET /safe/2 HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n";
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1") + last + gets("/safe/3"));
      held.awaitStarted(2);
      held.respond("/safe/2");
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", false));
      assertEquals(caller.read(), new Answer(200, "/safe/2", true));
      assertTrue(caller.hasEnded());
      assertEquals(held.started().size(), 2, held.started().toString());
    }
  }

  /** A connection with many requests must neither be closed nor use memory without a bound. */
  @Test
  public void readingPausesAtTheBoundAndGoesOn() throws Exception {
    int count = 4_000;
    String[] targets =
        IntStream.range(0, count).mapToObj(index -> "/safe/" + index).toArray(String[]::new);
    CompletableFuture<Void> sending = null;
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      // The systems on both sides hold some megabytes of what is not read.
      caller.socket().setSendBufferSize(64 * 1024);
      String filler = "GET %s HTTP/1.1\r\nHost: here\r\nX: " + "x".repeat(4_000) + "\r\n\r\n";
      sending =
          CompletableFuture.runAsync(
              () -> {
                for (String target : targets) {
                  sendUnchecked(caller, filler.formatted(target));
                }
              });
      held.awaitStarted(CallerPipeline.REQUEST_LIMIT);
      TimeUnit.MILLISECONDS.sleep(300);
      assertEquals(held.started().size(), CallerPipeline.REQUEST_LIMIT);
      assertTrue(!sending.isDone(), "more was read than the bound allows");
      assertTrue(
          memory.small().reservedBytes() < 16 * 5_000 + 2 * 64 * 1024,
          "reserved " + memory.small().reservedBytes());
      for (int index = 0; index < count; index++) {
        held.respond(targets[index]);
        assertEquals(caller.read(), new Answer(200, targets[index], false));
      }
      sending.get(5, TimeUnit.SECONDS);
      awaitReserved(memory.small(), bytes -> bytes == 0);
    }
  }

  /** The objects of requests with short heads took more memory than the heads that were counted. */
  @Test
  public void requestsReadAheadCountWithTheirObjects() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2", "/safe/3", "/safe/4"));
      held.awaitStarted(4);
      assertTrue(
          memory.small().reservedBytes() >= 3 * 1024, "reserved " + memory.small().reservedBytes());
    }
    awaitReserved(memory.small(), bytes -> bytes == 0);
  }

  /** Without memory, requests are read one after the other instead of being refused. */
  @Test
  public void requestsWithoutMemoryAreReadLater() throws Exception {
    MemoryLease others = new MemoryLease();
    assertTrue(others.tryReserve(memory.small(), SMALL_MEMORY_BYTES));
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2", "/safe/3"));
      held.awaitStarted(2);
      TimeUnit.MILLISECONDS.sleep(100);
      assertEquals(sorted(held.started()), List.of("/safe/1", "/safe/2"));
      held.respond("/safe/1");
      held.awaitStarted(3);
      held.respond("/safe/2");
      held.respond("/safe/3");
      assertEquals(caller.readBodies(3), List.of("/safe/1", "/safe/2", "/safe/3"));
    }
    others.end();
    awaitReserved(memory.small(), bytes -> bytes == 0);
  }

  @DataProvider
  public Object[][] bodies() {
    return new Object[][] {
      {"known length", PipeliningCaller.post("/unsafe", "x".repeat(50_000))},
      {"chunks", PipeliningCaller.chunked("/unsafe", "x".repeat(50_000))},
      {"large", PipeliningCaller.post("/unsafe", "x".repeat(150_000))}
    };
  }

  /** A request that may run only once must run alone, and its body must not shift the others. */
  @Test(dataProvider = "bodies")
  public void requestWithABodyInTheMiddleRunsAlone(String name, String post) throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/safe/2") + post + gets("/safe/3", "/safe/4"));
      held.awaitStarted(2);
      held.respond("/safe/1");
      assertEquals(caller.readBodies(1), List.of("/safe/1"), name);
      assertEquals(sorted(held.started()), List.of("/safe/1", "/safe/2"), name);
      held.respond("/safe/2");
      held.awaitStarted(3);
      assertEquals(caller.readBodies(1), List.of("/safe/2"), name);
      TimeUnit.MILLISECONDS.sleep(50);
      assertEquals(held.inProgress(), List.of("/unsafe"), name);
      held.respond("/unsafe");
      held.awaitStarted(5);
      held.respond("/safe/4");
      held.respond("/safe/3");
      assertEquals(caller.readBodies(3), List.of("/unsafe", "/safe/3", "/safe/4"), name);
      assertEquals(
          held.request("/unsafe").bodyText(), "x".repeat(held.request("/unsafe").body().length));
      awaitReserved(memory.small(), bytes -> bytes == 0);
      awaitReserved(memory.large(), bytes -> bytes == 0);
    }
  }

  @DataProvider
  public Object[][] malformedRequests() {
    String post = "POST /safe/bad HTTP/1.1\r\nHost: here\r\n";
    return new Object[][] {
      {"no host", "GET /safe/bad HTTP/1.1\r\n\r\n"},
      {"bad field", "GET /safe/bad HTTP/1.1\r\nHost: here\r\nX : a\r\n\r\n"},
      {"two lengths", post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"},
      {"bad chunk", post + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n"},
      {"bad second chunk", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n0\r\n\r\n"},
      {"large head", "GET /safe/bad HTTP/1.1\r\nHost: here\r\nX: " + "x".repeat(20_000)},
      {"bad target", "GET /safe/b\u00e4d HTTP/1.1\r\nHost: here\r\n\r\n"}
    };
  }

  /** Nothing may be taken for a request behind bytes whose end is not clear. */
  @Test(dataProvider = "malformedRequests")
  public void malformedRequestInTheMiddleIsAnsweredInItsTurn(String name, String malformed)
      throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1", "/unsafe") + malformed + gets("/safe/hidden"));
      held.awaitStarted(1);
      assertTrue(caller.receivesNothing(), name);
      held.respond("/safe/1");
      held.awaitStarted(2);
      assertEquals(caller.read(), new Answer(200, "/safe/1", false), name);
      caller.send(gets("/safe/hidden"));
      held.respond("/unsafe");
      assertEquals(caller.read(), new Answer(200, "/unsafe", false), name);
      Answer refusal = caller.read();
      assertEquals(List.of(refusal.status(), refusal.closes()), List.of(400, true), name);
      assertTrue(caller.hasEnded(), name);
      assertEquals(held.started(), List.of("/safe/1", "/unsafe"), name);
    }
  }

  /** The refusal of a body comes in its turn, and nothing behind the body is handled. */
  @Test
  public void bodyThatIsTooLargeIsRefusedInItsTurn() throws Exception {
    int bodyBytes = BODY_LIMIT_BYTES + 1;
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(
          gets("/safe/1")
              + PipeliningCaller.post("/unsafe", "x".repeat(bodyBytes))
              + gets("/safe/hidden"));
      held.awaitStarted(1);
      assertTrue(caller.receivesNothing());
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", false));
      Answer refusal = caller.read();
      assertEquals(List.of(refusal.status(), refusal.closes()), List.of(413, true));
      assertTrue(caller.hasEnded());
      assertEquals(held.started(), List.of("/safe/1"));
    }
  }

  @DataProvider
  public Object[][] sentParts() {
    return new Object[][] {{"all at once", 150_000}, {"a part", 10}, {"the head alone", 0}};
  }

  /** A body must not be refused because of memory that requests before it give back soon. */
  @Test(dataProvider = "sentParts")
  public void bodyWaitsForTheMemoryOfRequestsBeforeIt(String name, int firstBytes)
      throws Exception {
    MemoryLease others = new MemoryLease();
    assertTrue(others.tryReserve(memory.large(), LARGE_MEMORY_BYTES - 10));
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      String body = "x".repeat(150_000);
      caller.send(
          gets("/safe/1")
              + PipeliningCaller.postHead("/unsafe", body.length())
              + body.substring(0, firstBytes));
      held.awaitStarted(1);
      assertTrue(caller.receivesNothing(), name);
      others.end();
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", false), name);
      caller.send(body.substring(firstBytes) + gets("/safe/2"));
      held.awaitStarted(2);
      assertEquals(held.request("/unsafe").body().length, body.length(), name);
      held.respond("/unsafe");
      held.awaitStarted(3);
      held.respond("/safe/2");
      assertEquals(caller.readBodies(2), List.of("/unsafe", "/safe/2"), name);
    }
    awaitReserved(memory.large(), bytes -> bytes == 0);
  }

  /** A body for which there is still no memory when it is its turn is refused. */
  @Test
  public void bodyWithoutMemoryIsRefusedInItsTurn() throws Exception {
    MemoryLease others = new MemoryLease();
    assertTrue(others.tryReserve(memory.large(), LARGE_MEMORY_BYTES - 10));
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1") + PipeliningCaller.post("/unsafe", "x".repeat(150_000)));
      held.awaitStarted(1);
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", false));
      Answer refusal = caller.read();
      assertEquals(List.of(refusal.status(), refusal.closes()), List.of(503, true));
      assertTrue(caller.hasEnded());
    } finally {
      others.end();
    }
  }

  /** The time of a request began with its turn, so that it could wait beyond its deadline. */
  @Test
  public void timeOfARequestCountsFromItsArrival() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/unsafe/1", "/unsafe/2"));
      held.awaitStarted(1);
      TimeUnit.MILLISECONDS.sleep(300);
      held.respond("/unsafe/1");
      held.awaitStarted(2);
      Duration waited = held.caller("/unsafe/2").queueTime();
      assertTrue(waited.toMillis() >= 250, "waited " + waited);
    }
  }

  /** The interim response of a request must not come in the middle of another's response. */
  @Test
  public void bodyIsAskedForInItsTurn() throws Exception {
    String expecting =
        "POST /unsafe HTTP/1.1\r\nHost: here\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1") + expecting);
      held.awaitStarted(1);
      assertTrue(caller.receivesNothing());
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", false));
      assertEquals(caller.read(), new Answer(100, "", false));
      caller.send("ab" + gets("/safe/2"));
      held.awaitStarted(2);
      held.respond("/unsafe");
      held.awaitStarted(3);
      held.respond("/safe/2");
      assertEquals(caller.readBodies(2), List.of("/unsafe", "/safe/2"));
    }
  }

  /** A rejection that ended its connection cut the requests off that were under way. */
  @Test
  public void rejectionKeepsTheConnection() throws Exception {
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets("/safe/1"));
      held.awaitStarted(1);
      held.answer("/safe/1").complete(HttpResponse.json(503, "busy"));
      assertEquals(caller.read(), new Answer(503, "busy", false));
      caller.send(gets("/safe/2"));
      held.awaitStarted(2);
      held.respond("/safe/2");
      assertEquals(caller.read(), new Answer(200, "/safe/2", false));
    }
  }

  /** A caller that reads nothing must not keep the memory of the responses that wait. */
  @Test
  public void callerThatDoesNotReadIsDisconnectedAndItsResponsesReleased() throws Exception {
    HttpListener guarded = startGuarded();
    try (PipeliningCaller caller = new PipeliningCaller(guarded.port())) {
      caller.send(
          PipeliningCaller.post("/safe/1", "x".repeat(100))
              + PipeliningCaller.post("/safe/2", "x".repeat(100))
              + gets("/safe/3"));
      held.awaitStarted(3);
      held.answer("/safe/1")
          .complete(new HttpResponse(200, HttpHeaders.NONE, new byte[24 * 1024 * 1024]));
      held.respond("/safe/2");
      assertTrue(memory.small().reservedBytes() >= 200);
      awaitCancelled(held.answer("/safe/3"));
      awaitReserved(memory.small(), bytes -> bytes == 0);
    } finally {
      guarded.stop(0);
    }
  }

  /** Callers that send without reading must not together hold more memory than the budget. */
  @Test
  public void bytesReadAheadOfManyCallersAreBounded() throws Exception {
    int callerCount = 60;
    int smallBytes = 200_000;
    memory = new BodyMemory(smallBytes, LARGE_MEMORY_BYTES);
    HttpListener bounded =
        startListener(new HttpListenerOptions("bounded", "127.0.0.1", 0, BODY_LIMIT_BYTES, 2));
    List<PipeliningCaller> callers = new ArrayList<>();
    String request = "GET /safe/1 HTTP/1.1\r\nHost: here\r\nX: " + "x".repeat(500) + "\r\n\r\n";
    try {
      for (int caller = 0; caller < callerCount; caller++) {
        callers.add(new PipeliningCaller(bounded.port()));
        callers.getLast().send(request.repeat(80));
      }
      held.awaitStarted(callerCount);
      TimeUnit.MILLISECONDS.sleep(300);
      long most = smallBytes + 64 * 1024 + callerCount * 3_000L;
      assertTrue(
          memory.small().reservedBytes() < most, "reserved " + memory.small().reservedBytes());
    } finally {
      for (PipeliningCaller caller : callers) {
        caller.close();
      }
      bounded.stop(0);
    }
    awaitReserved(memory.small(), bytes -> bytes == 0);
  }

  /**
   * While reading is paused at the bound, the end of a connection is behind bytes that are not
   * read. The caller's system refuses the first response, so that the second one shows it.
   */
  @Test
  public void callerThatLeavesWhileReadingIsPausedIsNoticedByTheResponses() throws Exception {
    StringBuilder requests = new StringBuilder();
    for (int index = 0; index < 1_000; index++) {
      requests.append(
          "GET /safe/%d HTTP/1.1\r\nHost: here\r\nX: %s\r\n\r\n".formatted(index, "x".repeat(500)));
    }
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(requests.toString());
      held.awaitStarted(CallerPipeline.REQUEST_LIMIT);
    }
    held.respond("/safe/0");
    TimeUnit.MILLISECONDS.sleep(100);
    held.respond("/safe/1");
    for (int index = 2; index < CallerPipeline.REQUEST_LIMIT; index++) {
      awaitCancelled(held.answer("/safe/" + index));
    }
    awaitReserved(memory.small(), bytes -> bytes == 0);
  }

  /** The end of a connection was behind the bytes of further requests and was not noticed. */
  @Test
  public void callerThatLeavesBehindManyRequestsIsNoticed() throws Exception {
    String[] targets =
        IntStream.range(0, 100).mapToObj(index -> "/safe/" + index).toArray(String[]::new);
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(gets(targets));
      held.awaitStarted(CallerPipeline.REQUEST_LIMIT);
    }
    for (int index = 0; index < CallerPipeline.REQUEST_LIMIT; index++) {
      awaitCancelled(held.answer("/safe/" + index));
    }
    assertEquals(held.started().size(), CallerPipeline.REQUEST_LIMIT);
  }

  /** A request that is sent too slowly must not cut off the one that is in progress before it. */
  @Test
  public void slowRequestDoesNotCutOffTheOneBeforeIt() throws Exception {
    HttpListener guarded = startGuarded();
    try (PipeliningCaller caller = new PipeliningCaller(guarded.port())) {
      caller.send(gets("/safe/1") + "GET /safe/2 HTTP/1.1\r\nHo");
      held.awaitStarted(1);
      TimeUnit.MILLISECONDS.sleep(TRANSFER_TIMEOUT.toMillis() + 1_000);
      held.respond("/safe/1");
      assertEquals(caller.read(), new Answer(200, "/safe/1", true));
      assertTrue(caller.hasEnded());
    } finally {
      guarded.stop(0);
    }
  }

  /** Whatever comes when, each request is handled once, in the order that its kind allows. */
  @Test
  public void anyInterleavingKeepsTheOrder() throws Exception {
    for (int seed = 0; seed < SEED_COUNT; seed++) {
      held = new HeldRequests();
      HttpListener seeded =
          startListener(new HttpListenerOptions("seeded", "127.0.0.1", 0, BODY_LIMIT_BYTES, 2));
      try (PipeliningCaller caller = new PipeliningCaller(seeded.port())) {
        playInterleaving(seed, caller);
      } finally {
        seeded.stop(0);
      }
    }
    awaitReserved(memory.small(), bytes -> bytes == 0);
    awaitReserved(memory.large(), bytes -> bytes == 0);
  }

  private void playInterleaving(int seed, PipeliningCaller caller) throws Exception {
    Random random = new Random(seed);
    List<String> targets = new ArrayList<>();
    StringBuilder requests = new StringBuilder();
    for (int index = 0; index < 1 + random.nextInt(40); index++) {
      String target = (random.nextInt(4) == 0 ? "/unsafe/" : "/safe/") + index;
      targets.add(target);
      requests.append(randomRequest(random, target));
    }
    CompletableFuture<Void> sending =
        CompletableFuture.runAsync(() -> sendInParts(caller, requests.toString(), seed));
    CompletableFuture<List<String>> reading =
        CompletableFuture.supplyAsync(() -> readUnchecked(caller, targets.size()));
    int answered = 0;
    while (answered < targets.size()) {
      held.awaitStarted(answered + 1);
      List<String> inProgress = held.inProgress();
      checkKinds(seed, targets, inProgress);
      String next = inProgress.get(random.nextInt(inProgress.size()));
      if (random.nextInt(3) == 0) {
        held.caller(next).isOpen();
      }
      held.respond(next);
      answered++;
    }
    sending.get(5, TimeUnit.SECONDS);
    assertEquals(reading.get(5, TimeUnit.SECONDS), targets, "seed " + seed);
    assertEquals(sorted(held.started()), sorted(targets), "seed " + seed);
  }

  /** A request that may run only once is the first unanswered one, and no other is in progress. */
  private static void checkKinds(int seed, List<String> targets, List<String> inProgress) {
    assertTrue(inProgress.size() <= CallerPipeline.REQUEST_LIMIT, "seed " + seed);
    for (String target : inProgress) {
      if (target.startsWith("/unsafe")) {
        assertEquals(inProgress, List.of(target), "seed " + seed);
      }
    }
    List<Integer> positions = inProgress.stream().map(targets::indexOf).sorted().toList();
    for (String between : targets.subList(positions.getFirst(), positions.getLast() + 1)) {
      boolean alone = positions.size() == 1;
      assertTrue(alone || between.startsWith("/safe"), "seed " + seed + ": " + inProgress);
    }
  }

  private static String randomRequest(Random random, String target) {
    return switch (random.nextInt(4)) {
      case 0 -> PipeliningCaller.post(target, "x".repeat(random.nextInt(3_000)));
      case 1 -> PipeliningCaller.chunked(target, "x".repeat(1 + random.nextInt(3_000)));
      default -> PipeliningCaller.get(target);
    };
  }

  private static void sendInParts(PipeliningCaller caller, String text, int seed) {
    Random random = new Random(~seed);
    int partBytes = random.nextBoolean() ? 100_000 : 1 + random.nextInt(2_000);
    for (int start = 0; start < text.length(); start += partBytes) {
      sendUnchecked(caller, text.substring(start, Math.min(text.length(), start + partBytes)));
    }
  }

  private static void sendUnchecked(PipeliningCaller caller, String text) {
    try {
      caller.send(text);
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  private static List<String> readUnchecked(PipeliningCaller caller, int count) {
    try {
      return caller.readBodies(count);
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  private HttpListener startGuarded() {
    return startListener(
        new HttpListenerOptions("guarded", "127.0.0.1", 0, BODY_LIMIT_BYTES, 2)
            .withLimits(8, 8, TRANSFER_TIMEOUT));
  }

  private static String gets(String... targets) {
    StringBuilder text = new StringBuilder();
    for (String target : targets) {
      text.append(PipeliningCaller.get(target));
    }
    return text.toString();
  }

  private static List<String> sorted(List<String> texts) {
    return texts.stream().sorted().toList();
  }

  private static void awaitCancelled(CompletableFuture<HttpResponse> answer) throws Exception {
    for (int attempt = 0; attempt < 500 && !answer.isDone(); attempt++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertTrue(answer.isCancelled());
  }

  private static void awaitReserved(MemoryBudget budget, LongPredicate condition) throws Exception {
    for (int attempt = 0; attempt < 500 && !condition.test(budget.reservedBytes()); attempt++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertTrue(condition.test(budget.reservedBytes()), "reserved " + budget.reservedBytes());
  }
}
