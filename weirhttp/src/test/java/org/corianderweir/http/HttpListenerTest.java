package org.corianderweir.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link HttpListener} against callers that violate the protocol. */
public class HttpListenerTest {
  private static final int BODY_LIMIT_BYTES = 64;

  /** More than the kernel holds of a response that nobody reads. */
  private static final int LARGE_RESPONSE_BYTES = 24 * 1024 * 1024;

  /** Time after which a connection on which nothing is read must have ended. */
  private static final int LONGEST_UNANSWERED_MILLISECONDS = 200;

  private static final String HOST = "Host: here\r\n";
  private static final String CLOSE = "Connection: close\r\n";
  private static final String HIDDEN = "GET /hidden HTTP/1.1\r\nHost: here\r\n\r\n";

  private final List<String> handled = new CopyOnWriteArrayList<>();
  private HttpListener listener;

  @BeforeMethod
  public void start() {
    handled.clear();
    listener =
        new HttpListener(
            new HttpListenerOptions("test", "127.0.0.1", 0, BODY_LIMIT_BYTES, 2), this::handle);
    listener.start();
  }

  @AfterMethod
  public void stop() {
    listener.stop(0);
  }

  private CompletableFuture<HttpResponse> handle(HttpRequest request) {
    handled.add(request.method() + " " + request.target() + " " + request.bodyText());
    return CompletableFuture.completedFuture(HttpResponse.json(200, "{}"));
  }

