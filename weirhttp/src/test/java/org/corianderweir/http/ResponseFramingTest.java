package org.corianderweir.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.WeirException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link HttpClient} takes a response for whole only if its framing is valid. */
public class ResponseFramingTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Far below the timeout of the exchange: a malformed response is known to be one at once. */
  private static final Duration PROMPT = Duration.ofSeconds(5);

  private static final String LOST = "ANSWER_LOST";
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST_CHUNK = "5\r\nfirst\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private HttpClient client;

  /** Starts what all tests of the class use. */
  @BeforeClass
  public void start() {
    client =
        new HttpClient(
            new HttpClientOptions("test", TIMEOUT, TIMEOUT, 100_000)
                .withConnectionsPerAddress(2)
                .withEchoHeader("Request-Name"));
    client.start();
  }

  @AfterClass
  public void stop() {
    client.stop();
  }

  @DataProvider
  public Object[][] invalidChunks() {
    return new Object[][] {
      {"empty size line", FIRST_CHUNK + "\r\n\r\n"},
      {"empty size lines, then a whole body", FIRST_CHUNK + "\r\n\r\n" + LAST_CHUNK},
      {"blank for a size", FIRST_CHUNK + " \r\n\r\n"},
      {"tab for a size", FIRST_CHUNK + "\t\r\n\r\n"},
      {"extension without a size", FIRST_CHUNK + ";\r\n\r\n"},
      {"named extension without a size", FIRST_CHUNK + ";a=b\r\n\r\n"},
      {"blank before the size", FIRST_CHUNK + " 0\r\n\r\n"},
      {"blank in the size", FIRST_CHUNK + "0 0\r\n\r\n"},
      {"sign", FIRST_CHUNK + "-0\r\n\r\n"},
      {"prefix", FIRST_CHUNK + "0x0\r\n\r\n"},
      {"size of 20 digits", FIRST_CHUNK + "00000000000000000000\r\n\r\n"},
      {"size that overflows to 0", FIRST_CHUNK + "10000000000000000\r\n\r\n"},
      {"line feed alone behind the size", FIRST_CHUNK + "0\n\r\n"},
      {"line feed alone behind the body", FIRST_CHUNK + "0\r\n\n"},
      {"carriage return alone behind the size", FIRST_CHUNK + "0\r\r\n\r\n"},
      {"no line end behind the data", "5\r\nfirst0\r\n\r\n"},
      {"line feed alone behind the data", "5\r\nfirst\n" + LAST_CHUNK},
      {"other bytes behind the data", "5\r\nfirstxx" + LAST_CHUNK},
      {"trailer that is no field", FIRST_CHUNK + "0\r\nlast\r\n\r\n"},
      {"trailer with a head of its own", FIRST_CHUNK + "0\r\nHTTP/1.1 200 OK\r\n\r\n"},
      {"response in the place of a chunk", FIRST_CHUNK + CHUNKED + FIRST_CHUNK + LAST_CHUNK}
    };
  }

  /** Half of a body was passed on as the whole one behind a size line without a digit. */
  @Test(dataProvider = "invalidChunks")
  public void bodyWithInvalidChunksIsNotWhole(String name, String body) throws IOException {
    assertEquals(outcome(own(CHUNKED) + body, false), LOST, name);
  }

  @DataProvider
  public Object[][] validResponses() {
    return new Object[][] {
      {"chunks", own(CHUNKED) + FIRST_CHUNK + "A\r\n, then ten\r\n" + LAST_CHUNK},
      {"lower case", own(CHUNKED) + FIRST_CHUNK + "a\r\n, then ten\r\n" + LAST_CHUNK},
      {"leading zeros", own(CHUNKED) + "005\r\nfirst\r\n00a\r\n, then ten\r\n000\r\n\r\n"},
      {
        "extensions",
        own(CHUNKED) + "5;a\r\nfirst\r\na ; b=\"c d\" ;e=f\r\n, then ten\r\n0;last\r\n\r\n"
      },
      {"trailer fields", own(CHUNKED) + "f\r\nfirst, then ten\r\n0\r\nDigest: a:b\r\nX:\r\n\r\n"},
      {"length", own("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n") + "first, then ten"},
      {"no reason", own("HTTP/1.1 200 \r\nContent-Length: 15\r\n\r\n") + "first, then ten"},
      {
        "upgrade",
        own("HTTP/1.1 200 OK\r\nUpgrade: h2c\r\nContent-Length:15\r\n\r\n") + "first, then ten"
      },
      {
        "a large field",
        own("HTTP/1.1 200 OK\r\nX: " + "x".repeat(7_000) + "\r\nContent-Length:\t15 \r\n\r\n")
            + "first, then ten"
      }
    };
  }

  /** Sound answers that use all that the protocol allows must not be refused. */
  @Test(dataProvider = "validResponses")
  public void validResponseIsWhole(String name, String response) throws IOException {
    assertEquals(outcome(response, false), "first, then ten", name);
  }

  /** Each byte in a read of its own must give the same result. */
  @Test(dataProvider = "validResponses")
  public void validResponseInPiecesIsWhole(String name, String response) throws IOException {
    if (response.length() < 1_000) {
      assertEquals(outcome(response, true), "first, then ten", name);
    }
  }

  @DataProvider
  public Object[][] invalidStatuses() {
    return new Object[][] {
      {"000"}, {"001"}, {"099"}, {"600"}, {"999"}, {"0"}, {"20"}, {"2000"}, {"2x0"}, {"+20"},
      {"-20"}, {" 200"}, {"200OK"}, {""}
    };
  }

  /** An answer with the status 000 held its request until the deadline. */
  @Test(dataProvider = "invalidStatuses")
  public void responseWithAnInvalidStatusIsLostAtOnce(String status) throws IOException {
    long begun = System.nanoTime();
    String line = "HTTP/1.1 " + status + " Odd\r\n";
    assertEquals(outcome(own(line + "Content-Length: 0\r\n\r\n"), false), LOST);
    assertEquals(outcome(own(line + "Content-Length: 3\r\n\r\n") + "odd", false), LOST);
    assertEquals(
        outcome(own(line + "Transfer-Encoding: chunked\r\n\r\n") + LAST_CHUNK, false), LOST);
    long elapsed = System.nanoTime() - begun;
    assertTrue(elapsed < PROMPT.toNanos(), "took " + Duration.ofNanos(elapsed));
  }

  @DataProvider
  public Object[][] invalidHeads() {
    return new Object[][] {
      {"version 2", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab"},
      {"version without a digit", "HTTP/1. 200 OK\r\nContent-Length: 2\r\n\r\nab"},
      {"lower case version", "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
      {"empty line first", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
      {"bytes first", "\0HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
      {"line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nab"},
      {"line that is no field", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nServer-Sta\r\n\r\nab"},
      {"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab"},
      {"folded field", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nab"},
      {"no name", "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 2\r\n\r\nab"},
      {"zero byte", "HTTP/1.1 200 OK\r\nX: a\0b\r\nContent-Length: 2\r\n\r\nab"},
      {"carriage return in a value", "HTTP/1.1 200 OK\r\nX: a\rb\r\nContent-Length: 2\r\n\r\nab"},
      {"list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab"},
      {"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab"},
      {"empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nab"},
      {"other encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"switched protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
      {"body without a place", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nab"}
    };
  }

  @Test(dataProvider = "invalidHeads")
  public void responseWithAnInvalidHeadIsLost(String name, String response) throws IOException {
    assertEquals(outcome(own(response), false), LOST, name);
  }

  @DataProvider
  public Object[][] endsOfHeads() {
    return new Object[][] {
      {"close", "", false}, {"reset", "", true}, {"line ends", "\r\n\r\n", false}
    };
  }

  /** Guards against a head that breaks off and counts as a whole answer with an empty body. */
  @Test(dataProvider = "endsOfHeads")
  public void headThatBreaksOffIsNoAnswer(String name, String end, boolean reset)
      throws IOException {
    for (String head :
        List.of(
            OK + "Request-Name: one\r\nServer-Stamp: 3e.07\r\nContent-Length: 25\r\n\r\n",
            OK + "Content-Length: 25\r\nServer-Stamp: 3e.07\r\nRequest-Name: one\r\n\r\n",
            OK + "Request-Name: one\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n")) {
      for (int cut = 0; cut < head.length(); cut++) {
        String sent = head.substring(0, cut) + end;
        assertEquals(outcome(sent, false, reset), LOST, name + " after " + cut + " of " + head);
      }
    }
  }

  /** Adds the identifier of the request behind the status line, with the line end found there. */
  private static String own(String response) {
    return response.replaceFirst("(?i)(http/.*?)(\r?\n)", "$1$2Request-Name: one$2");
  }

  private String outcome(String response, boolean inPieces) throws IOException {
    return outcome(response, inPieces, false);
  }

  /** Returns the body that the client takes the response for, or the code of its failure. */
  private String outcome(String response, boolean inPieces, boolean reset) throws IOException {
    CountDownLatch ended = new CountDownLatch(1);
    // Where the end of a response is in question, the end of the connection must not show it.
    boolean closes = !response.endsWith("\r\n" + LAST_CHUNK) && !response.contains("Odd");
    try (ScriptedServer server =
        new ScriptedServer(
            connection -> {
              connection.read();
              for (int index = 0; inPieces && index < response.length(); index++) {
                connection.write(response.substring(index, index + 1));
              }
              connection.write(inPieces ? "" : response);
              connection.socket().setSoLinger(reset, 0);
              if (!closes) {
                ended.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
              }
            })) {
      HttpRequest request =
          new HttpRequest("GET", "/", HttpHeaders.NONE.with("Request-Name", "one"), new byte[0]);
      return client.exchange(server.address(), request, TIMEOUT).join().bodyText();
    } catch (CompletionException failure) {
      return ((WeirException) failure.getCause()).code().name();
    } finally {
      ended.countDown();
    }
  }
}
