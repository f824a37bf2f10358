import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A backend server as PROTOCOL.md describes it; a handler decides what it answers. */
final class ServerStandIn implements AutoCloseable {
  private final ServerSocket listener;
  final String identifier;
  private final Handler handler;

  /** A request that the server has read completely. */
  static final class Request {
    String method = "";
    String target = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** Number of the request on its connection, from 1. */
    int number;

    String id() {
      return headers.getOrDefault("Request-Id", "");
    }
  }

  interface Handler {
    /** Answers a request; returns whether the connection stays open. */
    boolean handle(ServerStandIn server, Request request, OutputStream output)
        throws IOException, InterruptedException;
  }

  ServerStandIn(String identifier, Handler handler) throws IOException {
    this.identifier = identifier;
    this.handler = handler;
    listener = new ServerSocket(0, 128, InetAddress.getByName(Deployment.HOST));
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Thread.ofPlatform().daemon().start(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = socket.getInputStream();
      int number = 0;
      boolean open = true;
      while (open) {
        Request request = new Request();
        request.number = ++number;
        String[] first = RawClient.readLine(input).split(" ");
        request.method = first[0];
        request.target = first[1];
        String line = RawClient.readLine(input);
        while (!line.isEmpty()) {
          int colon = line.indexOf(':');
          request.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
          line = RawClient.readLine(input);
        }
        int length = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
        request.body = input.readNBytes(length);
        if (request.body.length < length) {
          return;
        }
        String expected = request.headers.getOrDefault("Expect-Instance", identifier);
        if (!expected.equals(identifier)) {
          write(
              socket.getOutputStream(),
              "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                  .formatted(identifier, request.id()));
          continue;
        }
        open = handler.handle(this, request, socket.getOutputStream());
      }
    } catch (IOException | InterruptedException ended) {
      // The connection has ended.
    }
  }

  static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  /** Returns the server's own answer to a request that it has run. */
  String answer(Request request, String statusLine, String body) {
    return statusLine
        + "\r\nRequest-Id: "
        + request.id()
        + "\r\nServer-Stamp: stamp."
        + identifier
        + "."
        + request.id()
        + "\r\nServer-Load: 0,0,3\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
