package org.corianderweir.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A caller that sends requests before it has the responses to those before. */
final class PipeliningCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLISECONDS = 5_000;
  private static final int SHORT_MILLISECONDS = 150;

  private final Socket socket;
  private final InputStream input;

  /** A response: its status, its body, and whether it announces the end of the connection. */
  record Answer(int status, String body, boolean closes) {}

  PipeliningCaller(int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLISECONDS);
    input = new BufferedInputStream(socket.getInputStream());
  }

  static String get(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: here\r\n\r\n";
  }

  static String post(String target, String body) {
    return postHead(target, body.length()) + body;
  }

  static String postHead(String target, int bodyBytes) {
    return "POST "
        + target
        + " HTTP/1.1\r\nHost: here\r\nContent-Length: "
        + bodyBytes
        + "\r\n\r\n";
  }

  static String chunked(String target, String body) {
    String head =
        "POST " + target + " HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n";
    return head + "%x\r\n%s\r\n0\r\n\r\n".formatted(body.length(), body);
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads a response. */
  Answer read() throws IOException {
    String statusLine = readLine();
    int length = 0;
    boolean closes = false;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      if (line.startsWith("Content-Length: ")) {
        length = Integer.parseInt(line.substring("Content-Length: ".length()));
      }
      closes |= line.equals("Connection: close");
    }
    String body = new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
    return new Answer(Integer.parseInt(statusLine.split(" ")[1]), body, closes);
  }

  /** Reads a number of responses; returns their bodies. */
  List<String> readBodies(int count) throws IOException {
    List<String> bodies = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      bodies.add(read().body());
    }
    return bodies;
  }

  /** Returns whether nothing arrives for a short time, while the connection stays open. */
  boolean receivesNothing() throws IOException {
    socket.setSoTimeout(SHORT_MILLISECONDS);
    try {
      input.mark(1);
      input.read();
      input.reset();
      return false;
    } catch (SocketTimeoutException nothing) {
      return true;
    } finally {
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
    }
  }

  /** Returns whether the connection has ended with nothing more to read. */
  boolean hasEnded() throws IOException {
    return input.read() < 0;
  }

  Socket socket() {
    return socket;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        throw new IOException("the connection ended in a head: " + line);
      }
      if (next != '\r') {
        line.append((char) next);
      }
      next = input.read();
    }
    return line.toString();
  }
}
