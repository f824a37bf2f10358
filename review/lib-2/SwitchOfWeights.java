import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two routes are split between an old and a new service, 10 to 90 first. Then the operator changes
 * the weights, on another scale: on one route the old service gets 0 and the new one 1, on the
 * other one both get 1.
 */
final class SwitchOfWeights {
  private static final int REQUESTS_BEFORE = 14;
  private static final int REQUESTS_AFTER = 60;
  private static final int REQUESTS_FOR_SHARE = 220;
  private static final double SHARE_BOUND = 0.2;
  private static final int CONFIG_APPLY = 2_500;

  private static final Map<String, String> ranBy = new ConcurrentHashMap<>();

  private SwitchOfWeights() {}

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
    for (String service : new String[] {"desk-new", "desk-old"}) {
      for (int number = 0; number < 2; number++) {
        Server server =
            new Server(
                service + "-" + number,
                service,
                "north-a",
                9,
                (self, request, connection, out) -> {
                  ranBy.put(request.field("Request-Id").orElse(""), self.service);
                  out.write(Http.bytes(self.ran(request, 5) + "whole"));
                  return true;
                });
        run.store.put("servers/" + server.id, server.entry("ready"));
      }
    }
    run.store.put("op/config", configuration(1, 90, 10, 900, 100));
    Run.Instance one = run.start("one", "127.0.0.1", "north-a", "north", "north-a/north");
    if (!run.awaitReady(one, 20_000)) {
      return 2;
    }
    Run.sleep(1_500);
    for (int number = 0; number < REQUESTS_BEFORE; number++) {
      send(run, one, "/fixtures/a", "before-" + number);
      send(run, one, "/lawns/a", "lawn-before-" + number);
    }
    if (Run.TROUBLE) {
      run.store.put("op/config", configuration(2, 1, 0, 1, 1));
      run.note("version 2 is acknowledged: /fixtures/ new 1, old 0; /lawns/ new 1, old 1");
    }
    Run.sleep(CONFIG_APPLY + 1_500);
    int byOld = 0;
    for (int number = 0; number < REQUESTS_AFTER; number++) {
      byOld += "desk-old".equals(send(run, one, "/fixtures/a", "after-" + number)) ? 1 : 0;
    }
    int lawnsByOld = 0;
    for (int number = 0; number < REQUESTS_FOR_SHARE; number++) {
      lawnsByOld += "desk-old".equals(send(run, one, "/lawns/a", "lawn-after-" + number)) ? 1 : 0;
    }
    run.note("/fixtures/: %d of %d requests run by desk-old", byOld, REQUESTS_AFTER);
    run.note("/lawns/: %d of %d requests run by desk-old", lawnsByOld, REQUESTS_FOR_SHARE);
    double oldWeight = Run.TROUBLE ? 0.5 : 0.1;
    double off = Math.abs((double) lawnsByOld / REQUESTS_FOR_SHARE - oldWeight);
    boolean broken = off > SHARE_BOUND;
    if (broken) {
      run.note("CONFIG: the share of desk-old on /lawns/ lies %.2f off its weight's", off);
    }
    if (Run.TROUBLE && byOld > 0) {
      broken = true;
      run.note("CONFIG: %d requests on /fixtures/ run by the old service", byOld);
    }
    return broken ? 1 : 0;
  }

  private static String configuration(
      int version, int newWeight, int oldWeight, int newLawns, int oldLawns) {
    return new Config(version)
        .splitRoute("fixtures", "/fixtures/", "safe", 1_200, 250, 1, parts(newWeight, oldWeight), 2)
        .splitRoute("lawns", "/lawns/", "safe", 1_200, 250, 1, parts(newLawns, oldLawns), 2)
        .service("desk-new")
        .service("desk-old")
        .tenant("t", "key-1")
        .json();
  }

  private static String parts(int newWeight, int oldWeight) {
    return "[{\"service\":\"desk-new\",\"weight\":%d},{\"service\":\"desk-old\",\"weight\":%d}]"
        .formatted(newWeight, oldWeight);
  }

  /** Sends a request; returns the service that has run it. */
  private static String send(Run run, Run.Instance one, String target, String id)
      throws IOException {
    try (Socket connection = one.connect()) {
      connection.setSoTimeout(5_000);
      connection
          .getOutputStream()
          .write(
              Http.bytes(
                  ("GET %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
                          + "X-Api-Key: key-1\r\nDeadline-Ms: 2000\r\n\r\n")
                      .formatted(target, id)));
      Http.Message answer = Http.read(new BufferedInputStream(connection.getInputStream()));
      run.note(
          "%s: %s, run by %s",
          id, answer == null ? "closed" : answer.status(), ranBy.getOrDefault(id, "nobody"));
      return ranBy.getOrDefault(id, "nobody");
    }
  }
}
