package org.corianderweir.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the limits on unfinished requests, and that finished ones pass them unchanged. */
public class InboundStreamTest {
  private static final String HOST = "127.0.0.1";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int CONNECTION_LIMIT = 20;
  private static final int MEMORY_BYTES = 64 * 1024;
  private static final int READ_TIMEOUT_MILLISECONDS = 10_000;
  private static final int BODY_LIMIT_BYTES = 64 * 1024;

  private final List<String> handled = Collections.synchronizedList(new ArrayList<>());
  private HttpListener listener;

  @BeforeMethod
  public void start() {
    handled.clear();
    listener =
        new HttpListener(
            new HttpListenerOptions("limited", HOST, 0, BODY_LIMIT_BYTES, 1)
                .withLimits(CONNECTION_LIMIT, CONNECTION_LIMIT, TIMEOUT)
                .withUnfinished(
                    new UnfinishedLimits(MEMORY_BYTES, 0.5, TIMEOUT, Duration.ofSeconds(8))),
            request -> {
              handled.add(request.method() + ' ' + request.target() + ' ' + request.bodyText());
              return CompletableFuture.completedFuture(HttpResponse.json(200, "{}"));
            });
    listener.start();
  }

  @AfterMethod
  public void stop() {
    listener.stop(0);
  }

  @DataProvider
  public Object[][] requests() {
    String post = "POST /a HTTP/1.1\r\nHost: h\r\n";
    String chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    String data = "0123456789".repeat(30);
    return new Object[][] {
      {"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a "},
      {"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a "},
      {post + "Content-Length: 0\r\n\r\n", "POST /a "},
      {post + "Content-Length: 300\r\n\r\n" + data, "POST /a " + data},
      {post + "Content-Length: 12\r\n\r\nab\r\n\r\ncd\n\nef", "POST /a ab\r\n\r\ncd\n\nef"},
      {chunked + "0\r\n\r\n", "POST /a "},
      {chunked + "12c\r\n" + data + "\r\n0\r\n\r\n", "POST /a " + data},
      {chunked + "1\r\na\r\n2 \r\n\r\n\r\n0\r\n\r\n", "POST /a a\r\n"},
      {chunked + "01\r\na\r\n00\r\nTrailer: b\r\nOther: c\r\n\r\n", "POST /a a"}
    };
  }

  /** Requests must arrive the same however their bytes are divided between reads. */
  @Test(dataProvider = "requests")
  public void requestsAreHandledInAnyDivision(String request, String expected) throws Exception {
    Random random = new Random(71);
    for (int round = 0; round < 6; round++) {
      handled.clear();
      try (Socket socket = open()) {
        int most = round == 0 ? request.length() : round == 1 ? 1 : 1 + random.nextInt(40);
        OutputStream output = socket.getOutputStream();
        for (int position = 0; position < request.length(); ) {
          int count = Math.min(most, request.length() - position);
          output.write(bytes(request.substring(position, position + count)));
          position += count;
          TimeUnit.MICROSECONDS.sleep(300);
        }
        assertEquals(readStatus(socket.getInputStream()), 200);
      }
      assertEquals(handled, List.of(expected));
    }
  }

  /** Many heads without an end used up the memory of the process. */
  @Test
  public void headThatHoldsMostIsClosedAndOthersAreServed() throws Exception {
    String head = "GET /a HTTP/1.1\r\nHost: h\r\nFiller: " + "x".repeat(12_000);
    try (Socket small = open();
        Closer sockets = new Closer()) {
      small.getOutputStream().write(bytes("GET /small HTTP/1.1\r\nHost: h\r\n"));
      for (int count = 0; count < 8; count++) {
        Socket socket = open();
        sockets.add(socket);
        socket.getOutputStream().write(bytes(head));
      }
      await(() -> closures().getOrDefault(ClosureCause.MEMORY, 0L) >= 2);
      assertTrue(listener.unfinishedBytes() <= MEMORY_BYTES, "" + listener.unfinishedBytes());
      small.getOutputStream().write(bytes("\r\n"));
      assertEquals(readStatus(small.getInputStream()), 200);
    }
    await(() -> listener.unfinishedBytes() == 0);
  }

  /** Unfinished requests took all connections, so that finished ones found none. */
  @Test
  public void unfinishedRequestsTakeHalfOfTheConnections() throws Exception {
    try (Closer sockets = new Closer()) {
      for (int count = 0; count < CONNECTION_LIMIT; count++) {
        Socket socket = open();
        sockets.add(socket);
        socket.getOutputStream().write(bytes("GET /a HTTP/1.1\r\n"));
      }
      await(() -> closures().getOrDefault(ClosureCause.TOO_MANY_UNFINISHED, 0L) == 10);
      assertServed();
    }
  }

  /** Idle connections took all connections until their time limit. */
  @Test
  public void longestIdleConnectionMakesRoom() throws Exception {
    try (Closer sockets = new Closer()) {
      for (int count = 0; count < CONNECTION_LIMIT; count++) {
        sockets.add(open());
      }
      assertServed();
      assertEquals(closures().getOrDefault(ClosureCause.IDLE, 0L), 1L);
    }
  }

  /** A head had the time limit of a whole request, and could be sent a byte at a time. */
  @Test
  public void headHasATimeLimit() throws Exception {
    listener.setHeadTimeout(Duration.ofMillis(100));
    try (Socket socket = open()) {
      socket.getOutputStream().write(bytes("GET /a HTTP/1.1\r\n"));
      assertEquals(socket.getInputStream().read(), -1);
    } catch (IOException reset) {
      // The connection is terminated.
    }
    assertEquals(closures(), Map.of(ClosureCause.HEAD_TIMEOUT, 1L));
  }

  private Map<ClosureCause, Long> closures() {
    return listener.closures();
  }

  private void assertServed() throws IOException {
    try (Socket socket = open()) {
      socket.getOutputStream().write(bytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"));
      assertEquals(readStatus(socket.getInputStream()), 200);
    }
  }

  private Socket open() throws IOException {
    Socket socket = new Socket(HOST, listener.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
    return socket;
  }

  private static int readStatus(InputStream input) throws IOException {
    byte[] start = input.readNBytes("HTTP/1.1 200".length());
    return Integer.parseInt(new String(start, StandardCharsets.ISO_8859_1).split(" ")[1]);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void await(BooleanSupplier condition) throws Exception {
    for (int attempt = 0; attempt < 500; attempt++) {
      if (condition.getAsBoolean()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new AssertionError("did not happen");
  }

  /** Closes sockets at the end of a test. */
  private static final class Closer implements AutoCloseable {
    private final List<Socket> sockets = new ArrayList<>();

    void add(Socket socket) {
      sockets.add(socket);
    }

    @Override
    public void close() throws IOException {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }
}
