package org.corianderweir.bench.soak;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.bench.soak.SoakEvidence.Ending;
import org.corianderweir.bench.soak.SoakRequest.Kind;
import org.corianderweir.http.HttpAddress;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link SoakConnection} tells how pipelined requests ended. */
public class SoakConnectionTest {
  private static final List<SoakRequest> REQUESTS =
      List.of(
          SoakRequest.small("a", Kind.READ),
          SoakRequest.small("b", Kind.READ),
          new SoakRequest("c", Kind.EXPORT, 3, false));
  private static final Ending OWN = new Ending.Answered(200, true);
  private static final Ending CUT = new Ending.Cut();
  private static final Ending FOREIGN = new Ending.Answered(200, false);

  @DataProvider
  public Object[][] answers() {
    String a = answer("", "ran a");
    String b = answer("", "ran b");
    String last = answer("Connection: close\r\n", "ran b");
    return new Object[][] {
      {"in order", a + b + answer("", "c:0"), List.of(OWN, OWN, OWN)},
      {"exchanged", b + a + answer("", "c:0"), List.of(FOREIGN, FOREIGN, OWN)},
      {"closed as announced", a + last, List.of(OWN, OWN, new Ending.Unread())},
      {"closed without a word", a + b, List.of(OWN, OWN, CUT)},
      {"cut in a body", a + b + answer("", "c:0").replace(":0", ""), List.of(OWN, OWN, CUT)},
      {"other content", a + b + answer("", "c:1"), List.of(OWN, OWN, FOREIGN)}
    };
  }

  @Test(dataProvider = "answers")
  public void endingsAreThoseOfTheRequests(String name, String answers, List<Ending> expected)
      throws Exception {
    List<Ending> endings = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(server, answers));
      try (SoakConnection connection =
          SoakConnection.open(new HttpAddress("127.0.0.1", server.getLocalPort()), true)) {
        connection.exchange(REQUESTS, 5_000, (request, ending) -> endings.add(ending));
      }
      served.join();
    }
    assertEquals(endings, expected, name);
  }

  private static String answer(String field, String body) {
    return "HTTP/1.1 200 OK\r\n" + field + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Reads all requests, so that the close does not reset the connection, and answers. */
  private static void serve(ServerSocket server, String answers) {
    try (Socket connection = server.accept()) {
      int length = REQUESTS.stream().mapToInt(request -> request.encoded().length).sum();
      connection.getInputStream().readNBytes(length);
      connection.getOutputStream().write(answers.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }
}
