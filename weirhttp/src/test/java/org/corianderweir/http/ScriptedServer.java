package org.corianderweir.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on a plain socket that follows a script, which may violate the protocol. */
final class ScriptedServer implements AutoCloseable {
  private final ServerSocket server;
  private final Script script;
  private final AtomicInteger connections = new AtomicInteger();

  /** Serves one connection. */
  interface Script {
    void serve(ServerConnection connection) throws Exception;
  }

  /** One accepted connection; connections are numbered from one. */
  record ServerConnection(int number, Socket socket, InputStream input) {
    /** Reads and returns the head of a request. */
    String read() throws IOException {
      ByteArrayOutputStream head = new ByteArrayOutputStream();
      String text = "";
      while (!text.endsWith("\r\n\r\n")) {
        int next = input.read();
        if (next < 0) {
          throw new IOException("closed");
        }
        head.write(next);
        text = head.toString(StandardCharsets.ISO_8859_1);
      }
      return text;
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    void respond(String body) throws IOException {
      write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Waits until the other side closes the connection. */
    void awaitClose() throws IOException {
      while (input.read() >= 0) {
        // Discards all bytes until the end of the stream.
      }
    }
  }

  ScriptedServer(Script script) throws IOException {
    this.script = script;
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  HttpAddress address() {
    return new HttpAddress("127.0.0.1", server.getLocalPort());
  }

  int connections() {
    return connections.get();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    try {
      while (!server.isClosed()) {
        Socket socket = server.accept();
        int number = connections.incrementAndGet();
        start(() -> serve(number, socket));
      }
    } catch (IOException closed) {
      // The test has ended.
    }
  }

  private void serve(int number, Socket socket) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      script.serve(new ServerConnection(number, socket, input));
    } catch (Exception ended) {
      // The client went away, as many scripts intend.
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
