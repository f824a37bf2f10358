import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A client with one kept connection that reads answers with a length. */
final class RawClient implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream input;

  /** An answer; the status is 0 if the connection ended without a complete one. */
  static final class Answer {
    int status;
    String statusLine = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    @Override
    public String toString() {
      return status == 0
          ? "no answer (" + statusLine + ")"
          : "\"%s\" %s body=%d bytes".formatted(statusLine, headers, body.length);
    }
  }

  RawClient(String host, int port, int connectMilliseconds) throws IOException {
    socket.connect(new InetSocketAddress(host, port), connectMilliseconds);
    socket.setTcpNoDelay(true);
    input = socket.getInputStream();
  }

  Answer request(String text, int timeoutMilliseconds) throws IOException {
    return request(text.getBytes(StandardCharsets.ISO_8859_1), timeoutMilliseconds);
  }

  Answer request(byte[] bytes, int timeoutMilliseconds) throws IOException {
    socket.setSoTimeout(timeoutMilliseconds);
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
    return readAnswer();
  }

  void timeout(int milliseconds) throws IOException {
    socket.setSoTimeout(milliseconds);
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  Answer readAnswer() throws IOException {
    Answer answer = new Answer();
    answer.statusLine = readLine(input);
    String line = readLine(input);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      answer.headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
      line = readLine(input);
    }
    int length = Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0"));
    answer.body = input.readNBytes(length);
    if (answer.body.length < length) {
      throw new EOFException("the answer ends early");
    }
    answer.status = Integer.parseInt(answer.statusLine.split(" ")[1]);
    return answer;
  }

  static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = input.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
