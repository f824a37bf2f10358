import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Callers send safe requests one behind the other on kept connections while an entry instance
 * stops. The first request of each connection takes 4.2 s, the others 1.4 s.
 */
final class StopWithReadyAnswers {
  private static final int CALLERS = 6;
  private static final int SHORT_REQUESTS = 3;
  private static final int LONG_WORK = 4_200;
  private static final int SHORT_WORK = 1_400;
  private static final int GRACE = 6_000;

  private static final Map<String, Long> answeredByServer = new ConcurrentHashMap<>();
  private static final Map<String, Integer> answeredToCaller = new ConcurrentHashMap<>();
  private static final Map<String, Long> ends = new ConcurrentHashMap<>();

  private StopWithReadyAnswers() {}

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
          run.note("server %s begins %s", server.id, id);
          Thread.sleep(request.target().endsWith("/long") ? LONG_WORK : SHORT_WORK);
          out.write(Http.bytes(server.ran(request, 5) + "whole"));
          answeredByServer.put(id, System.nanoTime());
          run.note("server %s answered %s", server.id, id);
          return true;
        };
    for (int number = 0; number < 4; number++) {
      Server server = new Server("i-" + number, "diner", "north-a", 9, handler);
      run.store.put("servers/" + server.id, server.entry("ready"));
    }
    run.store.put(
        "op/config",
        new Config(1)
            .route("menu", "/menu/", "safe", 6_000, 1_254, 1, "diner", 2, false)
            .service("diner")
            .tenant("t", "key-1")
            .json());
    Run.Instance one = run.start("one", "127.0.0.1", "north-a", "north", "north-a/north");
    if (!run.awaitReady(one, 20_000)) {
      return 2;
    }
    Run.sleep(1_500);
    Queue<Socket> connections = new ConcurrentLinkedQueue<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      Socket connection = one.connect();
      connection.setSoTimeout(12_000);
      connections.add(connection);
      connection.getOutputStream().write(Http.bytes(request("/menu/warm", "warm-" + caller)));
      run.note("warm-%d: %d", caller, Http.read(connection.getInputStream()).status());
    }
    long stopped = System.nanoTime();
    if (Run.TROUBLE) {
      Run.signal(one.process(), "TERM");
      run.note("SIGTERM");
    }
    Run.sleep(1_200);
    CountDownLatch all = new CountDownLatch(CALLERS);
    int caller = 0;
    for (Socket connection : connections) {
      int number = caller++;
      Thread.ofVirtual().start(() -> call(run, connection, number, all));
    }
    all.await(15, TimeUnit.SECONDS);
    return judge(run, stopped);
  }

  private static String request(String target, String id) {
    return ("GET %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nX-Api-Key: key-1\r\n"
            + "Deadline-Ms: 8000\r\n\r\n")
        .formatted(target, id);
  }

  private static void call(Run run, Socket connection, int caller, CountDownLatch all) {
    List<String> ids = new ArrayList<>();
    StringBuilder requests = new StringBuilder();
    for (int number = 0; number <= SHORT_REQUESTS; number++) {
      String id = "q-" + caller + "-" + number;
      ids.add(id);
      requests.append(request(number == 0 ? "/menu/long" : "/menu/short", id));
    }
    try (connection) {
      connection.getOutputStream().write(Http.bytes(requests.toString()));
      run.note("sent %s", ids);
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      for (String id : ids) {
        Http.Message answer = Http.read(in);
        if (answer == null) {
          break;
        }
        answeredToCaller.put(id, answer.status());
        run.note("answer to %s: %d", id, answer.status());
      }
    } catch (IOException ended) {
      run.note("connection of caller %d: %s", caller, ended);
    }
    for (String id : ids) {
      ends.put(id, System.nanoTime());
    }
    run.note("connection of caller %d has ended", caller);
    all.countDown();
  }

  /** Counts the requests that a server had answered and whose caller got no answer. */
  private static int judge(Run run, long stopped) {
    int lost = 0;
    for (Map.Entry<String, Long> end : ends.entrySet()) {
      Long served = answeredByServer.get(end.getKey());
      long afterStop = (end.getValue() - stopped) / 1_000_000;
      boolean idleInLastSixth =
          served != null && (served - stopped) / 1_000_000 < GRACE - GRACE / 6;
      if (!answeredToCaller.containsKey(end.getKey())
          && idleInLastSixth
          && afterStop < GRACE + 1_000) {
        lost++;
        run.note(
            "LOST %s: answered by its server %d ms after the stop began, cut at %d ms",
            end.getKey(), (served - stopped) / 1_000_000, afterStop);
      }
    }
    run.note("lost: %d", lost);
    return lost > 0 ? 1 : 0;
  }
}