  @DataProvider
  public Object[][] refusedRequests() {
    String post = "POST /a HTTP/1.1\r\n" + HOST;
    return new Object[][] {
      {
        "length and chunks",
        post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      },
      {
        "chunks and length",
        post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"
      },
      {"two lengths", post + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nabcd"},
      {"two equal lengths", post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"},
      {"list of lengths", post + "Content-Length: 2, 2\r\n\r\nab"},
      {"signed length", post + "Content-Length: +2\r\n\r\nab"},
      {"length too long", post + "Content-Length: 99999999999999999999\r\n\r\nab"},
      {"two encodings", post + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n"},
      {
        "doubled encoding",
        post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n"
      },
      {"unknown encoding", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"blank before colon", post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
      {"bare CR in field", post + "X: a\rTransfer-Encoding: chunked\r\n\r\n"},
      {"two hosts", "GET /a HTTP/1.1\r\nHost: here\r\nHost: there\r\n\r\n"},
      {"bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n"},
      {"negative chunk size", post + "Transfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n0\r\n\r\n"},
      {"chunk extension", post + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\nb\r\n0\r\n\r\n"},
      {"no end of chunk", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n"},
      {"not HTTP", "\u0000\u0001\u0002 hello\r\n\r\n"},
      {
        "large chunks",
        post + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + "x".repeat(65) + "\r\n0\r\n\r\n"
      },
      {"large head", "GET /a HTTP/1.1\r\nX: " + "x".repeat(20_000) + "\r\n\r\n"}
    };
  }

  /** A refused request closes the connection, so that a request smuggled behind it is not read. */
  @Test(dataProvider = "refusedRequests")
  public void refusesAndHandlesNothing(String name, String request) throws IOException {
    String response = exchange(request + HIDDEN);
    assertEquals(
        List.of(handled, response.contains(" 200 ")),
        List.of(List.of(), false),
        name + ": " + response);
  }

  /**
   * A body above the limit is refused, but the end of its request is clear. A request behind it
   * would therefore be a request of the same caller and not a smuggled one.
   */
  @Test
  public void largeBodyIsNotHandled() throws IOException {
    String head = "POST /a HTTP/1.1\r\n" + HOST + "Content-Length: 65\r\n\r\n";
    String response = exchange(head + "x".repeat(65));
    assertEquals(
        List.of(handled, response.contains("body-too-large"), response.contains("Read timed out")),
        List.of(List.of(), true, false));
  }

  /** A folded line continues the value of the field before it and is not a separate field. */
  @Test
  public void foldedLineIsNoField() throws IOException {
    String fold = "X: a\r\n Transfer-Encoding: chunked\r\n";
    exchange("POST /a HTTP/1.1\r\n" + HOST + CLOSE + fold + "Content-Length: 2\r\n\r\nab");
    assertEquals(handled, List.of("POST /a ab"));
  }

  @DataProvider
  public Object[][] acceptedRequests() {
    String post = "POST /a HTTP/1.1\r\n" + HOST + CLOSE;
    return new Object[][] {
      {post + "Content-Length: 2\r\n\r\nab"},
      {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nTrail: yes\r\n\r\n"},
      {post + "transfer-encoding: CHUNKED\r\n\r\n2\r\nab\r\n0\r\n\r\n"}
    };
  }

  @Test(dataProvider = "acceptedRequests")
  public void acceptsCompleteRequests(String request) throws IOException {
    String response = exchange(request);
    assertEquals(handled, List.of("POST /a ab"), response);
  }

  @DataProvider
  public Object[][] methods() {
    return new Object[][] {{"GET"}, {"DELETE"}, {"PUT"}, {"PATCH"}, {"OPTIONS"}};
  }

  @Test(dataProvider = "methods")
  public void everyMethodMayHaveABody(String method) throws IOException {
    String response =
        exchange(method + " /a HTTP/1.1\r\n" + HOST + CLOSE + "Content-Length: 2\r\n\r\nab");
    assertEquals(handled, List.of(method + " /a ab"), response);
  }

  @Test
  public void requestThatEndsEarlyIsNotHandled() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", listener.port())) {
      send(socket, "POST /a HTTP/1.1\r\n" + HOST + "Content-Length: 9\r\n\r\nhalf");
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    }
    assertEquals(handled, List.of());
  }

  /** Many large bodies of callers at the same time used up the memory of the process. */
  @Test
  public void unfinishedBodiesTogetherAreBounded() throws Exception {
    int limitBytes = 1024 * 1024;
    HttpListener large =
        new HttpListener(
            new HttpListenerOptions("large", "127.0.0.1", 0, limitBytes, 2), this::handle);
    large.start();
    String head = "POST /a HTTP/1.1\r\n" + HOST + "Content-Length: ";
    String unfinished = head + limitBytes + "\r\n\r\n" + "x".repeat(limitBytes - 1);
    List<Socket> callers = new ArrayList<>();
    try {
      int refused = 0;
      for (int caller = 0; caller < 8; caller++) {
        Socket socket = new Socket("127.0.0.1", large.port());
        socket.setSoTimeout(3_000);
        callers.add(socket);
        send(socket, unfinished);
        refused += readStatusLine(socket).startsWith("HTTP/1.1 503") ? 1 : 0;
      }
      String small = exchange(large.port(), head + "2\r\n" + CLOSE + "\r\nab");
      assertEquals(List.of(refused, small.contains(" 200 ")), List.of(6, true));
      for (Socket caller : callers) {
        caller.close();
      }
      TimeUnit.MILLISECONDS.sleep(300);
      String afterwards =
          exchange(
              large.port(), head + limitBytes + "\r\n" + CLOSE + "\r\n" + "x".repeat(limitBytes));
      assertTrue(afterwards.contains(" 200 "), afterwards);
    } finally {
      large.stop(0);
    }
  }

  @DataProvider
  public Object[][] departures() {
    return new Object[][] {{"end", false}, {"reset", true}};
  }

  /** A close that had arrived during the handling of a request was noticed only after it. */
  @Test(dataProvider = "departures")
  public void handlerSeesThatItsCallerHasLeft(String name, boolean reset) throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch left = new CountDownLatch(1);
    CompletableFuture<List<Boolean>> open = new CompletableFuture<>();
    HttpListener observer =
        new HttpListener(
            new HttpListenerOptions("observer", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1),
            (request, caller) -> {
              boolean before = caller.isOpen();
              begun.countDown();
              awaitUninterruptibly(left);
              open.complete(List.of(before, caller.isOpen()));
              return CompletableFuture.completedFuture(HttpResponse.json(200, "{}"));
            });
    observer.start();
    try (Socket socket = new Socket("127.0.0.1", observer.port())) {
      send(socket, "GET /a HTTP/1.1\r\n" + HOST + "\r\n");
      awaitUninterruptibly(begun);
      socket.setSoLinger(reset, 0);
      socket.close();
      left.countDown();
      assertEquals(open.get(5, TimeUnit.SECONDS), List.of(true, false), name);
    } finally {
      observer.stop(0);
    }
  }

  /** A look at the connection dropped pipelined bytes, and the connection was then closed. */
  @Test
  public void pipelinedRequestIsHandledAfterALookAtTheConnection() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    HttpListener observer =
        new HttpListener(
            new HttpListenerOptions("observer", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1),
            (request, caller) -> {
              begun.countDown();
              awaitUninterruptibly(sent);
              handled.add(request.target() + " open=" + caller.isOpen());
              return CompletableFuture.completedFuture(HttpResponse.json(200, "{}"));
            });
    observer.start();
    try (Socket socket = new Socket("127.0.0.1", observer.port())) {
      socket.setSoTimeout(5_000);
      send(socket, "GET /a HTTP/1.1\r\n" + HOST + "\r\n");
      awaitUninterruptibly(begun);
      send(socket, "GET /b HTTP/1.1\r\n" + HOST + CLOSE + "\r\n" + HIDDEN);
      sent.countDown();
      String response = readAll(socket.getInputStream());
      assertEquals(handled, List.of("/a open=true", "/b open=true"), response);
      assertEquals(response.split("HTTP/1.1 200", -1).length - 1, 2, response);
      assertEquals(response.split("Connection: close", -1).length - 1, 1, response);
    } finally {
      observer.stop(0);
    }
  }

  @DataProvider
  public Object[][] connectionUses() {
    return new Object[][] {{"kept after an exchange", true}, {"never used", false}};
  }

  /**
   * A stopped listener no longer read from kept connections but left them open until the process
   * ended, so that requests on them got no answer and no close.
   */
  @Test(dataProvider = "connectionUses")
  public void idleConnectionsEndWithTheListener(String name, boolean used) throws Exception {
    HttpListener stopped =
        new HttpListener(
            new HttpListenerOptions("stopped", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1), this::handle);
    stopped.start();
    try (Socket socket = new Socket("127.0.0.1", stopped.port())) {
      socket.setSoTimeout(LONGEST_UNANSWERED_MILLISECONDS);
      if (used) {
        send(socket, "GET /a HTTP/1.1\r\n" + HOST + "\r\n");
        assertEquals(readStatusLine(socket), "HTTP/1.1 200 OK");
        socket.getInputStream().skip(socket.getInputStream().available());
      }
      stopped.stop(1_000);
      String rest = readAll(socket.getInputStream());
      assertTrue(!rest.contains("timed out"), name + ": " + rest);
    }
  }

  /**
   * A stopped listener closed kept connections at once, so that requests that callers were sending
   * on them were cut off.
   */
  @Test
  public void requestOnAKeptConnectionSoonAfterTheStopIsAnswered() throws Exception {
    HttpListener stopping =
        new HttpListener(
            new HttpListenerOptions("stopping", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1),
            request ->
                CompletableFuture.completedFuture(
                    HttpResponse.json(200, "{}").withConnectionClose()));
    stopping.start();
    try (Socket kept = new Socket("127.0.0.1", stopping.port())) {
      kept.setSoTimeout(5_000);
      CompletableFuture<Void> stop =
          CompletableFuture.runAsync(
              () -> stopping.stop(Duration.ofMillis(500), Duration.ofSeconds(2)));
      TimeUnit.MILLISECONDS.sleep(LONGEST_UNANSWERED_MILLISECONDS);
      send(kept, "GET /late HTTP/1.1\r\n" + HOST + "\r\n");
      String response = readAll(kept.getInputStream());
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
      stop.get(5, TimeUnit.SECONDS);
    }
  }

  @Test
  public void requestInProgressIsAnsweredWhileTheListenerStops() throws Exception {
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    CountDownLatch begun = new CountDownLatch(1);
    HttpListener stopping =
        new HttpListener(
            new HttpListenerOptions("stopping", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1),
            request -> {
              begun.countDown();
              return answer;
            });
    stopping.start();
    try (Socket socket = new Socket("127.0.0.1", stopping.port())) {
      socket.setSoTimeout(5_000);
      send(socket, "GET /a HTTP/1.1\r\n" + HOST + "\r\n");
      awaitUninterruptibly(begun);
      CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> stopping.stop(5_000));
      TimeUnit.MILLISECONDS.sleep(200);
      answer.complete(HttpResponse.json(200, "{\"late\":true}"));
      String response = readAll(socket.getInputStream());
      assertTrue(response.endsWith("{\"late\":true}"), response);
      stop.get(5, TimeUnit.SECONDS);
    }
  }

  /** A stop cut large responses off while their callers were still reading them. */
  @Test
  public void responseIsSentWholeWhileTheListenerStops() throws Exception {
    byte[] body = new byte[LARGE_RESPONSE_BYTES];
    CountDownLatch begun = new CountDownLatch(1);
    HttpListener stopping =
        new HttpListener(
            new HttpListenerOptions("stopping", "127.0.0.1", 0, BODY_LIMIT_BYTES, 1),
            request -> {
              begun.countDown();
              return CompletableFuture.completedFuture(
                  new HttpResponse(200, HttpHeaders.NONE, body));
            });
    stopping.start();
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(64 * 1024);
      socket.connect(new InetSocketAddress("127.0.0.1", stopping.port()));
      socket.setSoTimeout(5_000);
      send(socket, "GET /a HTTP/1.1\r\n" + HOST + "\r\n");
      awaitUninterruptibly(begun);
      CompletableFuture<Void> stop =
          CompletableFuture.runAsync(
              () -> stopping.stop(Duration.ofMillis(100), Duration.ofSeconds(10)));
      InputStream input = socket.getInputStream();
      byte[] part = new byte[100_000];
      long received = 0;
      int count = input.read(part);
      while (count >= 0) {
        received += count;
        TimeUnit.MILLISECONDS.sleep(10);
        count = input.read(part);
      }
      assertTrue(received > LARGE_RESPONSE_BYTES, "received " + received);
      stop.get(10, TimeUnit.SECONDS);
    }
  }

  /** A body for which there is no memory is refused before it is sent, and the answer arrives. */
  @Test
  public void bodyWithoutMemoryIsRefusedAtOnce() throws Exception {
    BodyMemory memory = new BodyMemory(1_000_000, 1_000_000);
    HttpListener bounded =
        new HttpListener(
            new HttpListenerOptions("bounded", "127.0.0.1", 0, 1_000_000, 1).withMemory(memory),
            this::handle);
    bounded.start();
    String head = "POST /a HTTP/1.1\r\n" + HOST + CLOSE + "Content-Length: 600000\r\n\r\n";
    try (Socket holder = new Socket("127.0.0.1", bounded.port());
        Socket refused = new Socket("127.0.0.1", bounded.port())) {
      holder.setSoTimeout(5_000);
      refused.setSoTimeout(5_000);
      send(holder, head + "x".repeat(500_000));
      awaitReserved(memory.large(), 600_000);
      send(refused, head);
      assertEquals(readStatusLine(refused), "HTTP/1.1 503 Service Unavailable");
      send(refused, "x".repeat(600_000));
      String rest = readAll(refused.getInputStream());
      assertTrue(rest.contains("Retry-After: 1") && rest.contains("no-memory"), rest);
      send(holder, "x".repeat(100_000));
      assertEquals(readStatusLine(holder), "HTTP/1.1 200 OK");
      awaitReserved(memory.large(), 0);
    } finally {
      bounded.stop(0);
    }
  }

  /** Responses to callers that did not read them were queued without a limit. */
  @Test
  public void memoryOfAnExchangeIsHeldUntilItsCallerHasReadTheResponse() throws Exception {
    BodyMemory memory = new BodyMemory(1_000_000, 1_000_000);
    byte[] body = new byte[LARGE_RESPONSE_BYTES];
    HttpListener bounded =
        new HttpListener(
            new HttpListenerOptions("bounded", "127.0.0.1", 0, 1_000_000, 1).withMemory(memory),
            request ->
                CompletableFuture.completedFuture(new HttpResponse(200, HttpHeaders.NONE, body)));
    bounded.start();
    try (Socket reader = new Socket("127.0.0.1", bounded.port());
        Socket leaver = new Socket("127.0.0.1", bounded.port())) {
      String request = "POST /a HTTP/1.1\r\n" + HOST + CLOSE + "Content-Length: 9\r\n\r\nnine char";
      send(reader, request);
      send(leaver, request);
      awaitReserved(memory.small(), 18);
      TimeUnit.MILLISECONDS.sleep(200);
      awaitReserved(memory.small(), 18);
      leaver.close();
      awaitReserved(memory.small(), 9);
      assertTrue(reader.getInputStream().readAllBytes().length > LARGE_RESPONSE_BYTES);
      awaitReserved(memory.small(), 0);
    } finally {
      bounded.stop(0);
    }
  }

  @DataProvider
  public Object[][] stagesOfLeaving() {
    return new Object[][] {{"while the body is read", 5}, {"while the request is handled", 9}};
  }

  /** Callers that leave must not keep the memory of their bodies reserved. */
  @Test(dataProvider = "stagesOfLeaving")
  public void memoryOfACallerThatLeavesIsGivenBack(String stage, int sentBytes) throws Exception {
    BodyMemory memory = new BodyMemory(1_000_000, 1_000_000);
    HttpListener bounded =
        new HttpListener(
            new HttpListenerOptions("bounded", "127.0.0.1", 0, 1_000_000, 1).withMemory(memory),
            request -> new CompletableFuture<>());
    bounded.start();
    try (Socket leaver = new Socket("127.0.0.1", bounded.port())) {
      send(
          leaver,
          "POST /a HTTP/1.1\r\n" + HOST + "Content-Length: 9\r\n\r\n" + "x".repeat(sentBytes));
      awaitReserved(memory.small(), 9);
      leaver.close();
      awaitReserved(memory.small(), 0);
    } finally {
      bounded.stop(0);
    }
  }

  /** The body of a request that can't be served is not read. */
  @Test
  public void largeBodyOfARequestThatCannotBeServedIsRefusedByItsHead() throws Exception {
    HttpListener strict =
        new HttpListener(
            new HttpListenerOptions("strict", "127.0.0.1", 0, 1_000_000, 1),
            new CallerRequestHandler() {
              @Override
              public CompletableFuture<HttpResponse> handle(
                  HttpRequest request, CallerConnection caller) {
                return HttpListenerTest.this.handle(request);
              }

              @Override
              public Optional<HttpResponse> refuseEarly(HttpRequest head) {
                return Optional.of(HttpResponse.json(401, "{}"));
              }
            });
    strict.start();
    try (Socket socket = new Socket("127.0.0.1", strict.port())) {
      socket.setSoTimeout(5_000);
      send(socket, "POST /a HTTP/1.1\r\n" + HOST + "Content-Length: 600000\r\n\r\n");
      assertEquals(readStatusLine(socket), "HTTP/1.1 401 Unauthorized");
      assertEquals(handled, List.of());
    } finally {
      strict.stop(0);
    }
  }

  private static void awaitReserved(MemoryBudget budget, long bytes) throws InterruptedException {
    for (int attempt = 0; attempt < 500 && budget.reservedBytes() != bytes; attempt++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertEquals(budget.reservedBytes(), bytes);
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      if (!latch.await(5, TimeUnit.SECONDS)) {
        throw new AssertionError("did not happen");
      }
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  private String exchange(String request) throws IOException {
    return exchange(listener.port(), request);
  }

  private static String exchange(int port, String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(5_000);
      send(socket, request);
      return readAll(socket.getInputStream());
    }
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads the first line of a response; returns an empty text if none comes in time. */
  private static String readStatusLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    try {
      int next = socket.getInputStream().read();
      while (next >= 0 && next != '\r') {
        line.append((char) next);
        next = socket.getInputStream().read();
      }
    } catch (SocketTimeoutException noResponse) {
      return "";
    }
    return line.toString();
  }

  private static String readAll(InputStream input) {
    StringBuilder text = new StringBuilder();
    try {
      int next = input.read();
      while (next >= 0) {
        text.append((char) next);
        next = input.read();
      }
    } catch (IOException reset) {
      text.append(" [").append(reset.getMessage()).append(']');
    }
    return text.toString();
  }
}
