import java.io.IOException;
import java.nio.file.Path;
import java.util.Collections;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer puts an entry into the service discovery that lacks a field and gives a time in
 * nanoseconds. From then on the entry instances follow no change of the servers: one that leaves
 * still gets requests. Instances that restart afterwards are never ready.
 */
final class Case4 {
  private static final int CONFIG_APPLY_MILLISECONDS = 2_500;
  private static final int DRAIN_MILLISECONDS = 2_500;
  /** Time in which the instances have seen each other. */
  private static final int SETTLE_MILLISECONDS = 3_000;

  private static final int MARGIN_MILLISECONDS = 1_000;
  private static final int REQUESTS_PER_INSTANCE = 60;
  private static final int RECOVERY_MILLISECONDS = 15_000;
  private static final int RESTART_DELAY_MILLISECONDS = 1_000;

  private Case4() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = run(deployment, trouble);
    } catch (IOException | InterruptedException failure) {
      System.err.println("the case could not run: " + failure);
    }
    System.exit(status);
  }

  private static ServerStandIn server(Deployment deployment, String identifier, List<String> runs)
      throws IOException {
    return new ServerStandIn(
        identifier,
        (self, request, output) -> {
          runs.add(request.id() + " " + self.identifier);
          deployment.note(self.identifier + " runs " + request.method + " " + request.id());
          ServerStandIn.write(output, self.answer(request, "HTTP/1.1 200 OK", "done"));
          return true;
        });
  }

  private static int run(Deployment deployment, boolean trouble)
      throws IOException, InterruptedException {
    List<String> runs = Collections.synchronizedList(new ArrayList<>());
    ServerStandIn first = server(deployment, "desk-1", runs);
    ServerStandIn second = server(deployment, "desk-2", runs);
    ServerStandIn hall = server(deployment, "hall-1", runs);
    deployment.register("desk-1", first.port(), "desk", 3, 1_000);
    deployment.register("desk-2", second.port(), "desk", 3, 1_000);
    deployment.register("hall-1", hall.port(), "hall", 3, 1_000);
    deployment.configure(1, "desk");
    List<Deployment.Instance> entries =
        List.of(deployment.addInstance("entry-1"), deployment.addInstance("entry-2"));
    for (Deployment.Instance entry : entries) {
      entry.start();
    }
    for (Deployment.Instance entry : entries) {
      entry.awaitReady();
    }
    Thread.sleep(SETTLE_MILLISECONDS);
    int before = send(deployment, entries, "before", "/order/x");
    if (before == 0) {
      System.err.println("no request was answered before the trouble");
      return 2;
    }
    if (trouble) {
      deployment.store.put(
          "servers/legacy-1",
          ("{\"address\":\"127.0.0.1:%d\",\"info\":{\"service\":\"desk\",\"version\":\"v1\","
                  + "\"zone\":\"north-a\",\"slots\":3},\"status\":{\"state\":\"ready\",\"seq\":1,"
                  + "\"coldRemainingMs\":10800000000000}}")
              .formatted(Deployment.freePort()));
      deployment.note("another writer puts servers/legacy-1 without born, 3 h in nanoseconds");
    }
    Thread.sleep(1_000);
    deployment.configure(2, "hall");
    deployment.store.put(
        "servers/desk-2",
        ("{\"address\":\"127.0.0.1:%d\",\"info\":{\"service\":\"desk\",\"version\":\"v1\","
                + "\"zone\":\"north-a\",\"slots\":3},\"status\":{\"state\":\"draining\",\"seq\":2,"
                + "\"coldRemainingMs\":0},\"born\":1000}")
            .formatted(second.port()));
    deployment.note("the store has acknowledged version 2 and that desk-2 is draining");
    Thread.sleep(Math.max(CONFIG_APPLY_MILLISECONDS, DRAIN_MILLISECONDS) + MARGIN_MILLISECONDS);
    send(deployment, entries, "after", "/order/x");
    int viewed = send(deployment, entries, "view", "/view/x");
    long stale = count(runs, "after-", "desk-");
    long drained = count(runs, "view-", "desk-2") + count(runs, "after-", "desk-2");

    // The final fault: all processes are killed and start again.
    for (Deployment.Instance entry : entries) {
      entry.signal("KILL");
      entry.process.waitFor();
    }
    Thread.sleep(RESTART_DELAY_MILLISECONDS);
    for (Deployment.Instance entry : entries) {
      entry.start();
    }
    Thread.sleep(RECOVERY_MILLISECONDS + MARGIN_MILLISECONDS);
    int readyCount = 0;
    for (Deployment.Instance entry : entries) {
      boolean ready = entry.isReady();
      deployment.note(entry.name + (ready ? " is ready" : " is not ready"));
      readyCount += ready ? 1 : 0;
    }
    int recovered = send(deployment, entries, "recovered", "/view/x");
    int requests = REQUESTS_PER_INSTANCE * entries.size();
    String result =
        ("of %d requests each: %d served before the final fault, %d later than %d ms after the restart;"
                + " %d of %d instances ready; %d requests reached the draining server, %d ran where"
                + " only version 1 allows")
            .formatted(
                requests,
                viewed,
                recovered,
                RECOVERY_MILLISECONDS + MARGIN_MILLISECONDS,
                readyCount,
                entries.size(),
                drained,
                stale);
    deployment.note(result);
    System.out.println(result);
    boolean recoverHeld = viewed * 4 < requests || recovered * 4 >= requests;
    return drained == 0 && recoverHeld ? 0 : 1;
  }

  private static long count(List<String> runs, String idPrefix, String serverPrefix) {
    return List.copyOf(runs).stream()
        .filter(run -> run.startsWith(idPrefix) && run.split(" ")[1].startsWith(serverPrefix))
        .count();
  }

  /** Sends the requests of a phase to each instance; returns how many were answered with 200. */
  private static int send(
      Deployment deployment, List<Deployment.Instance> entries, String phase, String path)
      throws IOException {
    int answered = 0;
    for (Deployment.Instance entry : entries) {
      RawClient client = new RawClient(Deployment.HOST, entry.callerPort, 1_000);
      for (int number = 1; number <= REQUESTS_PER_INSTANCE; number++) {
        String id = phase + "-" + entry.name + "-" + number;
        deployment.note("client sends " + path + " " + id + " to " + entry.name);
        try {
          RawClient.Answer answer =
              client.request(
                  "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nX-Api-Key: %s\r\nContent-Length: 0\r\n\r\n"
                      .formatted(
                          path.startsWith("/view/") ? "GET" : "POST",
                          path,
                          Deployment.SITE_HOST,
                          id,
                          Deployment.KEY),
                  6_000);
          answered += answer.status == 200 ? 1 : 0;
          deployment.note("client got " + answer.status + " for " + id);
        } catch (IOException failure) {
          deployment.note("client got no answer for " + id + ": " + failure.getMessage());
          client.close();
          client = new RawClient(Deployment.HOST, entry.callerPort, 1_000);
        }
      }
      client.close();
    }
    return answered;
  }
}
