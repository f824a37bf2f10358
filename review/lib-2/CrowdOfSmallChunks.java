import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd sends chunked bodies of 16 kB in chunks of one byte, stops just short of their end and
 * stays open. Afterwards ordinary callers send one request after the other.
 */
final class CrowdOfSmallChunks {
  private static final int CROWD = 1_000;
  private static final int CHUNKS = 16_000;
  private static final int ROUTE_TIMEOUT = 2_500;
  private static final int SLACK = 500;

  /** Callers press until the crowd has sent its last byte; 5 s later no machine counts as slowed. */
  private static final int AFTER_CROWD = 5_000;

  private static final int JUDGED_SECONDS = 20;

  private CrowdOfSmallChunks() {}

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
    for (int number = 0; number < 4; number++) {
      Server server =
          new Server(
              "i-" + number,
              "shop",
              "north-a",
              9,
              (self, request, connection, out) -> {
                out.write(Http.bytes(self.ran(request, 5) + "whole"));
                return true;
              });
      run.store.put("servers/" + server.id, server.entry("ready"));
    }
    run.store.put(
        "op/config",
        new Config(1)
            .route("view", "/view/", "safe", ROUTE_TIMEOUT, 600, 2, "shop", 2, false)
            .route("manifest", "/manifest/", "upload", 3_000, 1_131, 1, "shop", 2, false)
            .service("shop")
            .tenant("t", "key-1")
            .json());
    Run.Instance one = run.start("one", "127.0.0.1", "north-a", "north", "north-a/north");
    if (!run.awaitReady(one, 20_000)) {
      return 2;
    }
    Run.sleep(1_500);
    List<Socket> crowd = Collections.synchronizedList(new ArrayList<>());
    if (Run.TROUBLE && !sendCrowd(run, one, crowd)) {
      return 2;
    }
    long crowdSent = System.nanoTime();
    Run.sleep(AFTER_CROWD);
    AtomicInteger asked = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    AtomicInteger unanswered = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int number = 0; number < JUDGED_SECONDS * 2; number++) {
      String id = "view-" + number;
      callers.add(
          Thread.ofVirtual()
              .start(() -> call(run, one, id, crowdSent, asked, late, unanswered)));
      Run.sleep(500);
    }
    for (Thread caller : callers) {
      caller.join(10_000);
    }
    run.note("the process %s", one.process().isAlive() ? "lives" : "has ended");
    run.note(
        "%d requests, %d without an answer at timeoutMs, %d of these without one %d ms later",
        asked.get(), late.get(), unanswered.get(), SLACK);
    for (Socket connection : crowd) {
      connection.close();
    }
    return late.get() > 0 && 2 * unanswered.get() > late.get() ? 1 : 0;
  }

  private static boolean sendCrowd(Run run, Run.Instance one, List<Socket> crowd)
      throws InterruptedException {
    byte[] chunks = Http.bytes("1\r\nx\r\n".repeat(CHUNKS));
    CountDownLatch sent = new CountDownLatch(CROWD);
    for (int caller = 0; caller < CROWD; caller++) {
      String id = "manifest-" + caller;
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  Socket connection = one.connect();
                  crowd.add(connection);
                  connection
                      .getOutputStream()
                      .write(
                          Http.bytes(
                              ("POST /manifest/a HTTP/1.1\r\nHost: shop.example\r\n"
                                      + "Request-Id: %s\r\nX-Api-Key: key-1\r\nDeadline-Ms: 3000\r\n"
                                      + "Transfer-Encoding: chunked\r\n\r\n")
                                  .formatted(id)));
                  connection.getOutputStream().write(chunks);
                } catch (IOException refused) {
                  // The instance may close the connections of such callers.
                }
                sent.countDown();
              });
    }
    boolean all = sent.await(30, TimeUnit.SECONDS);
    run.note("the crowd of %d has sent its last byte: %b", CROWD, all);
    return all;
  }

  private static void call(
      Run run,
      Run.Instance one,
      String id,
      long crowdSent,
      AtomicInteger asked,
      AtomicInteger late,
      AtomicInteger unanswered) {
    asked.incrementAndGet();
    long begin = System.nanoTime();
    String result;
    try (Socket connection = new Socket()) {
      connection.connect(new InetSocketAddress(one.host(), one.callers()), 1_000);
      connection.setSoTimeout(8_000);
      connection
          .getOutputStream()
          .write(
              Http.bytes(
                  ("GET /view/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
                          + "X-Api-Key: key-1\r\nDeadline-Ms: 4000\r\n\r\n")
                      .formatted(id)));
      Http.Message answer = Http.read(new BufferedInputStream(connection.getInputStream()));
      result = answer == null ? "closed" : Integer.toString(answer.status());
    } catch (IOException failure) {
      result = failure.toString();
    }
    long took = (System.nanoTime() - begin) / 1_000_000;
    if (took > ROUTE_TIMEOUT) {
      late.incrementAndGet();
    }
    if (took > ROUTE_TIMEOUT + SLACK) {
      unanswered.incrementAndGet();
    }
    run.note(
        "%s, sent %d ms after the crowd: %s after %d ms",
        id, (begin - crowdSent) / 1_000_000, result, took);
  }
}
