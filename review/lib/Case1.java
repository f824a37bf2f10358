import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For five seconds, three of five servers send a part of a second answer, late: before 3 in 100 of
 * their answers comes a copy of the rejection that they sent last on the connection, cut off at a random place. Requests
 * that are not idempotent then run on two servers, or are answered 503 although they have run.
 */
final class Case1 {
  private static final int SERVERS = 5;
  private static final int FAULTY_SERVERS = 3;
  private static final double SURPLUS_SHARE = 0.03;

  /** The disruption lasts for five seconds, from one second after the first request. */
  private static final long SURPLUS_START_NANOSECONDS = 1_000_000_000L;

  private static final long SURPLUS_END_NANOSECONDS = 6_000_000_000L;

  /** All servers reject so many of their requests because they are full. */
  private static final double REJECTED_SHARE = 0.1;

  private static final int REQUESTS = 8_000;
  private static final int SURPLUS_LEAD_MILLISECONDS = 5;
  private static final String REJECTION =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nServer-Load: 3,9,3\r\nRetry-After: 0.2\r\n"
          + "Content-Length: 0\r\nRequest-Id: %s\r\n\r\n";

  private Case1() {}

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

  /** The random choices and the last rejection of one server; it has one connection at a time. */
  private static final class Behaviour {
    private final Random random;
    private final boolean faulty;
    private String lastRejection = "";
    private long firstRequestNanoseconds;

    Behaviour(int seed, boolean faulty) {
      random = new Random(seed);
      this.faulty = faulty;
    }

    synchronized boolean rejects() {
      return random.nextDouble() < REJECTED_SHARE;
    }

    synchronized String rejection(String id) {
      lastRejection = REJECTION.formatted(id);
      return lastRejection;
    }

    synchronized void connectionBegins() {
      lastRejection = "";
    }

    /** Returns the beginning of a copy of the last rejection, or an empty text. */
    synchronized String surplus() {
      boolean chosen = random.nextDouble() < SURPLUS_SHARE;
      long now = System.nanoTime();
      firstRequestNanoseconds = firstRequestNanoseconds == 0 ? now : firstRequestNanoseconds;
      long elapsed = now - firstRequestNanoseconds;
      boolean during =
          elapsed >= SURPLUS_START_NANOSECONDS && elapsed < SURPLUS_END_NANOSECONDS;
      if (!faulty || !chosen || !during || lastRejection.isEmpty()) {
        return "";
      }
      return lastRejection.substring(0, 1 + random.nextInt(lastRejection.length() - 1));
    }
  }

  private static int run(Deployment deployment, boolean trouble)
      throws IOException, InterruptedException {
    Map<String, List<String>> runs = new ConcurrentHashMap<>();
    AtomicInteger answers = new AtomicInteger();
    AtomicInteger surplusCount = new AtomicInteger();
    for (int number = 1; number <= SERVERS; number++) {
      Behaviour behaviour = new Behaviour(number, trouble && number <= FAULTY_SERVERS);
      ServerStandIn server =
          new ServerStandIn(
              "i-" + number,
              (self, request, output) -> {
                if (request.number == 1) {
                  behaviour.connectionBegins();
                }
                answers.incrementAndGet();
                if (behaviour.rejects()) {
                  deployment.note(self.identifier + " rejects " + request.id());
                  ServerStandIn.write(output, behaviour.rejection(request.id()));
                  return true;
                }
                runs.computeIfAbsent(
                        request.id(), unused -> Collections.synchronizedList(new ArrayList<>()))
                    .add(self.identifier);
                deployment.note(self.identifier + " runs POST " + request.id());
                String surplus = behaviour.surplus();
                if (!surplus.isEmpty()) {
                  surplusCount.incrementAndGet();
                  deployment.note(
                      "%s sends %d bytes of its last rejection again before its answer to %s"
                          .formatted(self.identifier, surplus.length(), request.id()));
                  ServerStandIn.write(output, surplus);
                  Thread.sleep(SURPLUS_LEAD_MILLISECONDS);
                }
                ServerStandIn.write(output, self.answer(request, "HTTP/1.1 200 OK", "done"));
                return true;
              });
      deployment.register(server.identifier, server.port(), "desk", 3, number);
    }
    deployment.configure(1, "desk");
    Deployment.Instance entry = deployment.addInstance("entry-1");
    entry.start();
    entry.awaitReady();
    Map<Integer, Integer> statuses = new java.util.TreeMap<>();
    List<String> refused = new ArrayList<>();
    RawClient client = new RawClient(Deployment.HOST, entry.callerPort, 1_000);
    for (int number = 1; number <= REQUESTS; number++) {
      String id = "request-" + number;
      deployment.note("client sends POST /order/new " + id);
      RawClient.Answer answer =
          client.request(
              "POST /order/new HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nX-Api-Key: %s\r\nContent-Length: 4\r\n\r\npay!"
                  .formatted(Deployment.SITE_HOST, id, Deployment.KEY),
              6_000);
      statuses.merge(answer.status, 1, Integer::sum);
      if (answer.status == 503 && runs.containsKey(id)) {
        refused.add(id + " ran on " + runs.get(id));
      }
      deployment.note("client got " + answer.status + " for " + id);
      if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) {
        client.close();
        client = new RawClient(Deployment.HOST, entry.callerPort, 1_000);
      }
    }
    client.close();
    List<String> twice = new ArrayList<>();
    runs.forEach(
        (id, servers) -> {
          if (servers.size() > 1) {
            twice.add(id + " on " + servers);
          }
        });
    String result =
        ("%d requests with answers %s; %d answers of servers, %d with surplus bytes; TWICE: %d requests"
                + " ran more than once %s; REFUSED: %d requests were answered 503 and had run %s")
            .formatted(
                REQUESTS,
                statuses,
                answers.get(),
                surplusCount.get(),
                twice.size(),
                twice,
                refused.size(),
                refused);
    deployment.note(result);
    System.out.println(result);
    return twice.isEmpty() && refused.isEmpty() ? 0 : 1;
  }
}
