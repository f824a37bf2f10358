package org.corianderweir.bench.clients;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.corianderweir.http.HttpAddress;

/** The groups of clients of docs/design/hard-load.md. Each client sends the same bytes. */
public enum UncontrolledCrowd {
  /** Large bodies of legal size, sent whole; most stop just short of their end. */
  LARGE_BODIES {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      sendBody(output, target, client, 900_000, 900_000);
    }
  },
  /** Large bodies of legal size, sent piece by piece; most stop just short of their end. */
  LARGE_BODIES_IN_PIECES {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      sendBody(output, target, client, 200_000, 2_000);
    }
  },
  /** Bodies of the largest size that counts as small; most stop just short of their end. */
  SMALL_BODIES {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      sendBody(output, target, client, 60_000, 60_000);
    }
  },
  /** Bodies in large chunks; most stop just short of their end. */
  LARGE_CHUNKS {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      sendChunks(output, target, client, 14, 60_000);
    }
  },
  /** Bodies in chunks of one byte; most stop just short of their end. */
  SMALL_CHUNKS {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      sendChunks(output, target, client, 50_000, 1);
    }
  },
  /** Chunk lines and trailers that never end, a byte at a time. */
  UNFINISHED_CHUNK_LINES {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      output.write(bytes(target.head("POST", "lines", CHUNKED)));
      String line = client % 2 == 0 ? "1;extension=" : "0\r\n" + "a:b\r\n".repeat(60);
      sendSingly(output, bytes(line + "x".repeat(HEAD_BYTES / 2)));
    }
  },
  /** Bodies far over the limit, announced. */
  ANNOUNCED_OVER_THE_LIMIT {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      output.write(bytes(target.head("POST", "huge", "Content-Length: 64000000\r\n")));
      for (int part = 0; part < 50; part++) {
        output.write(FILL, 0, 60_000);
      }
    }
  },
  /** Bodies far over the limit, not announced. */
  OVER_THE_LIMIT {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      sendChunks(output, target, client, 50, 60_000);
    }
  },
  /** Heads of many short fields, without an end. */
  UNFINISHED_HEADS {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      String head = target.head("GET", "unfinished", manyFields());
      output.write(bytes(head.substring(0, head.length() - 2)));
    }
  },
  /** Heads without an end, a byte at a time. */
  HEADS_BY_BYTE {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      String head = target.head("GET", "by-byte", manyFields());
      sendSingly(output, bytes(head.substring(0, head.length() - 2)));
    }
  },
  /** Pipelined requests from clients that don't read the responses. */
  PIPELINED_AND_NOT_READ {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      byte[] requests = bytes(target.head("GET", "large", "").repeat(16));
      for (int part = 0; part < 20; part++) {
        output.write(requests);
      }
    }
  },
  /** Connections left idle, half of them after a request. */
  IDLE {
    @Override
    void sendHttp(OutputStream output, Target target, int client) throws IOException {
      if (client % 2 == 0) {
        output.write(bytes(target.head("GET", "idle", "")));
      }
    }
  };

  private static final int HEAD_BYTES = 15_000;
  private static final int FIELD_COUNT = 80;
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  /** One client in so many sends its body to the end. */
  private static final int COMPLETE_RATIO = 5;

  private static final int PEER_FRAME_BYTES = 200;
  private static final byte[] FILL = new byte[900_000];

  static {
    Arrays.fill(FILL, (byte) 'x');
  }

  /** The interfaces of an entry instance, with the offset of their port in the settings. */
  public enum Target {
    REQUESTS(0, "/read/x"),
    READINESS(1, "/api/readiness"),
    LOOK_UPS(2, "/api/resolve?name=rota.example&region=north&zone=north-a"),
    PEERS(3, "/"),
    METRICS(4, "/metrics");

    /** The interfaces besides the one for requests. */
    public static final List<Target> OTHERS = List.of(READINESS, LOOK_UPS, PEERS, METRICS);

    private final int portOffset;
    private final String path;

    Target(int portOffset, String path) {
      this.portOffset = portOffset;
      this.path = path;
    }

    int port(HttpAddress callers) {
      return callers.port() + portOffset;
    }

    /** Returns the whole head of a request with further header fields. */
    String head(String method, String purpose, String fields) {
      String requestPath = path;
      if (this == REQUESTS) {
        requestPath = method.equals("POST") ? "/book/x" : "/read/" + purpose;
      }
      return method
          + ' '
          + requestPath
          + " HTTP/1.1\r\nHost: rota.example\r\nX-Api-Key: key-1\r\nDeadline-Ms: 4000\r\n"
          + "Request-Id: "
          + purpose
          + "\r\n"
          + fields
          + "\r\n";
    }
  }

  /** Sends what one client of this crowd sends, after which it leaves the connection open. */
  void send(Socket socket, Target target, int client) throws IOException {
    OutputStream output = socket.getOutputStream();
    if (target == Target.PEERS && this != IDLE) {
      byte[] frame = new byte[PEER_FRAME_BYTES];
      frame[3] = (byte) PEER_FRAME_BYTES;
      if (client % 2 == 0) {
        output.write(frame);
      } else {
        sendSingly(output, frame);
      }
      return;
    }
    sendHttp(output, target, client);
  }

  abstract void sendHttp(OutputStream output, Target target, int client) throws IOException;

  private static void sendBody(
      OutputStream output, Target target, int client, int bodyBytes, int pieceBytes)
      throws IOException {
    output.write(bytes(target.head("POST", "body", "Content-Length: " + bodyBytes + "\r\n")));
    int sentBytes = bodyBytes - (client % COMPLETE_RATIO == 0 ? 0 : 1);
    for (int position = 0; position < sentBytes; position += pieceBytes) {
      output.write(FILL, position, Math.min(pieceBytes, sentBytes - position));
    }
  }

  private static void sendChunks(
      OutputStream output, Target target, int client, int count, int chunkBytes)
      throws IOException {
    output.write(bytes(target.head("POST", "chunks", CHUNKED)));
    byte[] chunk =
        bytes(Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n");
    int perWrite = Math.max(1, 600 / chunk.length);
    byte[] chunks = bytes(new String(chunk, StandardCharsets.ISO_8859_1).repeat(perWrite));
    for (int sent = 0; sent < count; sent += perWrite) {
      output.write(chunks);
    }
    output.write(bytes(client % COMPLETE_RATIO == 0 ? "0\r\n\r\n" : "0\r\n"));
  }

  /** Writes each byte by itself, with a pause in which the instance reads it by itself. */
  private static void sendSingly(OutputStream output, byte[] message) throws IOException {
    try {
      for (int position = 0; position < message.length - 1; position++) {
        output.write(message[position]);
        TimeUnit.MICROSECONDS.sleep(500);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private static String manyFields() {
    String value = "x".repeat(HEAD_BYTES / FIELD_COUNT - 8);
    StringBuilder fields = new StringBuilder();
    for (int number = 0; number < FIELD_COUNT; number++) {
      fields.append("F-").append(number).append(": ").append(value).append("\r\n");
    }
    return fields.toString();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
