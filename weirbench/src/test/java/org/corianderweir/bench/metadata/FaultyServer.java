package org.corianderweir.bench.metadata;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server on plain sockets that spoils a part of its answers. It counts what it runs by
 * the targets of the requests, since their identifiers need not be unique.
 */
final class FaultyServer implements AutoCloseable {
  private static final int SOUND_WEIGHT = 8;
  private static final List<String> SIZE_LINES = List.of("", ";", " ", "0\n", "-0", "HTTP/1.1 200");
  private static final List<String> STATUSES = List.of("000", "099", "600", "999");
  private static final Answer[] ANSWERS = Answer.values();

  private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final String identifier;
  private final long seed;
  private final Map<String, AtomicInteger> runs;
  private final AtomicInteger connections = new AtomicInteger();

  private enum Answer {
    REFUSAL,
    COPY_OF_A_REFUSAL,
    INVALID_STATUS,
    INVALID_CHUNKS,
    HEAD_CUT,
    NOTHING
  }

  /**
   * Starts a server.
   *
   * @param runs counts the runs of each target
   */
  FaultyServer(String identifier, long seed, Map<String, AtomicInteger> runs) throws IOException {
    this.identifier = identifier;
    this.seed = seed;
    this.runs = runs;
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Returns the body of the sound answer to a request. */
  static String body(String target) {
    return "the whole answer to " + target;
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        Random random = new Random(seed + connections.incrementAndGet());
        Thread.ofVirtual().start(() -> serve(connection, random));
      }
    } catch (IOException closed) {
      // The test has ended.
    }
  }

  private void serve(Socket connection, Random random) {
    try (connection) {
      InputStream input = new BufferedInputStream(connection.getInputStream());
      String refusal = "";
      for (String head = readHead(input); !head.isEmpty(); head = readHead(input)) {
        String target = head.split(" ")[1];
        boolean sound = random.nextInt(SOUND_WEIGHT + ANSWERS.length) < SOUND_WEIGHT;
        Answer answer = ANSWERS[random.nextInt(ANSWERS.length)];
        String echo = echo(head);
        if (!sound && answer == Answer.REFUSAL) {
          refusal = "HTTP/1.1 503 Full\r\n" + echo + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
          write(connection, refusal);
          continue;
        }
        runs.computeIfAbsent(target, unused -> new AtomicInteger()).incrementAndGet();
        write(
            connection,
            sound ? sound(echo, target) : spoilt(answer, echo, target, refusal, random));
        if (!sound && answer != Answer.COPY_OF_A_REFUSAL) {
          return;
        }
      }
    } catch (IOException ended) {
      // The instance has closed the connection.
    }
  }

  private String spoilt(Answer answer, String echo, String target, String refusal, Random random) {
    String whole = sound(echo, target);
    return switch (answer) {
      case REFUSAL, NOTHING -> "";
      case COPY_OF_A_REFUSAL -> refusal + whole;
      case INVALID_STATUS ->
          whole.replace(" 200 ", " " + STATUSES.get(random.nextInt(STATUSES.size())) + " ");
      case INVALID_CHUNKS ->
          head(echo)
              + "Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n"
              + SIZE_LINES.get(random.nextInt(SIZE_LINES.size()))
              + "\r\n\r\n";
      case HEAD_CUT -> whole.substring(0, random.nextInt(whole.indexOf("\r\n\r\n") + 4));
    };
  }

  private String sound(String echo, String target) {
    String body = body(target);
    return head(echo) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private String head(String echo) {
    return "HTTP/1.1 200 OK\r\n" + echo + "Server-Stamp: " + identifier + "\r\n";
  }

  private static String echo(String requestHead) {
    return requestHead
        .lines()
        .filter(line -> line.startsWith("Request-Id: "))
        .map(line -> line + "\r\n")
        .findFirst()
        .orElse("");
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int next = input.read(); next >= 0; next = input.read()) {
      head.append((char) next);
      if (next == '\n' && head.toString().endsWith("\r\n\r\n")) {
        return head.toString();
      }
    }
    return "";
  }
}
