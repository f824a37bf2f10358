import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The settings of a running entry instance change: the time between SIGTERM and SIGKILL goes from
 * 10 s to 6 s, and SIGHUP tells so. Later the instance is stopped. Callers go on using their
 * connections.
 */
final class StopAfterSettingsChange {
  private static final int CALLERS = 8;
  private static final int OLD_GRACE_SECONDS = 10;
  private static final int GRACE_SECONDS = 6;
  private static final int SENT_AFTER = 3_400;
  private static final int WORK = 2_700;

  private static final Map<String, Long> begun = new ConcurrentHashMap<>();
  private static final Map<String, Integer> answered = new ConcurrentHashMap<>();
  private static final Map<String, Long> ended = new ConcurrentHashMap<>();

  private StopAfterSettingsChange() {}

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
    Server.Handler handler =
        (server, request, connection, out) -> {
          String id = request.field("Request-Id").orElse("");
          begun.put(id, System.nanoTime());
          run.note("server %s runs %s", server.id, id);
          Thread.sleep(id.startsWith("warm") ? 20 : WORK);
          out.write(Http.bytes(server.ran(request, 5) + "whole"));
          return true;
        };
    for (int number = 0; number < 4; number++) {
      Server server = new Server("i-" + number, "shop", "north-a", 9, handler);
      run.store.put("servers/" + server.id, server.entry("ready"));
    }
    run.store.put(
        "op/config",
        new Config(1)
            .route("deposit", "/deposit/", "unsafe", 3_000, 800, 1, "shop", 2, false)
            .service("shop")
            .tenant("t", "key-1")
            .json());
    run.setGraceSeconds(Run.TROUBLE ? OLD_GRACE_SECONDS : GRACE_SECONDS);
    Run.Instance one = run.start("one", "127.0.0.1", "north-a", "north", "north-a/north");
    if (!run.awaitReady(one, 20_000)) {
      return 2;
    }
    Run.sleep(1_500);
    if (Run.TROUBLE) {
      run.changeSettings(
          one, "stop-seconds = " + OLD_GRACE_SECONDS, "stop-seconds = " + GRACE_SECONDS);
      Run.signal(one.process(), "HUP");
      run.note("SIGHUP");
    }
    Run.sleep(5_000);
    Queue<Socket> connections = new ConcurrentLinkedQueue<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      Socket connection = one.connect();
      connection.setSoTimeout(10_000);
      connections.add(connection);
      connection.getOutputStream().write(Http.bytes(request("warm-" + caller)));
      run.note("warm-%d: %d", caller, Http.read(connection.getInputStream()).status());
    }
    Run.signal(one.process(), "TERM");
    long stopped = System.nanoTime();
    run.note("SIGTERM");
    // Other callers still use their look-ups, so that the instance goes on listening.
    for (int number = 0; (System.nanoTime() - stopped) / 1_000_000 < SENT_AFTER; number++) {
      try (Socket connection = one.connect()) {
        connection.getOutputStream().write(Http.bytes(request("warm-new-" + number)));
        Http.read(connection.getInputStream());
      }
      Run.sleep(50);
    }
    CountDownLatch all = new CountDownLatch(CALLERS);
    for (int caller = 0; caller < CALLERS; caller++) {
      String id = "deposit-" + caller;
      Socket kept = connections.poll();
      Thread.ofVirtual().start(() -> call(run, one, kept, id, all));
    }
    long left = GRACE_SECONDS * 1_000L - (System.nanoTime() - stopped) / 1_000_000;
    one.process().waitFor(left, TimeUnit.MILLISECONDS);
    run.note("after graceS the process is %s", one.process().isAlive() ? "killed" : "gone");
    one.process().destroyForcibly();
    all.await(5, TimeUnit.SECONDS);
    return judge(run, stopped);
  }

  private static String request(String id) {
    return ("POST /deposit/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
            + "X-Api-Key: key-1\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody")
        .formatted(id);
  }

  private static void call(
      Run run, Run.Instance one, Socket kept, String id, CountDownLatch all) {
    try (Socket connection = kept == null ? one.connect() : kept) {
      connection.setSoTimeout(10_000);
      connection.getOutputStream().write(Http.bytes(request(id)));
      run.note("sent %s on %s connection", id, kept == null ? "a new" : "its kept");
      Http.Message answer = Http.read(new BufferedInputStream(connection.getInputStream()));
      if (answer != null) {
        answered.put(id, answer.status());
        run.note("answer to %s: %d", id, answer.status());
      }
    } catch (IOException failure) {
      run.note("%s: %s", id, failure);
    }
    ended.put(id, System.nanoTime());
    all.countDown();
  }

  /** Counts the requests that were passed on to a server and got no answer. */
  private static int judge(Run run, long stopped) {
    int lost = 0;
    for (Map.Entry<String, Long> end : ended.entrySet()) {
      String id = end.getKey();
      if (begun.containsKey(id) && !answered.containsKey(id)) {
        lost++;
        run.note(
            "LOST %s: passed on %d ms after SIGTERM, cut at %d ms",
            id, (begun.get(id) - stopped) / 1_000_000, (end.getValue() - stopped) / 1_000_000);
      }
    }
    run.note("lost: %d", lost);
    return lost > 0 ? 1 : 0;
  }
}
