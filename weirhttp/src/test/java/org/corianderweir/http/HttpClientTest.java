package org.corianderweir.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link HttpClient} against servers that break the rules. */
public class HttpClientTest {
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final Duration SHORT = Duration.ofMillis(200);
  private static final int LIMIT_BYTES = 100;
  private static final String OK = "HTTP/1.1 200 OK\r\n";

  private HttpClient client;

  @BeforeMethod
  public void start() {
    client =
        new HttpClient(
            new HttpClientOptions("test", LONG, LONG, LIMIT_BYTES).withConnectionsPerAddress(2));
    client.start();
  }

  @AfterMethod
  public void stop() {
    client.stop();
  }

  @DataProvider
  public Object[][] brokenAnswers() {
    return new Object[][] {
      {"body cut", OK + "Content-Length: 10\r\n\r\nfive5"},
      {"head cut", OK + "Content-Len"},
      {"chunk cut", OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nab"},
      {"last chunk missing", OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
      {"no length", OK + "\r\nwhole or not"},
      {"too large", OK + "Content-Length: 101\r\n\r\n" + "x".repeat(101)},
      {"too large in chunks", OK + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101)},
      {"not HTTP", "hello\r\n\r\n"},
      {"two lengths", OK + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"},
      {
        "length and chunks", OK + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      },
      {"bad chunk size", OK + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"},
      {"other request", OK + "Weir-Request: other\r\nContent-Length: 2\r\n\r\nab"},
      {"nothing", ""}
    };
  }

  @Test(dataProvider = "brokenAnswers")
  public void answerThatIsNotWholeIsLost(String name, String answer) throws IOException {
    try (RawServer server =
        new RawServer(
            conversation -> {
              conversation.read();
              conversation.write(answer);
            })) {
      assertEquals(outcome(server.address(), LONG), "ANSWER_LOST", name);
    }
  }

  @Test
  public void lateAnswerClosesTheConnection() throws IOException {
    CountDownLatch late = new CountDownLatch(1);
    try (RawServer server =
        new RawServer(
            conversation -> {
              conversation.read();
              if (conversation.number() == 1) {
                assertTrue(late.await(20, TimeUnit.SECONDS));
                conversation.answer("late");
              }
              conversation.answer("own");
            })) {
      String first = outcome(server.address(), SHORT);
      late.countDown();
      assertEquals(
          List.of(first, outcome(server.address(), LONG)), List.of("DEADLINE_EXCEEDED", "own"));
    }
  }

  /** The second answer comes with the first one, and so before the next request. */
  @Test(invocationCount = 20)
  public void surplusAnswerReachesNobody() throws IOException {
    try (RawServer server =
        new RawServer(
            conversation -> {
              conversation.read();
              String own = OK + "Content-Length: 3\r\n\r\nown";
              String surplus = OK + "Content-Length: 5\r\n\r\nother";
              conversation.write(conversation.number() == 1 ? own + surplus : own);
              conversation.read();
            })) {
      CompletableFuture<String> second =
          client
              .exchange(server.address(), HttpCall.of("GET", "/"), LONG)
              .thenCompose(
                  first -> client.exchange(server.address(), HttpCall.of("GET", "/"), LONG))
              .thenApply(HttpReply::bodyText);
      assertEquals(second.join(), "own");
    }
  }

  @Test
  public void cancellationClosesTheConnection() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    try (RawServer server =
        new RawServer(
            conversation -> {
              conversation.read();
              arrived.countDown();
              conversation.awaitClose();
              closed.countDown();
            })) {
      CompletableFuture<HttpReply> reply =
          client.exchange(server.address(), HttpCall.of("GET", "/"), LONG);
      assertTrue(arrived.await(20, TimeUnit.SECONDS));
      reply.cancel(false);
      assertTrue(closed.await(20, TimeUnit.SECONDS));
      assertEquals(reply.isCancelled(), true);
    }
  }

  @Test
  public void connectionIsUsedAgainAfterWholeAnswer() throws IOException {
    try (RawServer server =
        new RawServer(
            conversation -> {
              while (true) {
                conversation.read();
                conversation.answer("whole");
              }
            })) {
      outcome(server.address(), LONG);
      client.openAhead(server.address());
      outcome(server.address(), LONG);
      outcome(server.address(), LONG);
      assertEquals(server.connections() <= 2, true);
    }
  }

  @Test
  public void connectionsAreBounded() throws IOException {
    try (RawServer server = new RawServer(RawServer.Conversation::awaitClose)) {
      HttpCall call = HttpCall.of("GET", "/");
      client.exchange(server.address(), call, LONG);
      client.exchange(server.address(), call, LONG);
      assertEquals(outcome(server.address(), LONG), "CONNECT_FAILED");
    }
  }

  @Test
  public void refusedConnectionIsNotRun() throws IOException {
    HttpAddress closed;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      closed = new HttpAddress("127.0.0.1", socket.getLocalPort());
    }
    assertEquals(outcome(closed, LONG), "CONNECT_FAILED");
  }

  /** A server that got the request and closes must never be called unreachable. */
  @Test(invocationCount = 50)
  public void requestThatWasReadIsNeverCalledNotRun() throws IOException {
    try (RawServer server = new RawServer(RawServer.Conversation::read)) {
      assertEquals(outcome(server.address(), LONG), "ANSWER_LOST");
    }
  }

  private String outcome(HttpAddress address, Duration timeout) {
    try {
      return client.exchange(address, HttpCall.of("GET", "/"), timeout).join().bodyText();
    } catch (CompletionException failure) {
      return ((WeirException) failure.getCause()).code().name();
    }
  }

  @DataProvider
  public Object[][] endsWithoutLength() {
    return new Object[][] {{true}, {false}};
  }

  /** Grizzly reports an end and a reset alike, so no answer that ends with either is believed. */
  @Test(dataProvider = "endsWithoutLength")
  public void anAnswerThatEndsWithItsConnectionIsLost(boolean reset) throws Exception {
    String head = OK + "Request-Name: one\r\n\r\n";
    try (RawServer server =
        new RawServer(
            conversation -> {
              conversation.read();
              conversation.write(head + "first ");
              conversation.socket().setSoLinger(reset, 0);
              TimeUnit.MILLISECONDS.sleep(50);
            })) {
      assertEquals(codeOf(exchangeWithEcho(server)), ErrorCode.ANSWER_LOST);
    }
  }

  @DataProvider
  public Object[][] echoes() {
    return new Object[][] {{"Request-Name: two\r\n"}, {""}};
  }

  @Test(dataProvider = "echoes")
  public void anAnswerWithoutTheEchoIsLost(String field) throws Exception {
    try (RawServer server =
        new RawServer(
            conversation -> {
              conversation.read();
              conversation.write(OK + field + "Content-Length: 2\r\n\r\nab");
              conversation.awaitClose();
            })) {
      assertEquals(codeOf(exchangeWithEcho(server)), ErrorCode.ANSWER_LOST);
    }
  }

  private CompletableFuture<HttpReply> exchangeWithEcho(RawServer server) {
    client.stop();
    client =
        new HttpClient(
            new HttpClientOptions("test", LONG, LONG, LIMIT_BYTES).requiringEcho("Request-Name"));
    client.start();
    HttpCall call = HttpCall.of("GET", "/");
    return client.exchange(
        server.address(),
        new HttpCall(
            call.method(), call.target(), call.headers().with("Request-Name", "one"), call.body()),
        LONG);
  }

  private static ErrorCode codeOf(CompletableFuture<HttpReply> exchange) throws Exception {
    try {
      exchange.get(20, TimeUnit.SECONDS);
      throw new AssertionError("an answer");
    } catch (ExecutionException failure) {
      return ((WeirException) failure.getCause()).code();
    }
  }
}
