package org.corianderweir.bench.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import org.corianderweir.bench.soak.SoakEvidence.Ending;
import org.corianderweir.http.HttpAddress;

/** A connection of a caller on a plain socket. */
final class SoakConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
  private static final int IDLE_PROBE_MILLISECONDS = 1;
  private static final int STATUS_LENGTH = 3;
  private static final int STATUS_OK = 200;

  /** Receive buffer of a slow reader; with a larger one the kernel would read for it. */
  private static final int SLOW_READER_BUFFER_BYTES = 16 * 1024;

  /** Parts in which a slow reader reads, which let the largest body take about 0.7 s. */
  private static final int SLOW_READER_PART_BYTES = 16 * 1024;

  private static final int SLOW_READER_PAUSE_MILLISECONDS = 20;

  private final Socket socket;
  private final InputStream input;
  private final boolean slowReader;
  private boolean ended;

  private SoakConnection(Socket socket, boolean slowReader) throws IOException {
    this.socket = socket;
    this.slowReader = slowReader;
    input = new BufferedInputStream(socket.getInputStream());
  }

  /**
   * Connects to an address.
   *
   * @param slowReader whether bodies are read slowly
   * @throws IOException if the connection is refused or not made in time
   */
  static SoakConnection open(HttpAddress address, boolean slowReader) throws IOException {
    Socket socket = new Socket();
    try {
      if (slowReader) {
        socket.setReceiveBufferSize(SLOW_READER_BUFFER_BYTES);
      }
      socket.connect(
          new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLISECONDS);
      return new SoakConnection(socket, slowReader);
    } catch (IOException refused) {
      socket.close();
      throw refused;
    }
  }

  /** Returns whether an idle connection has not ended; HTTP clients look before they reuse one. */
  boolean isOpen() {
    if (ended) {
      return false;
    }
    try {
      socket.setSoTimeout(IDLE_PROBE_MILLISECONDS);
      input.read();
      return false;
    } catch (SocketTimeoutException nothingArrived) {
      return true;
    } catch (IOException reset) {
      return false;
    }
  }

  /**
   * Sends requests at once and reads their answers in this order. Without an answer to each, the
   * connection is closed.
   *
   * @param patienceMilliseconds longest time without a byte of an answer
   * @param onEnding is told of each request and how it ended, in order
   */
  void exchange(
      List<SoakRequest> requests,
      int patienceMilliseconds,
      BiConsumer<SoakRequest, Ending> onEnding) {
    int answeredCount = 0;
    Ending rest;
    try {
      socket.setSoTimeout(patienceMilliseconds);
      for (SoakRequest request : requests) {
        socket.getOutputStream().write(request.encoded());
      }
      while (answeredCount < requests.size() && !ended) {
        SoakRequest request = requests.get(answeredCount);
        Ending.Answered answered = readAnswer(request);
        answeredCount++;
        onEnding.accept(request, answered);
      }
      rest = new Ending.Unread();
    } catch (SocketTimeoutException impatient) {
      rest = new Ending.Left();
    } catch (IOException cut) {
      rest = new Ending.Cut();
    }
    if (ended || answeredCount < requests.size()) {
      close();
    }
    for (SoakRequest request : requests.subList(answeredCount, requests.size())) {
      onEnding.accept(request, rest);
    }
  }

  @Override
  public void close() {
    ended = true;
    try {
      socket.close();
    } catch (IOException failure) {
      System.err.println("can't close a connection of a caller: " + failure);
    }
  }

  private Ending.Answered readAnswer(SoakRequest request) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new EOFException("the connection ended in the head");
      }
      head.append((char) next);
    }
    String fields = head.toString().toLowerCase(Locale.ROOT);
    byte[] body = readBody(contentLength(fields));
    ended = fields.contains("connection: close");
    int statusStart = "http/1.1 ".length();
    int status = Integer.parseInt(fields.substring(statusStart, statusStart + STATUS_LENGTH));
    boolean ownBody = status == STATUS_OK && Arrays.equals(body, request.answer());
    return new Ending.Answered(status, ownBody);
  }

  private byte[] readBody(int length) throws IOException {
    byte[] body = new byte[length];
    int count = 0;
    while (count < length) {
      if (slowReader) {
        pause();
      }
      int partBytes = slowReader ? SLOW_READER_PART_BYTES : length;
      int read = input.read(body, count, Math.min(partBytes, length - count));
      if (read < 0) {
        throw new EOFException("the connection ended in the body");
      }
      count += read;
    }
    return body;
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(SLOW_READER_PAUSE_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new SocketTimeoutException("the soak ends");
    }
  }

  private static int contentLength(String fields) {
    String field = "content-length: ";
    int start = fields.indexOf(field);
    return start < 0
        ? 0
        : Integer.parseInt(
            fields.substring(start + field.length(), fields.indexOf("\r\n", start)).trim());
  }
}
