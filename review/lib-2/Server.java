import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A backend server. What it does with a request is the handler's. */
final class Server {
  /** Handles one request; returns whether the connection stays open. */
  interface Handler {
    boolean handle(Server server, Http.Message request, Socket connection, OutputStream out)
        throws IOException, InterruptedException;
  }

  /** Handles one request of which only the head was read; returns whether the connection stays open. */
  interface HeadHandler {
    boolean handle(Server server, Http.Message head, InputStream in, OutputStream out)
        throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  final String zone;
  final int slots;
  final long born = System.currentTimeMillis();
  private final ServerSocket socket;
  private final Handler handler;
  private final HeadHandler headHandler;

  Server(String id, String service, String zone, int slots, Handler handler) throws IOException {
    this(id, service, zone, slots, handler, null);
  }

  private Server(
      String id, String service, String zone, int slots, Handler handler, HeadHandler headHandler)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.handler = handler;
    this.headHandler = headHandler;
    socket = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  /** Starts a server that gets a request before its body is read. */
  static Server early(String id, String service, String zone, int slots, HeadHandler handler)
      throws IOException {
    return new Server(id, service, zone, slots, null, handler);
  }

  /** Returns what the server writes to the store of itself. */
  String entry(String state) {
    return ("{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":\"%s\","
            + "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
            + "\"status\":{\"state\":\"%s\",\"seq\":1,\"coldRemainingMs\":0}}")
        .formatted(socket.getLocalPort(), born, service, zone, slots, state);
  }

  /** Returns the head of an answer that the server has worked out. */
  String ran(Http.Message request, int length) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n"
        .formatted(request.field("Request-Id").orElse(""), id, Long.toHexString(born), length);
  }

  private void accept() {
    while (true) {
      try {
        Socket connection = socket.accept();
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      for (Http.Message head = Http.head(in); head != null; head = Http.head(in)) {
        boolean early = headHandler != null;
        Http.Message request =
            early ? head : new Http.Message(head.start(), head.fields(), Http.body(head, in));
        if (request.field("Expect-Instance").filter(name -> !name.equals(id)).isPresent()) {
          out.write(
              Http.bytes(
                  "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                      .formatted(request.field("Request-Id").orElse(""), id)));
        } else if (early
            ? !headHandler.handle(this, head, in, out)
            : !handler.handle(this, request, connection, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException ended) {
      // The caller has closed the connection.
    }
  }
}
