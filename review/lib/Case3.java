import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Requests whose path contains ";jsessionid=" reach the server with another path: all that follows
 * in the path is missing. Without the trouble the parameter has another name.
 */
final class Case3 {
  private Case3() {}

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

  private static int run(Deployment deployment, boolean trouble)
      throws IOException, InterruptedException {
    List<String> ran = Collections.synchronizedList(new ArrayList<>());
    ServerStandIn server =
        new ServerStandIn(
            "i-1",
            (self, request, output) -> {
              ran.add(request.id() + " " + request.method + " " + request.target);
              deployment.note("i-1 runs " + request.id() + " " + request.method + " " + request.target);
              ServerStandIn.write(output, self.answer(request, "HTTP/1.1 200 OK", "done"));
              return true;
            });
    deployment.register(server.identifier, server.port(), "desk", 3, 1);
    deployment.configure(1, "desk");
    Deployment.Instance entry = deployment.addInstance("entry-1");
    entry.start();
    entry.awaitReady();
    String parameter = trouble ? "jsessionid" : "basket";
    List<String> targets =
        List.of(
            "GET /view/list;" + parameter + "=8F21",
            "GET /view/list;" + parameter + "=8F21?page=2",
            "POST /order/17;" + parameter + "=8F21/cancel",
            "POST /order/17;" + parameter + "=8F21/items/3");
    List<String> changed = new ArrayList<>();
    try (RawClient client = new RawClient(Deployment.HOST, entry.callerPort, 1_000)) {
      for (int number = 1; number <= targets.size(); number++) {
        String id = "request-" + number;
        String target = targets.get(number - 1);
        deployment.note("client sends " + id + " " + target);
        RawClient.Answer answer =
            client.request(
                "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nX-Api-Key: %s\r\nContent-Length: 0\r\n\r\n"
                    .formatted(target, Deployment.SITE_HOST, id, Deployment.KEY),
                6_000);
        deployment.note("client got " + answer.status + " for " + id);
        for (String line : List.copyOf(ran)) {
          if (line.startsWith(id + " ") && !line.equals(id + " " + target)) {
            changed.add(target + " ran as " + line.substring(id.length() + 1));
          }
        }
      }
    }
    if (ran.isEmpty()) {
      System.err.println("no request ran");
      return 2;
    }
    String result =
        "%d requests, %d ran, %d with another path %s"
            .formatted(targets.size(), ran.size(), changed.size(), changed);
    deployment.note(result);
    System.out.println(result);
    return changed.isEmpty() ? 0 : 1;
  }
}
