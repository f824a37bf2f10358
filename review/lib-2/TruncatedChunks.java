import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers send their answers in chunks. Half of them break off one in fifty after the first chunk
 * and send two empty lines, which are no part of a chunked body.
 */
final class TruncatedChunks {
  private static final int SERVERS = 4;
  private static final int FAULTY_SERVERS = 2;
  private static final int ANSWERS_FOR_A_SPOILT_ONE = 50;
  private static final int CALLERS = 8;
  private static final int REQUESTS = 150;

  private static final Map<String, String> wholeBodies = new ConcurrentHashMap<>();
  private static final Map<String, String> spoilt = new ConcurrentHashMap<>();
  private static final AtomicInteger mixed = new AtomicInteger();
  private static final AtomicInteger successes = new AtomicInteger();

  private TruncatedChunks() {}

  public static void main(String[] arguments) throws Exception {
    int result = 2;
    try (Run run = new Run(arguments[0])) {
      result = play(run);
    } catch (IOException | RuntimeException failure) {
      failure.printStackTrace();
    }
    System.exit(result);
  }

  private static int play(Run run) throws Exception {
    for (int number = 0; number < SERVERS; number++) {
      boolean faulty = Run.TROUBLE && number < FAULTY_SERVERS;
      AtomicInteger answers = new AtomicInteger();
      Server server =
          new Server(
              "i-" + number,
              "shop",
              "north-a",
              9,
              (self, request, connection, out) -> {
                boolean spoils =
                    faulty && answers.incrementAndGet() % ANSWERS_FOR_A_SPOILT_ONE == 0;
                out.write(answer(run, self, request, spoils));
                return true;
              });
      run.store.put("servers/" + server.id, server.entry("ready"));
    }
    run.store.put(
        "op/config",
        new Config(1)
            .route("view", "/view/", "safe", 2_500, 600, 2, "shop", 2, false)
            .route("deposit", "/deposit/", "unsafe", 2_500, 800, 1, "shop", 2, false)
            .service("shop")
            .tenant("t", "key-1")
            .json());
    Run.Instance one = run.start("one", "127.0.0.1", "north-a", "north", "north-a/north");
    if (!run.awaitReady(one, 20_000)) {
      return 2;
    }
    Run.sleep(1_500);
    CountDownLatch all = new CountDownLatch(CALLERS);
    for (int caller = 0; caller < CALLERS; caller++) {
      int number = caller;
      Thread.ofVirtual().start(() -> call(run, one, number, all));
    }
    if (!all.await(80, TimeUnit.SECONDS)) {
      return 2;
    }
    run.note("successes %d, spoilt answers %d", successes.get(), spoilt.size());
    run.note("MIXED: %d successes whose body is not the server's whole body", mixed.get());
    return mixed.get() > 0 ? 1 : 0;
  }

  private static byte[] answer(Run run, Server server, Http.Message request, boolean spoils) {
    String id = request.field("Request-Id").orElse("");
    String first = "{\"id\":\"" + id + "\",";
    String second = "\"state\":\"recorded\"}";
    wholeBodies.put(id, first + second);
    run.note("server %s runs %s", server.id, id);
    String head =
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n"
            .formatted(id, server.id, Long.toHexString(server.born));
    if (spoils) {
      spoilt.put(id, server.id);
      run.note("server %s breaks off the answer to %s after its first chunk", server.id, id);
      return Http.bytes(head + chunk(first) + "\r\n\r\n");
    }
    return Http.bytes(head + chunk(first) + chunk(second) + "0\r\n\r\n");
  }

  private static String chunk(String data) {
    return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
  }

  private static void call(Run run, Run.Instance one, int caller, CountDownLatch all) {
    for (int number = 0; number < REQUESTS; number++) {
      String id = "q-" + caller + "-" + number;
      run.note("sent %s", id);
      try (Socket connection = one.connect()) {
        connection.setSoTimeout(6_000);
        connection
            .getOutputStream()
            .write(
                Http.bytes(
                    ("POST /%s/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
                            + "X-Api-Key: key-1\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
                        .formatted(number % 2 == 0 ? "view" : "deposit", id)));
        judge(run, id, Http.read(new BufferedInputStream(connection.getInputStream())));
      } catch (IOException failure) {
        run.note("%s: %s", id, failure);
      }
    }
    all.countDown();
  }

  private static void judge(Run run, String id, Http.Message answer) {
    run.note("answer to %s: %s", id, answer == null ? "closed" : answer.start());
    if (answer == null || answer.status() != 200) {
      return;
    }
    successes.incrementAndGet();
    byte[] whole = Http.bytes(wholeBodies.getOrDefault(id, ""));
    if (!Arrays.equals(whole, answer.body())) {
      mixed.incrementAndGet();
      run.note(
          "MIXED %s: a complete success with %d of %d bytes: %s",
          id, answer.body().length, whole.length, new String(answer.body()));
    }
  }
}
