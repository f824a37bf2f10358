package org.corianderweir.http;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that slow, silent or too many callers are disconnected without affecting other callers. */
public class ConnectionGuardTest {
  private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int CONNECTION_LIMIT = 8;
  private static final int LARGE_RESPONSE_BYTES = 16 * 1024 * 1024;
  private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

  private HttpListener listener;
  private HttpClient client;

  @BeforeMethod
  public void start() {
    listener =
        new HttpListener(
            new HttpListenerOptions("guarded", "127.0.0.1", 0, 64, 2)
                .withLimits(CONNECTION_LIMIT, CONNECTION_LIMIT, TRANSFER_TIMEOUT),
            request ->
                CompletableFuture.completedFuture(
                    request.path().equals("/large")
                        ? new HttpResponse(200, HttpHeaders.NONE, new byte[LARGE_RESPONSE_BYTES])
                        : HttpResponse.json(200, "{}")));
    listener.start();
    client = new HttpClient(new HttpClientOptions("caller", TIMEOUT, TIMEOUT, 1024));
    client.start();
  }

  @AfterMethod
  public void stop() {
    client.stop();
    listener.stop(0);
  }

  @DataProvider
  public Object[][] slowCallers() {
    return new Object[][] {
      {"silent", ""},
      {"slow head", "GET / HTTP/1.1\r\nHo"},
      {"slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"},
      {"slow chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"}
    };
  }

  /** With more slow callers than worker threads, another caller is served and they are closed. */
  @Test(dataProvider = "slowCallers")
  public void slowCallersDoNotAffectOthers(String name, String sent) throws IOException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int count = 0; count < CONNECTION_LIMIT - 2; count++) {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        sockets.add(socket);
      }
      int served = getStatus();
      assertEquals(List.of(served, countClosed(sockets)), List.of(200, CONNECTION_LIMIT - 2), name);
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Without connections there are no sweeps; they must begin again with the next connection. */
  @Test
  public void slowCallerIsDisconnectedAfterATimeWithoutConnections() throws Exception {
    for (int count = 0; count < 2; count++) {
      try (Socket socket = new Socket("127.0.0.1", listener.port())) {
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHo".getBytes());
        assertEquals(countClosed(List.of(socket)), 1);
      }
      Thread.sleep(TRANSFER_TIMEOUT.toMillis());
    }
  }

  @Test
  public void callersThatReadNoResponseDoNotAffectOthers() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int count = 0; count < CONNECTION_LIMIT - 2; count++) {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.getOutputStream().write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
        sockets.add(socket);
      }
      int served = getStatus();
      int closed = 0;
      for (Socket socket : sockets) {
        closed += isClosedByServer(socket) ? 1 : 0;
      }
      assertEquals(List.of(served, closed), List.of(200, CONNECTION_LIMIT - 2));
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Writes until the server resets the connection; reading would consume the response. */
  private static boolean isClosedByServer(Socket socket) throws InterruptedException {
    for (int count = 0; count < 200; count++) {
      try {
        socket.getOutputStream().write('x');
      } catch (IOException reset) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  @Test
  public void connectionsAreBounded() throws IOException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int count = 0; count < CONNECTION_LIMIT + 3; count++) {
        sockets.add(new Socket("127.0.0.1", listener.port()));
      }
      assertEquals(countClosed(sockets.subList(CONNECTION_LIMIT, CONNECTION_LIMIT + 3)), 3);
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  private int getStatus() {
    return client
        .exchange(
            new HttpAddress("127.0.0.1", listener.port()), HttpRequest.of("GET", "/"), TIMEOUT)
        .join()
        .status();
  }

  /** Returns how many connections the server closed, after reading what it sent before. */
  private static int countClosed(List<Socket> sockets) throws IOException {
    int closed = 0;
    for (Socket socket : sockets) {
      socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
      try {
        while (socket.getInputStream().read(new byte[1 << 16]) >= 0) {
          // Only the end of the stream matters.
        }
        closed++;
      } catch (java.net.SocketTimeoutException open) {
        break;
      } catch (IOException reset) {
        closed++;
      }
    }
    return closed;
  }
}
